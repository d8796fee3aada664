//! What goes into a claims desk and comes out of it, besides orders and replies.

use std::time::Duration;

use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Key;
use primrose_store::store::Op;
use primrose_store::store::Result as StoreResult;

/// Bounds of a desk.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Longest time for which a wish to claim may wait.
    pub claim_wait: Duration,
    /// Age after which another's open claim is called unknown instead of under way.
    pub stale_after: Duration,
    /// Time for which orders gather before a commit is made.
    pub window: Duration,
    /// Most wishes to claim that may wait.
    pub claims: usize,
    /// Most closings that may wait.
    pub closings: usize,
    /// Most bytes that waiting closings may hold; beyond it answers shrink to their digests.
    pub closing_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            claim_wait: Duration::from_secs(2),
            stale_after: Duration::from_secs(120),
            window: Duration::from_millis(5),
            claims: 1024,
            closings: 4096,
            closing_bytes: 8 << 20,
        }
    }
}

/// A call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read one key.
    Get(Key),
    /// Apply all operations or none.
    Commit(Vec<Op>),
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// What a read found.
    Got(StoreResult<Option<Entry>>),
    /// What became of a commit.
    Committed(StoreResult<CommitResult>),
}

/// Counts since the desk was made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Commits that were asked for.
    pub commits: u64,
    /// Operations in them.
    pub ops: u64,
    /// Reads that were asked for.
    pub reads: u64,
    /// Claims that were turned away because the service did not answer.
    pub unavailable: u64,
    /// Closings that were dropped because too many waited.
    pub dropped: u64,
}
