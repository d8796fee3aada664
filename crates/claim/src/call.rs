//! Limits and counters of a claim writer, and the calls that it makes to the key-value service.

use std::time::Duration;

use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Key;
use primrose_store::store::Op;
use primrose_store::store::Result as StoreResult;

/// Limits of a claim writer.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Longest time that a claim request may wait for its result.
    pub claim_timeout: Duration,
    /// Age from which another request's open claim is reported as unknown instead of in progress.
    pub stale_after: Duration,
    /// How long requests are collected before a commit is made.
    pub batch_window: Duration,
    /// Maximum number of claim requests that may wait.
    pub max_claims: usize,
    /// Maximum number of close requests that may wait.
    pub max_closes: usize,
    /// Maximum size of the waiting close requests, in bytes; above it, only the digests of their
    /// answers are kept.
    pub max_close_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            claim_timeout: Duration::from_secs(2),
            stale_after: Duration::from_secs(120),
            batch_window: Duration::from_millis(5),
            max_claims: 1024,
            max_closes: 4096,
            max_close_bytes: 8 << 20,
        }
    }
}

/// A call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads one key.
    Get(Key),
    /// Applies all operations or none.
    Commit(Vec<Op>),
}

/// Result of a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// Result of [`Call::Get`].
    Got(StoreResult<Option<Entry>>),
    /// Result of [`Call::Commit`].
    Committed(StoreResult<CommitResult>),
}

/// Counters since a claim writer was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Commits sent to the service.
    pub commits: u64,
    /// Operations in all commits.
    pub ops: u64,
    /// Reads sent to the service.
    pub reads: u64,
    /// Claim requests rejected because the claim could not be recorded.
    pub unavailable: u64,
    /// Close requests dropped because too many waited, and requests that the service refused as
    /// invalid.
    pub dropped: u64,
}
