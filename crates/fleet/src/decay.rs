//! Sums whose terms lose weight with their age.
//!
//! A sum over a sliding window forgets a burst all at once, a window's length after it. Where many gateways
//! act on such a sum, the burst comes back at that moment. Here, each term's weight falls by the factor e
//! in each time constant.

use std::time::Duration;

use primrose_core::clock::Mono;

/// A sum of terms that decay exponentially.
#[derive(Debug, Clone, Copy)]
pub struct DecayingSum {
    time_constant: Duration,
    sum: f64,
    updated: Mono,
}

impl DecayingSum {
    /// Creates an empty sum.
    pub fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            sum: 0.0,
            updated: Mono::ZERO,
        }
    }

    /// Adds a term of full weight.
    pub fn add(&mut self, amount: f64, now: Mono) {
        self.sum = self.sum(now) + amount;
        self.updated = self.updated.max(now);
    }

    /// Returns the sum at a time.
    pub fn sum(&self, now: Mono) -> f64 {
        let age = now.saturating_sub(self.updated);
        self.sum * (-age.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }

    /// Returns the mean amount a second, by which a steady flow is seen at its rate.
    pub fn rate(&self, now: Mono) -> f64 {
        self.sum(now) / self.time_constant.as_secs_f64()
    }
}
