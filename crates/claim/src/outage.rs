//! Whether the key-value service answers, and when to try it again.

use std::time::Duration;

use primrose_core::clock::Mono;

/// Wait after the first failed call; doubles with each further one.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Longest wait between two tries.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Failed calls in a row after which new claims are turned away at once.
const DOWN_AFTER: u32 = 4;

/// Counts failed calls in a row.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outage {
    failures: u32,
    until: Mono,
}

impl Outage {
    /// Notes a call that was answered.
    pub(crate) fn answered(&mut self) {
        self.failures = 0;
        self.until = Mono::ZERO;
    }

    /// Notes a call that was not answered.
    pub(crate) fn failed(&mut self, now: Mono) {
        // What failed long before says nothing of the service now.
        if now > self.until + LONGEST_WAIT {
            self.failures = 0;
        }
        let doublings = self.failures.min(16);
        let wait = FIRST_WAIT.saturating_mul(1 << doublings).min(LONGEST_WAIT);
        self.failures = self.failures.saturating_add(1);
        self.until = now + wait;
    }

    /// Monotonic time from which on the next call may be made.
    pub(crate) fn until(&self) -> Mono {
        self.until
    }

    /// When the next call may be made, if not at once.
    pub(crate) fn blocked(&self, now: Mono) -> Option<Mono> {
        Some(self.until).filter(|until| *until > now)
    }

    /// Tells a new claim to come back later, while the service is known to be down.
    pub(crate) fn turned_away(&self, now: Mono) -> Option<Duration> {
        let until = self.blocked(now)?;
        (self.failures >= DOWN_AFTER).then(|| until - now)
    }

    /// When a caller may try again.
    pub(crate) fn retry_after(&self, now: Mono) -> Duration {
        self.until.saturating_sub(now).max(Duration::from_secs(1))
    }
}
