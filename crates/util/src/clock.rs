//! The system clock.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;

/// Reads the clocks of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Mono {
        // Never zero, so that a state machine can use zero for "not yet".
        self.start.elapsed() + Duration::from_nanos(1)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
