//! Sums over a sliding time window, kept in a ring of buckets.

use std::time::Duration;

use primrose_core::clock::Mono;

/// Buckets of a window; the span of a sum is short by up to one bucket.
const BUCKETS: usize = 8;

/// A sum over a sliding time window.
#[derive(Debug, Clone)]
pub struct Window {
    bucket_width: Duration,
    sums: [u64; BUCKETS],
    newest_bucket: u64,
}

impl Window {
    /// Creates an empty window of length `span`.
    pub fn new(span: Duration) -> Self {
        Self {
            bucket_width: span / u32::try_from(BUCKETS).unwrap_or(1),
            sums: [0; BUCKETS],
            newest_bucket: 0,
        }
    }

    /// Adds to the sum.
    pub fn add(&mut self, amount: u64, now: Mono) {
        self.advance(now);
        let index = self.index(self.newest_bucket);
        self.sums[index] += amount;
    }

    /// Returns the sum over the window that ends now.
    pub fn sum(&mut self, now: Mono) -> u64 {
        self.advance(now);
        self.sums.iter().sum()
    }

    fn index(&self, bucket: u64) -> usize {
        usize::try_from(bucket % BUCKETS as u64).unwrap_or(0)
    }

    /// Clears the buckets that have left the window since the last use.
    fn advance(&mut self, now: Mono) {
        let bucket =
            u64::try_from(now.as_nanos() / self.bucket_width.as_nanos().max(1)).unwrap_or(u64::MAX);
        let passed = bucket
            .saturating_sub(self.newest_bucket)
            .min(BUCKETS as u64);
        for back in 0..passed {
            let index = self.index(bucket - back);
            self.sums[index] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
    }
}
