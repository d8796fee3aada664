//! The border towards the platform's host list.
//!
//! The list lags: a host may be gone before the list says so, and a new one may serve before it
//! appears. A snapshot is therefore a hint about the past, never a proof that a host lives.

use std::time::Duration;

use primrose_core::host::Host;

use crate::store::Result;

/// Number that grows with every change of the list; 0 stands for "never read".
pub type HostIndex = u64;

/// The hosts of one service at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostSnapshot {
    /// Index of this state of the list.
    pub index: HostIndex,
    /// Hosts in the order of their names.
    pub hosts: Vec<Host>,
}

/// The platform's list of the hosts of one service.
pub trait HostList: Send + Sync {
    /// Waits until the list's index differs from `after`, or `wait` has passed; returns the list then.
    ///
    /// With `after` 0 it returns at once. Only [`crate::store::StoreError::Unavailable`] and
    /// [`crate::store::StoreError::Invalid`] come back, because nothing is written.
    fn hosts(&self, after: HostIndex, wait: Duration) -> Result<HostSnapshot>;
}
