//! Prediction of the time to first event, learned per pool from its streams.
//!
//! The time to the first event is close to linear in the number of prompt tokens that the server
//! has to process before it: those of the request itself and those already queued there. The line
//! is fitted by least squares over observations with exponentially decaying weight. Queued tokens
//! that digests miss or count twice are part of the fit, so that predictions are right on average
//! even where the queue lengths are not.

use std::time::Duration;

/// Factor on the weight of earlier observations at each new one; about 200 observations count.
const DECAY: f64 = 0.995;
/// Weight of the initial line, in observations.
const PRIOR_WEIGHT: f64 = 4.0;
/// Initial time for a token, in milliseconds: a mid-size engine reads 60 tokens a millisecond.
const PRIOR_MS_PER_TOKEN: f64 = 1.0 / 60.0;
/// Initial time to the first event without any tokens, in milliseconds: a few engine steps.
const PRIOR_BASE_MS: f64 = 20.0;
/// Bounds of the fitted slope, in milliseconds for a token.
const MS_PER_TOKEN_RANGE: (f64, f64) = (1.0 / 500.0, 1.0 / 4.0);
/// Upper bound of the fitted time without any tokens, in milliseconds.
const MAX_BASE_MS: f64 = 300.0;
/// Prompt sizes of the two observations that define the initial line, in tokens.
const PRIOR_TOKENS: [f64; 2] = [2_000.0, 20_000.0];
/// Bounds of one observation of a server's slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 8.0);
/// Weight of the newest observation in a server's slowness.
const SLOWNESS_GAIN: f64 = 0.1;

/// A line of time to first event over tokens, fitted by weighted least squares. The fields are sums
/// over the weighted observations, where `x` is the tokens and `y` the milliseconds.
#[derive(Debug, Clone)]
pub struct PrefillModel {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for PrefillModel {
    fn default() -> Self {
        let mut model = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for tokens in PRIOR_TOKENS {
            let millis = PRIOR_BASE_MS + PRIOR_MS_PER_TOKEN * tokens;
            model.record(tokens, millis, PRIOR_WEIGHT / 2.0);
        }
        model
    }
}

impl PrefillModel {
    /// Records the time to a first event.
    pub fn observe(&mut self, tokens: u64, elapsed: Duration) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= DECAY;
        }
        self.record(tokens as f64, elapsed.as_secs_f64() * 1e3, 1.0);
    }

    /// Predicts the time to a first event, if `tokens` have to be processed before it.
    pub fn predict(&self, tokens: u64) -> Duration {
        let (base, slope) = self.intercept_and_slope();
        Duration::from_secs_f64((base + slope * tokens as f64) / 1e3)
    }

    /// Returns the mean time to a first event, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.y / self.weight.max(f64::EPSILON)
    }

    /// Returns the time without any tokens, and the time for each token, in milliseconds.
    pub fn intercept_and_slope(&self) -> (f64, f64) {
        let variance = self.weight * self.xx - self.x * self.x;
        let slope = if variance > f64::EPSILON {
            (self.weight * self.xy - self.x * self.y) / variance
        } else {
            PRIOR_MS_PER_TOKEN
        };
        let slope = slope.clamp(MS_PER_TOKEN_RANGE.0, MS_PER_TOKEN_RANGE.1);
        let base = (self.y - slope * self.x) / self.weight.max(f64::EPSILON);
        (base.clamp(0.0, MAX_BASE_MS), slope)
    }

    fn record(&mut self, tokens: f64, millis: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * tokens;
        self.y += weight * millis;
        self.xx += weight * tokens * tokens;
        self.xy += weight * tokens * millis;
    }
}

/// Moving average of the ratio of a server's times to first event to its pool's prediction.
#[derive(Debug, Clone, Copy)]
pub struct Slowness(f64);

impl Default for Slowness {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Slowness {
    /// Records the time to a first event, and the time predicted for the pool.
    pub fn observe(&mut self, elapsed: Duration, predicted: Duration) {
        let ratio = elapsed.as_secs_f64() / predicted.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.0 += SLOWNESS_GAIN * (ratio - self.0);
    }

    /// Returns the factor by which the pool's predictions are multiplied for the server.
    pub fn factor(self) -> f64 {
        self.0
    }
}
