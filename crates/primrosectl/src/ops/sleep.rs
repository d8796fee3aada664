//! Waiting between attempts.

use std::time::Duration;

/// Blocks the calling thread for a time.
pub trait Sleeper: Send + Sync {
    /// Blocks until `time` has passed.
    fn sleep(&self, time: Duration);
}

/// Sleeps with [`std::thread::sleep`].
#[derive(Debug, Clone, Copy, Default)]
pub struct ThreadSleeper;

impl Sleeper for ThreadSleeper {
    fn sleep(&self, time: Duration) {
        std::thread::sleep(time);
    }
}
