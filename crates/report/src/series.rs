//! Sums by interval of the day.

use serde::Deserialize;
use serde::Serialize;

use crate::calendar::MAX_INTERVALS;

/// One sum for each interval; intervals at the end without any are left out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Series(Vec<u64>);

impl Series {
    /// Adds to the sum of an interval.
    pub fn add(&mut self, interval: usize, value: u64) {
        if let Some(sum) = self.value_mut(interval, value) {
            *sum = sum.saturating_add(value);
        }
    }

    /// Raises an interval to a value that is higher.
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

    /// Takes the higher of both, interval by interval.
    pub fn raise_all(&mut self, other: &Self) {
        for (interval, value) in other.0.iter().enumerate() {
            self.raise(interval, *value);
        }
    }

    /// A series that came from elsewhere is never longer than a day.
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
