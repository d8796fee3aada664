//! How fast a pool reads prompts, learned from the first events of its streams.
//!
//! The time to the first event is close to a line over the tokens that had to be read before it:
//! those of the request itself and those that already waited at the server. The line is fitted by
//! least squares over observations that fade. What the digests miss or count twice is part of the
//! fit, so that predictions are right on average even where beliefs are not.

use std::time::Duration;

/// Weight that an observation keeps when the next one arrives; about 200 observations count.
const FADE: f64 = 0.995;
/// Weight of the line assumed before anything was seen, in observations.
const PRIOR: f64 = 4.0;
/// Milliseconds for a token before anything was seen: a mid-size engine reads 60 a millisecond.
const PRIOR_SLOPE: f64 = 1.0 / 60.0;
/// Milliseconds to the first event beyond reading, before anything was seen: a few engine steps.
const PRIOR_BASE: f64 = 20.0;
/// Slowest and fastest slopes taken as real, in milliseconds for a token.
const SLOPES: (f64, f64) = (1.0 / 500.0, 1.0 / 4.0);
/// Longest time beyond reading taken as real, in milliseconds.
const BASE_MOST: f64 = 300.0;
/// Tokens that make up the prior's observations.
const PRIOR_TOKENS: [f64; 2] = [2_000.0, 20_000.0];
/// Slow-down of a single server that is believed, against the others of its pool.
const SLOWNESS: (f64, f64) = (0.5, 8.0);
/// Weight of the newest observation in a server's slow-down.
const SLOWNESS_GAIN: f64 = 0.1;

/// A fitted line of time over tokens.
#[derive(Debug, Clone)]
pub struct Pace {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for Pace {
    fn default() -> Self {
        let mut pace = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for tokens in PRIOR_TOKENS {
            let millis = PRIOR_BASE + PRIOR_SLOPE * tokens;
            pace.record(tokens, millis, PRIOR / 2.0);
        }
        pace
    }
}

impl Pace {
    /// Records the time to a first event.
    pub fn observe(&mut self, tokens: u64, took: Duration) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= FADE;
        }
        self.record(tokens as f64, took.as_secs_f64() * 1e3, 1.0);
    }

    /// Time until a first event, if `tokens` have to be read before it.
    pub fn predict(&self, tokens: u64) -> Duration {
        let (base, slope) = self.line();
        Duration::from_secs_f64((base + slope * tokens as f64) / 1e3)
    }

    /// Milliseconds at no tokens, and for each token.
    pub fn line(&self) -> (f64, f64) {
        let spread = self.weight * self.xx - self.x * self.x;
        let slope = if spread > f64::EPSILON {
            (self.weight * self.xy - self.x * self.y) / spread
        } else {
            PRIOR_SLOPE
        };
        let slope = slope.clamp(SLOPES.0, SLOPES.1);
        let base = (self.y - slope * self.x) / self.weight.max(f64::EPSILON);
        (base.clamp(0.0, BASE_MOST), slope)
    }

    fn record(&mut self, tokens: f64, millis: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * tokens;
        self.y += weight * millis;
        self.xx += weight * tokens * tokens;
        self.xy += weight * tokens * millis;
    }
}

/// How much slower one server is than its pool.
#[derive(Debug, Clone, Copy)]
pub struct Slowness(f64);

impl Default for Slowness {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Slowness {
    /// Records what a first event took against what was predicted for the pool.
    pub fn observe(&mut self, took: Duration, predicted: Duration) {
        let ratio = took.as_secs_f64() / predicted.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(SLOWNESS.0, SLOWNESS.1);
        self.0 += SLOWNESS_GAIN * (ratio - self.0);
    }

    /// Factor on predicted times.
    pub fn factor(self) -> f64 {
        self.0
    }
}
