//! The border towards the key-value service.
//!
//! A [`Store`] offers compare-and-swap over groups of keys, leases, and watches. Versions grow with
//! every change of the whole service, so a version names one state of one key. Every method is one
//! call at the service or a few, and may block up to the adapter's timeout; callers give each duty
//! its own thread.

use std::time::Duration;

use primrose_core::id::Fence;
use snafu::Snafu;

/// Most operations that one [`Store::commit`] may hold.
pub const MAX_OPS: usize = 64;

/// Longest value of a key, in bytes, before the service's encoding.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Name of an entry; segments are parted by `/`.
pub type Key = String;

/// Version of an entry; 0 stands for an absent key.
pub type Version = u64;

/// Name of a lease, given by the service.
pub type LeaseId = String;

/// What the service holds under one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the entry.
    pub key: Key,
    /// Content.
    pub value: Vec<u8>,
    /// Grows with every change.
    pub version: Version,
    /// Lease under which the key is held, if any.
    pub lease: Option<LeaseId>,
    /// Grows with every new holder, as long as the key is not deleted.
    pub fence: Fence,
}

/// One operation of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Writes a key that must be absent.
    Create {
        /// Name of the entry.
        key: Key,
        /// Content.
        value: Vec<u8>,
    },
    /// Writes a key that must be at this version.
    Swap {
        /// Name of the entry.
        key: Key,
        /// New content.
        value: Vec<u8>,
        /// Version that was read; 0 means absent.
        version: Version,
    },
    /// Writes a key whatever it holds.
    Put {
        /// Name of the entry.
        key: Key,
        /// New content.
        value: Vec<u8>,
    },
    /// Removes a key that must be at this version.
    Delete {
        /// Name of the entry.
        key: Key,
        /// Version that was read.
        version: Version,
    },
    /// Holds a key under a lease and writes it; fails while another lease holds it.
    Hold {
        /// Name of the entry.
        key: Key,
        /// New content.
        value: Vec<u8>,
        /// Lease of the holder.
        lease: LeaseId,
    },
    /// Gives up a key that the lease holds and writes it; the entry stays.
    Release {
        /// Name of the entry.
        key: Key,
        /// New content.
        value: Vec<u8>,
        /// Lease of the holder.
        lease: LeaseId,
    },
    /// Changes nothing; fails unless the key is at this version.
    Check {
        /// Name of the entry.
        key: Key,
        /// Version that was read; 0 means absent.
        version: Version,
    },
}

impl Op {
    /// Makes a [`Op::Create`].
    pub fn create(key: impl Into<Key>, value: Vec<u8>) -> Self {
        let key = key.into();
        Self::Create { key, value }
    }

    /// Makes a [`Op::Swap`].
    pub fn swap(key: impl Into<Key>, value: Vec<u8>, version: Version) -> Self {
        let key = key.into();
        Self::Swap {
            key,
            value,
            version,
        }
    }

    /// Makes a [`Op::Hold`].
    pub fn hold(key: impl Into<Key>, value: Vec<u8>, lease: impl Into<LeaseId>) -> Self {
        Self::Hold {
            key: key.into(),
            value,
            lease: lease.into(),
        }
    }

    /// Returns the key that the operation is about.
    pub fn key(&self) -> &str {
        match self {
            Self::Create { key, .. }
            | Self::Swap { key, .. }
            | Self::Put { key, .. }
            | Self::Delete { key, .. }
            | Self::Hold { key, .. }
            | Self::Release { key, .. }
            | Self::Check { key, .. } => key,
        }
    }

    /// Returns the value that the operation writes, if it writes one.
    pub fn value(&self) -> Option<&[u8]> {
        match self {
            Self::Create { value, .. }
            | Self::Swap { value, .. }
            | Self::Put { value, .. }
            | Self::Hold { value, .. }
            | Self::Release { value, .. } => Some(value),
            Self::Delete { .. } | Self::Check { .. } => None,
        }
    }
}

/// What one written key has become.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Written {
    /// Name of the entry.
    pub key: Key,
    /// Its version after the commit.
    pub version: Version,
    /// Its fencing number after the commit.
    pub fence: Fence,
}

/// Why a commit changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("operation {op}: {detail}")]
pub struct Conflict {
    /// Index of the operation that failed, counted from 0.
    pub op: usize,
    /// What the service said.
    pub detail: String,
}

/// Answer to a commit: everything was applied, or nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitResult {
    /// Everything was applied; one element for each key that still exists, in the order written.
    Applied(Vec<Written>),
    /// Nothing was applied.
    Conflict(Conflict),
}

/// Why a call to the platform gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The call was surely not applied; it may be made again.
    #[snafu(display("platform service is unavailable: {detail}"))]
    Unavailable {
        /// What was seen.
        detail: String,
    },
    /// The request was sent and its reply lost: it may have been applied, or may be yet.
    #[snafu(display("reply of the platform service was lost: {detail}"))]
    Lost {
        /// What was seen.
        detail: String,
    },
    /// The request or the reply breaks the protocol; making the call again will not help.
    #[snafu(display("invalid exchange with the platform service: {detail}"))]
    Invalid {
        /// What is wrong.
        detail: String,
    },
    /// The lease does not exist any more.
    #[snafu(display("lease {lease} has ended"))]
    LeaseEnded {
        /// The lease that was named.
        lease: LeaseId,
    },
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, StoreError>;

/// The platform's key-value service.
///
/// Reads are linearizable. [`StoreError::Lost`] comes only from calls that write.
pub trait Store: Send + Sync {
    /// Reads one key; `None` if it is absent.
    fn get(&self, key: &str) -> Result<Option<Entry>>;

    /// Reads every key that begins with the prefix, in the order of their names.
    fn list(&self, prefix: &str) -> Result<Vec<Entry>>;

    /// Applies up to [`MAX_OPS`] operations, all or none.
    fn commit(&self, ops: &[Op]) -> Result<CommitResult>;

    /// Waits until the key's version differs from `after`, or `wait` has passed; returns what it is then.
    ///
    /// An absent key has version 0. The caller compares the version: the same one means that the
    /// wait has run out. A service that was restored from an old copy may show a lower one.
    fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>>;

    /// Begins a lease that lasts for `ttl` at least unless renewed.
    ///
    /// The holder counts from the moment before this call, by its own clock.
    fn lease(&self, ttl: Duration) -> Result<LeaseId>;

    /// Makes a lease last for its `ttl` from now; fails with [`StoreError::LeaseEnded`] when it has ended.
    fn renew(&self, lease: &str) -> Result<()>;

    /// Ends a lease; keys held under it are free and stay. Ending an ended lease is no error.
    fn revoke(&self, lease: &str) -> Result<()>;
}

/// Checks a commit against the limits, before it is sent.
pub fn check_ops(ops: &[Op]) -> Result<()> {
    if ops.is_empty() || ops.len() > MAX_OPS {
        let detail = format!(
            "a commit holds 1 to {MAX_OPS} operations, not {}",
            ops.len()
        );
        return InvalidSnafu { detail }.fail();
    }
    for op in ops {
        check_key(op.key())?;
        let bytes = op.value().map_or(0, <[u8]>::len);
        if bytes > MAX_VALUE_BYTES {
            let key = op.key();
            let detail = format!("value of {key} has {bytes} bytes, more than {MAX_VALUE_BYTES}");
            return InvalidSnafu { detail }.fail();
        }
    }
    Ok(())
}

/// Checks the form of a key.
pub fn check_key(key: &str) -> Result<()> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES || key.starts_with('/') {
        let detail =
            format!("key {key:?} must have 1 to {MAX_KEY_BYTES} bytes and not begin with a slash");
        return InvalidSnafu { detail }.fail();
    }
    Ok(())
}
