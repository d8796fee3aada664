//! Sums per interval of the day.

use serde::Deserialize;
use serde::Serialize;

use crate::calendar::MAX_INTERVALS;

/// One sum per interval; trailing intervals without a value are not stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Series(Vec<u64>);

impl Series {
    /// Adds `value` to the sum of an interval.
    pub fn add(&mut self, interval: usize, value: u64) {
        if let Some(sum) = self.value_mut(interval, value) {
            *sum = sum.saturating_add(value);
        }
    }

    /// Raises the value of an interval to `value` if that is higher.
    pub fn raise(&mut self, interval: usize, value: u64) {
        if let Some(sum) = self.value_mut(interval, value) {
            *sum = value.max(*sum);
        }
    }

    /// Returns the sum of an interval.
    pub fn get(&self, interval: usize) -> u64 {
        self.0.get(interval).copied().unwrap_or(0)
    }

    /// Returns the sum over the day.
    pub fn total(&self) -> u64 {
        self.0
            .iter()
            .fold(0, |sum, value| sum.saturating_add(*value))
    }

    /// Adds another series, interval by interval.
    pub fn add_all(&mut self, other: &Self) {
        for (interval, value) in other.0.iter().enumerate() {
            self.add(interval, *value);
        }
    }

    /// Keeps the maximum of both series, interval by interval.
    pub fn raise_all(&mut self, other: &Self) {
        for (interval, value) in other.0.iter().enumerate() {
            self.raise(interval, *value);
        }
    }

    /// Returns the value to update, or `None` for zero or an interval beyond the end of the day.
    ///
    /// The bound keeps a series from another router from growing beyond a day.
    fn value_mut(&mut self, interval: usize, value: u64) -> Option<&mut u64> {
        if value == 0 || interval >= MAX_INTERVALS {
            return None;
        }
        if self.0.len() <= interval {
            self.0.resize(interval + 1, 0);
        }
        self.0.get_mut(interval)
    }
}
