//! Backoff after failed calls to the key-value service, and early rejection during an outage.

use std::time::Duration;

use primrose_core::clock::Mono;

/// Backoff after the first failed call; doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest time between two tries.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Consecutive failed calls after which new claims are rejected at once.
const FAILURES_TO_OPEN: u32 = 4;

/// Counts consecutive failed calls and delays the next one.
#[derive(Debug, Clone, Default)]
pub(crate) struct CircuitBreaker {
    failures: u32,
    retry_at: Mono,
}

impl CircuitBreaker {
    /// Records a call that the service answered.
    pub(crate) fn on_success(&mut self) {
        self.failures = 0;
        self.retry_at = Mono::ZERO;
    }

    /// Records a failed call.
    pub(crate) fn on_failure(&mut self, now: Mono) {
        // An old failure says nothing about the service now.
        if now > self.retry_at + MAX_BACKOFF {
            self.failures = 0;
        }
        let doublings = self.failures.min(16);
        let backoff = MIN_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + backoff;
    }

    /// Returns the time from which the next call may be made.
    pub(crate) fn retry_at(&self) -> Mono {
        self.retry_at
    }

    /// Returns when the next call may be made; `None` if at once.
    pub(crate) fn blocked_until(&self, now: Mono) -> Option<Mono> {
        Some(self.retry_at).filter(|retry_at| *retry_at > now)
    }

    /// Returns how long new claims are rejected; `None` unless the service counts as down.
    pub(crate) fn reject_for(&self, now: Mono) -> Option<Duration> {
        let retry_at = self.blocked_until(now)?;
        (self.failures >= FAILURES_TO_OPEN).then(|| retry_at - now)
    }

    /// Returns the time after which a rejected caller may try again, at least one second.
    pub(crate) fn retry_after(&self, now: Mono) -> Duration {
        self.retry_at
            .saturating_sub(now)
            .max(Duration::from_secs(1))
    }
}
