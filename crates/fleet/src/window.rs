//! Sums over the last few seconds, in steps.

use std::time::Duration;

use primrose_core::clock::Mono;

/// Steps of a window; a sum is off by one step at most.
const STEPS: usize = 8;

/// A sum over a sliding span of time.
#[derive(Debug, Clone)]
pub struct Window {
    step: Duration,
    sums: [u64; STEPS],
    newest: u64,
}

impl Window {
    /// Makes an empty window over `span`.
    pub fn new(span: Duration) -> Self {
        Self {
            step: span / u32::try_from(STEPS).unwrap_or(1),
            sums: [0; STEPS],
            newest: 0,
        }
    }

    /// Adds to the sum.
    pub fn add(&mut self, amount: u64, now: Mono) {
        self.turn(now);
        let at = self.slot(self.newest);
        self.sums[at] += amount;
    }

    /// The sum over the span that ends now.
    pub fn sum(&mut self, now: Mono) -> u64 {
        self.turn(now);
        self.sums.iter().sum()
    }

    fn slot(&self, step: u64) -> usize {
        usize::try_from(step % STEPS as u64).unwrap_or(0)
    }

    /// Clears the steps that have passed since the last use.
    fn turn(&mut self, now: Mono) {
        let step = u64::try_from(now.as_nanos() / self.step.as_nanos().max(1)).unwrap_or(u64::MAX);
        let passed = step.saturating_sub(self.newest).min(STEPS as u64);
        for back in 0..passed {
            let at = self.slot(step - back);
            self.sums[at] = 0;
        }
        self.newest = self.newest.max(step);
    }
}
