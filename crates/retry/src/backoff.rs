//! Exponential backoff with full jitter.
//!
//! Each delay is uniform between zero and a ceiling that doubles with every failure up to a cap, as
//! in Brooker, "Exponential Backoff and Jitter", 2015. The caller passes the random source.

use std::time::Duration;

use rand::Rng;

/// Maximum number of doublings, so that the factor fits in 32 bits. Any realistic base reaches the
/// cap earlier.
const MAX_DOUBLINGS: u32 = 31;

/// Bounds of the delays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffConfig {
    /// Ceiling for the first delay.
    pub base: Duration,
    /// Maximum ceiling.
    pub cap: Duration,
}

impl Default for BackoffConfig {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(100),
            cap: Duration::from_secs(5),
        }
    }
}

/// Draws random delays whose ceiling grows with the number of consecutive failures.
#[derive(Debug, Clone)]
pub struct Backoff {
    config: BackoffConfig,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without recorded failures.
    pub fn new(config: BackoffConfig) -> Self {
        Self {
            config,
            failures: 0,
        }
    }

    /// Returns the ceiling of the next delay.
    pub fn ceiling(&self) -> Duration {
        let factor = 1_u32 << self.failures.min(MAX_DOUBLINGS);
        self.config.base.saturating_mul(factor).min(self.config.cap)
    }

    /// Records a failure and draws the delay before the next attempt.
    pub fn next_delay<R: Rng + ?Sized>(&mut self, rng: &mut R) -> Duration {
        let ceiling = self.ceiling();
        self.failures = self.failures.saturating_add(1);
        rng.random_range(Duration::ZERO..=ceiling)
    }

    /// Resets the failure count, for use after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
