//! A clock that advances only when a test advances it.

use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;

/// Wall clock time that corresponds to zero on a fake clock, in seconds since the Unix epoch.
const START_WALL_SECS: u64 = 1_700_000_000;

/// A clock under the control of a test.
#[derive(Debug, Default)]
pub struct FakeClock {
    now: Mutex<Duration>,
}

impl FakeClock {
    /// Creates a clock whose monotonic time is one second.
    pub fn new() -> Self {
        Self {
            now: Mutex::new(Duration::from_secs(1)),
        }
    }

    /// Advances the clock.
    pub fn advance(&self, by: Duration) {
        *self.now.lock().expect("clock lock poisoned") += by;
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Mono {
        *self.now.lock().expect("clock lock poisoned")
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_secs(START_WALL_SECS) + self.now()
    }
}
