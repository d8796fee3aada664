//! The interface to the platform's host list.
//!
//! The list lags: it may still contain a host that has stopped, and may not yet contain a host that
//! already serves. A snapshot is therefore only a hint, never proof that a host is alive.

use std::time::Duration;

use primrose_core::host::Host;

use crate::store::Result;

/// Number that increases with every change of the list; 0 means that the list was never read.
pub type HostIndex = u64;

/// The hosts of one service at one index of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostSnapshot {
    /// Index of the list at the time of the read.
    pub index: HostIndex,
    /// Hosts sorted by id.
    pub hosts: Vec<Host>,
}

/// The platform's list of the hosts of one service.
pub trait HostList: Send + Sync {
    /// Waits until the list's index differs from `after` or `wait` has passed; returns the list.
    ///
    /// With `after` 0 it returns at once. The only errors are
    /// [`crate::store::StoreError::Unavailable`] and [`crate::store::StoreError::Invalid`], because
    /// the call does not write.
    fn hosts(&self, after: HostIndex, wait: Duration) -> Result<HostSnapshot>;
}
