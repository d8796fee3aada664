//! Mergeable histograms of durations.
//!
//! The buckets are those of `hdrhistogram`, with two significant digits over units of 100
//! microseconds: a precision of 1 % is finer than any target needs, and few buckets are in use.
//! Only non-empty buckets are encoded, with their counts.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Length of one unit, in microseconds.
const UNIT_MICROS: u128 = 100;
/// Longest duration that is distinguished, in units: one hour.
const MAX_UNITS: u64 = 36_000_000;
/// Significant digits of a value.
const DIGITS: u8 = 2;

/// A histogram of durations.
#[derive(Debug, Clone, PartialEq)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_UNITS, DIGITS);
        Self(histogram.expect("the bounds are constant and valid"))
    }
}

impl DurationHistogram {
    /// Counts one duration.
    pub fn record(&mut self, time: Duration) {
        self.record_n(time, 1);
    }

    /// Counts one duration `count` times.
    pub fn record_n(&mut self, time: Duration, count: u64) {
        let units = u64::try_from(time.as_micros() / UNIT_MICROS).unwrap_or(u64::MAX);
        self.0.saturating_record_n(units, count);
    }

    /// Returns the number of durations counted.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the quantile for `share`, from 0 to 1; `None` if the histogram is empty.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        (!self.0.is_empty()).then(|| duration(self.0.value_at_quantile(share)))
    }

    /// Returns the longest duration; `None` if the histogram is empty.
    pub fn longest(&self) -> Option<Duration> {
        (!self.0.is_empty()).then(|| duration(self.0.max()))
    }

    /// Adds the counts of another histogram.
    pub fn add_all(&mut self, other: &Self) {
        // Both have the same bounds, so every value fits.
        let _ = self.0.add(&other.0);
    }

    fn buckets(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        let recorded = self.0.iter_recorded();
        recorded.map(|bucket| (bucket.value_iterated_to(), bucket.count_at_value()))
    }
}

fn duration(units: u64) -> Duration {
    let micros = u128::from(units) * UNIT_MICROS;
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

impl Serialize for DurationHistogram {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        // One flat list of pairs: the difference from the previous value, then the count.
        let mut flat = Vec::new();
        let mut last = 0;
        for (value, count) in self.buckets() {
            flat.extend([value - last, count]);
            last = value;
        }
        flat.serialize(out)
    }
}

impl<'a> Deserialize<'a> for DurationHistogram {
    fn deserialize<D: Deserializer<'a>>(from: D) -> Result<Self, D::Error> {
        let flat = Vec::<u64>::deserialize(from)?;
        let mut times = Self::default();
        let mut value = 0_u64;
        for pair in flat.chunks_exact(2) {
            value = value.saturating_add(pair[0]);
            times.0.saturating_record_n(value, pair[1]);
        }
        Ok(times)
    }
}
