//! Waiting between attempts.

use std::time::Duration;

/// Lets time pass.
pub trait Sleeper: Send + Sync {
    /// Returns after this time.
    fn sleep(&self, time: Duration);
}

/// Sleeps.
#[derive(Debug, Clone, Copy, Default)]
pub struct ThreadSleeper;

impl Sleeper for ThreadSleeper {
    fn sleep(&self, time: Duration) {
        std::thread::sleep(time);
    }
}
