//! The clock interface.
//!
//! Nothing that decides reads a clock by itself; it is told the time. Monotonic time is a
//! [`Duration`] since an arbitrary start of this process, so that a test can name any time, and so
//! that a step of the wall clock cannot lengthen a lease.

use std::time::Duration;
use std::time::SystemTime;

/// Monotonic time: what has passed since an arbitrary moment at the start of this process.
pub type Mono = Duration;

/// Reads the time.
pub trait Clock: Send + Sync {
    /// Monotonic time of this process; never goes back.
    fn now(&self) -> Mono;

    /// Wall clock time, for records that people or other hosts read; may step.
    fn wall(&self) -> SystemTime;
}
