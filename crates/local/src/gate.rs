//! A key-value service that one router can be cut off from.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use primrose_platform::store::CommitResult;
use primrose_platform::store::Entry;
use primrose_platform::store::LeaseId;
use primrose_platform::store::Op;
use primrose_platform::store::Result;
use primrose_platform::store::Store;
use primrose_platform::store::StoreError;
use primrose_platform::store::Version;

/// Whether a router is cut off from the platform.
pub(crate) type Gate = Arc<AtomicBool>;

/// Passes calls on unless the gate is shut.
pub(crate) struct GatedStore<S> {
    pub(crate) store: S,
    pub(crate) shut: Gate,
}

impl<S: Store> GatedStore<S> {
    fn open(&self) -> Result<&S> {
        if self.shut.load(Ordering::Relaxed) {
            let detail = "cut off by the deployment".to_owned();
            return Err(StoreError::Unavailable { detail });
        }
        Ok(&self.store)
    }
}

impl<S: Store> Store for GatedStore<S> {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.open()?.get(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.open()?.list(prefix)
    }

    fn commit(&self, ops: &[Op]) -> Result<CommitResult> {
        self.open()?.commit(ops)
    }

    fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>> {
        let seen = self.open()?.watch(key, after, wait);
        // What came while the gate was shut has not arrived.
        self.open()?;
        seen
    }

    fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.open()?.lease(ttl)
    }

    fn renew(&self, lease: &str) -> Result<()> {
        self.open()?.renew(lease)
    }

    fn revoke(&self, lease: &str) -> Result<()> {
        self.open()?.revoke(lease)
    }
}
