//! Keeps unauthenticated connections from filling the log.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Minimum time between two log lines about refused connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Allows one log line in each interval and counts the suppressed ones.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    state: Mutex<State>,
}

/// Time of the last allowed line and number of lines suppressed since.
#[derive(Debug, Default)]
struct State {
    last: Option<Instant>,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns the number of lines suppressed before this one, or `None` to suppress it as well.
    pub(crate) fn allow(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock().expect("log lock poisoned");
        let too_soon = state.last.is_some_and(|last| now < last + LOG_INTERVAL);
        if too_soon {
            state.suppressed += 1;
            return None;
        }
        state.last = Some(now);
        Some(std::mem::take(&mut state.suppressed))
    }
}
