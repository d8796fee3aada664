//! Cuts one router off from the platform while everyone else reaches it.
//!
//! What a router sees of a cut is what a network shows: no call succeeds, and the answer of one
//! that waited when the cut began never arrives.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use primrose_store::hosts::HostIndex;
use primrose_store::hosts::HostList;
use primrose_store::hosts::HostSnapshot;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::LeaseId;
use primrose_store::store::Op;
use primrose_store::store::Result;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_store::store::Version;

/// A cable between a router and the platform; clones are the same cable.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cut(Arc<AtomicBool>);

impl Cut {
    /// Cuts, or mends.
    pub(crate) fn set(&self, cut: bool) {
        self.0.store(cut, Ordering::Relaxed);
    }

    /// Puts the key-value service behind this cable.
    pub(crate) fn store(&self, store: impl Store + 'static) -> Arc<dyn Store> {
        Arc::new(CutStore {
            cut: self.clone(),
            store,
        })
    }

    /// Puts a host list behind this cable.
    pub(crate) fn hosts(&self, list: impl HostList + 'static) -> Arc<dyn HostList> {
        Arc::new(CutHosts {
            cut: self.clone(),
            list,
        })
    }

    fn is_cut(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Makes a call that only reads.
    fn read<T>(&self, call: impl FnOnce() -> Result<T>) -> Result<T> {
        let detail = || "cut off from the platform".to_owned();
        let unavailable = || StoreError::Unavailable { detail: detail() };
        if self.is_cut() {
            return Err(unavailable());
        }
        let answer = call();
        if self.is_cut() {
            return Err(unavailable());
        }
        answer
    }

    /// Makes a call that may write.
    fn write<T>(&self, call: impl FnOnce() -> Result<T>) -> Result<T> {
        let detail = "cut off from the platform".to_owned();
        if self.is_cut() {
            return Err(StoreError::Unavailable { detail });
        }
        let answer = call();
        if self.is_cut() {
            return Err(StoreError::Lost { detail });
        }
        answer
    }
}

struct CutStore<S> {
    cut: Cut,
    store: S,
}

impl<S: Store> Store for CutStore<S> {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.cut.read(|| self.store.get(key))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.cut.read(|| self.store.list(prefix))
    }

    fn commit(&self, ops: &[Op]) -> Result<CommitResult> {
        self.cut.write(|| self.store.commit(ops))
    }

    fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>> {
        self.cut.read(|| self.store.watch(key, after, wait))
    }

    fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.cut.write(|| self.store.lease(ttl))
    }

    fn renew(&self, lease: &str) -> Result<()> {
        self.cut.write(|| self.store.renew(lease))
    }

    fn revoke(&self, lease: &str) -> Result<()> {
        self.cut.write(|| self.store.revoke(lease))
    }
}

struct CutHosts<L> {
    cut: Cut,
    list: L,
}

impl<L: HostList> HostList for CutHosts<L> {
    fn hosts(&self, after: HostIndex, wait: Duration) -> Result<HostSnapshot> {
        self.cut.read(|| self.list.hosts(after, wait))
    }
}
