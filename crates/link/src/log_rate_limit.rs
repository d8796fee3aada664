//! Keeps a stranger from filling the log.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Shortest time between two lines about refused connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Lets one line through in an interval and counts the others.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    state: Mutex<State>,
}

/// When the last line went through, and what was held back since.
#[derive(Debug, Default)]
struct State {
    last: Option<Instant>,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns how many lines were held back if this one may pass.
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
