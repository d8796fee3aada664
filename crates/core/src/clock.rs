//! The clock interface.
//!
//! State machines do not read a clock; the time is passed to them. Monotonic time is a [`Duration`]
//! since an arbitrary moment at the start of the process, so that a test can use any time and a
//! step of the wall clock cannot extend a lease.

use std::time::Duration;
use std::time::SystemTime;

/// Monotonic time: time elapsed since an arbitrary moment at the start of this process.
pub type Mono = Duration;

/// Reads the time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time of this process; it never goes backwards.
    fn now(&self) -> Mono;

    /// Returns the wall clock time, for records read by people or other hosts; it may jump.
    fn wall(&self) -> SystemTime;
}
