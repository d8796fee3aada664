//! A token bucket: what one gateway may send of a rate that several gateways share.

use std::time::Duration;

use primrose_core::clock::Mono;

/// Requests that a gateway may send at a server. It starts empty, so that a gateway that restarts
/// does not send what its previous process already sent.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    refilled: Mono,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(now: Mono) -> Self {
        Self {
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Adds a fraction of a token.
    pub fn add(&mut self, fraction: f64) {
        self.tokens += fraction;
    }

    /// Adds what `rate` allowed since the last call, up to `capacity`.
    pub fn refill(&mut self, rate: f64, capacity: f64, now: Mono) {
        let elapsed = now.saturating_sub(self.refilled);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(capacity);
        self.refilled = self.refilled.max(now);
    }

    /// Lets the time until now pass without adding anything.
    pub fn skip_to(&mut self, now: Mono) {
        self.refilled = self.refilled.max(now);
    }

    /// Drops saved tokens.
    pub fn empty(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }

    /// Removes the token of a request.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the time until there is a token at `rate`; none if there never is.
    pub fn wait(&self, rate: f64) -> Option<Duration> {
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        // A tiny rate gives a time beyond what a duration holds.
        (rate > 0.0).then(|| Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX))
    }
}
