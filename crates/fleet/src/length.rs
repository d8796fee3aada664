//! Expected lengths of streams, learned by account and route.
//!
//! Callers may state an estimate of the output, which is often far off. How long the streams of an
//! account on a route were, and by what factor its estimates were off, are both learned; the better
//! one of the two counts more.

use std::collections::HashMap;

use primrose_core::clock::Mono;

use crate::entry::ShortId;

/// Maximum number of accounts and routes; the one that was not used for longest is replaced. 450
/// accounts have nine routes each.
const MAX_ENTRIES: usize = 4_096;
/// Number of streams over which lengths and errors are averaged.
const MEMORY: f64 = 30.0;
/// Variance that is assumed before the first stream, of the logarithm of a length.
const PRIOR_VARIANCE: f64 = 1.0;
/// Least variance, so that no estimate counts for all.
const MIN_VARIANCE: f64 = 0.01;
/// Bounds of a stream's length, in steps.
const STEPS_RANGE: (f64, f64) = (1.0, 1_000_000.0);

/// Identifies streams of similar length: the account, if callers have accounts, and the route.
pub type LengthKey = (Option<ShortId>, ShortId);

/// Moving mean and variance.
#[derive(Debug, Clone, Copy)]
struct Moments {
    count: f64,
    mean: f64,
    variance: f64,
}

impl Default for Moments {
    fn default() -> Self {
        Self {
            count: 0.0,
            mean: 0.0,
            variance: PRIOR_VARIANCE,
        }
    }
}

impl Moments {
    fn record(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(MEMORY);
        let difference = value - self.mean;
        self.mean += difference / self.count;
        // The first value says nothing of the variance.
        if self.count > 1.0 {
            let square = difference * (value - self.mean);
            self.variance += (square - self.variance) / self.count;
        }
    }

    fn precision(&self) -> f64 {
        1.0 / self.variance.max(MIN_VARIANCE)
    }
}

#[derive(Debug, Default)]
struct Entry {
    /// Logarithms of lengths.
    lengths: Moments,
    /// Logarithms of the ratios of lengths to the callers' estimates.
    errors: Moments,
    last_used: Mono,
}

/// Lengths of the streams that ended at this gateway.
#[derive(Debug, Default)]
pub struct OutputLengths(HashMap<LengthKey, Entry>);

impl OutputLengths {
    /// Records the length of a stream that ended, and the caller's estimate.
    pub fn record(&mut self, key: LengthKey, steps: u64, hint: Option<u64>, now: Mono) {
        if self.0.len() >= MAX_ENTRIES && !self.0.contains_key(&key) {
            self.remove_oldest();
        }
        let entry = self.0.entry(key).or_default();
        entry.last_used = now;
        let length = log(steps);
        entry.lengths.record(length);
        if let Some(hint) = hint {
            entry.errors.record(length - log(hint));
        }
    }

    /// Returns the expected length of a stream with the caller's estimate; `limit` is the maximum
    /// length, which is expected if nothing else is known.
    pub fn expected(&self, key: LengthKey, hint: Option<u64>, limit: u64) -> u64 {
        let default = Entry::default();
        let entry = self.0.get(&key).unwrap_or(&default);
        let lengths = Some(&entry.lengths).filter(|lengths| lengths.count > 0.0);
        let lengths = lengths.map(|lengths| (lengths.mean, lengths.precision()));
        let hinted = hint.map(|hint| (log(hint) + entry.errors.mean, entry.errors.precision()));
        let limit = limit.max(1);
        let (mut sum, mut weight) = (0.0, 0.0);
        for (value, precision) in lengths.into_iter().chain(hinted) {
            sum += value * precision;
            weight += precision;
        }
        if weight == 0.0 {
            return limit;
        }
        let steps = (sum / weight).exp().round();
        (steps.clamp(STEPS_RANGE.0, STEPS_RANGE.1) as u64).min(limit)
    }

    /// Returns the number of accounts and routes with known lengths.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    fn remove_oldest(&mut self) {
        let entries = self.0.iter();
        let oldest = entries.min_by_key(|(key, entry)| (entry.last_used, **key));
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.0.remove(&key);
        }
    }
}

fn log(steps: u64) -> f64 {
    (steps as f64).clamp(STEPS_RANGE.0, STEPS_RANGE.1).ln()
}
