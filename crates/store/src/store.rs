//! The interface to the key-value service.
//!
//! A [`Store`] offers compare-and-swap over groups of keys, leases, and watches. Versions increase
//! with every change of the whole service, so a version identifies one state of one key. Every
//! method makes one or a few calls to the service and may block up to the adapter's timeout, so
//! callers use a separate thread for each task.

use std::time::Duration;

use primrose_core::id::Fence;
use snafu::Snafu;

/// Maximum number of operations in one [`Store::commit`].
pub const MAX_OPS: usize = 64;

/// Maximum size of a value, in bytes, before the service's encoding.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Key of an entry; segments are separated by `/`.
pub type Key = String;

/// Version of an entry; 0 means that the key is absent.
pub type Version = u64;

/// Id of a lease, assigned by the service.
pub type LeaseId = String;

/// A key with its value and metadata.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key of the entry.
    pub key: Key,
    /// Content of the entry.
    pub value: Vec<u8>,
    /// Version of the entry; increases with every change.
    pub version: Version,
    /// Lease under which the key is held, if any.
    pub lease: Option<LeaseId>,
    /// Fencing token; increases with every new holder, as long as the key is not deleted.
    pub fence: Fence,
}

/// One operation of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Writes a key that must be absent.
    Create {
        /// Key of the entry.
        key: Key,
        /// Content of the entry.
        value: Vec<u8>,
    },
    /// Writes a key that must be at this version.
    Swap {
        /// Key of the entry.
        key: Key,
        /// New content of the entry.
        value: Vec<u8>,
        /// Expected version; 0 means that the key is absent.
        version: Version,
    },
    /// Writes a key unconditionally.
    Put {
        /// Key of the entry.
        key: Key,
        /// New content of the entry.
        value: Vec<u8>,
    },
    /// Removes a key that must be at this version.
    Delete {
        /// Key of the entry.
        key: Key,
        /// Expected version.
        version: Version,
    },
    /// Acquires a key under a lease and writes it; fails while another lease holds it.
    Hold {
        /// Key of the entry.
        key: Key,
        /// New content of the entry.
        value: Vec<u8>,
        /// Lease that holds the key.
        lease: LeaseId,
    },
    /// Releases a key that the lease holds and writes it; the entry stays.
    Release {
        /// Key of the entry.
        key: Key,
        /// New content of the entry.
        value: Vec<u8>,
        /// Lease that holds the key.
        lease: LeaseId,
    },
    /// Changes nothing; fails unless the key is at this version.
    Check {
        /// Key of the entry.
        key: Key,
        /// Expected version; 0 means that the key is absent.
        version: Version,
    },
}

impl Op {
    /// Creates an [`Op::Create`].
    pub fn create(key: impl Into<Key>, value: Vec<u8>) -> Self {
        let key = key.into();
        Self::Create { key, value }
    }

    /// Creates an [`Op::Swap`].
    pub fn swap(key: impl Into<Key>, value: Vec<u8>, version: Version) -> Self {
        let key = key.into();
        Self::Swap {
            key,
            value,
            version,
        }
    }

    /// Creates an [`Op::Hold`].
    pub fn hold(key: impl Into<Key>, value: Vec<u8>, lease: impl Into<LeaseId>) -> Self {
        Self::Hold {
            key: key.into(),
            value,
            lease: lease.into(),
        }
    }

    /// Returns the key of the operation.
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

/// Version and fencing token of a key after a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Written {
    /// Key of the entry.
    pub key: Key,
    /// Version after the commit.
    pub version: Version,
    /// Fencing token after the commit.
    pub fence: Fence,
}

/// The failed operation of a commit that was not applied.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("operation {op}: {detail}")]
pub struct Conflict {
    /// Index of the operation that failed, counted from 0.
    pub op: usize,
    /// Message of the service.
    pub detail: String,
}

/// Result of a commit: all operations were applied, or none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitResult {
    /// All operations were applied; one element for each written key that exists, in their order.
    Applied(Vec<Written>),
    /// No operation was applied.
    Conflict(Conflict),
}

/// Error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The call was certainly not applied; it may be retried.
    #[snafu(display("platform service is unavailable: {detail}"))]
    Unavailable {
        /// Description of the failure.
        detail: String,
    },
    /// The reply to a sent request was lost: it may have been applied, or may still be applied.
    #[snafu(display("reply of the platform service was lost: {detail}"))]
    Lost {
        /// Description of the failure.
        detail: String,
    },
    /// The request or the reply violates the protocol; a retry would fail as well.
    #[snafu(display("invalid exchange with the platform service: {detail}"))]
    Invalid {
        /// Description of the violation.
        detail: String,
    },
    /// The lease has expired or was revoked.
    #[snafu(display("lease {lease} has ended"))]
    LeaseEnded {
        /// Lease of the call.
        lease: LeaseId,
    },
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, StoreError>;

/// The platform's key-value service.
///
/// Reads are linearizable. Only writes return [`StoreError::Lost`].
pub trait Store: Send + Sync {
    /// Reads one key; `None` if it is absent.
    fn get(&self, key: &str) -> Result<Option<Entry>>;

    /// Reads all entries whose keys begin with the prefix, sorted by key.
    fn list(&self, prefix: &str) -> Result<Vec<Entry>>;

    /// Applies up to [`MAX_OPS`] operations atomically.
    fn commit(&self, ops: &[Op]) -> Result<CommitResult>;

    /// Waits until the key's version differs from `after` or `wait` has passed; returns the entry.
    ///
    /// An absent key has version 0. If the returned version equals `after`, the wait has timed out.
    /// A service that was restored from an old backup may return a lower version.
    fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>>;

    /// Creates a lease that lasts for at least `ttl` after its creation or last renewal.
    ///
    /// The holder counts from the time before this call, by its own clock.
    fn lease(&self, ttl: Duration) -> Result<LeaseId>;

    /// Renews a lease for its `ttl`; fails with [`StoreError::LeaseEnded`] if it has ended.
    fn renew(&self, lease: &str) -> Result<()>;

    /// Ends a lease and releases its keys; the entries stay. Ending an ended lease succeeds.
    fn revoke(&self, lease: &str) -> Result<()>;
}

/// Validates the number and sizes of a commit's operations before it is sent.
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

/// Validates the form of a key.
pub fn check_key(key: &str) -> Result<()> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES || key.starts_with('/') {
        let detail =
            format!("key {key:?} must have 1 to {MAX_KEY_BYTES} bytes and not begin with a slash");
        return InvalidSnafu { detail }.fail();
    }
    Ok(())
}
