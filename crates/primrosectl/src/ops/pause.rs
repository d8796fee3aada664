//! Waiting between attempts.

use std::time::Duration;

/// Lets time pass.
pub trait Pause: Send + Sync {
    /// Returns after this time.
    fn pause(&self, time: Duration);
}

/// Sleeps.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sleep;

impl Pause for Sleep {
    fn pause(&self, time: Duration) {
        std::thread::sleep(time);
    }
}
