//! A key-value store whose replies can be delayed.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use primrose_store::memory::MemoryStore;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::LeaseId;
use primrose_store::store::Op;
use primrose_store::store::Result;
use primrose_store::store::Store;
use primrose_store::store::Version;
use primrose_support::clock::FakeClock;

/// Forwards calls to a store; can advance the clock between the effect of a call and its reply.
pub(crate) struct SlowStore {
    store: Arc<MemoryStore>,
    clock: Arc<FakeClock>,
    delay: Mutex<Duration>,
}

impl SlowStore {
    pub(crate) fn new(store: Arc<MemoryStore>, clock: Arc<FakeClock>) -> Self {
        Self {
            store,
            clock,
            delay: Mutex::new(Duration::ZERO),
        }
    }

    /// Delays the reply to the next call.
    pub(crate) fn delay_next(&self, delay: Duration) {
        *self.delay.lock().expect("delay lock poisoned") = delay;
    }

    fn delayed<T>(&self, reply: T) -> T {
        let mut delay = self.delay.lock().expect("delay lock poisoned");
        self.clock.advance(std::mem::take(&mut *delay));
        reply
    }
}

impl Store for SlowStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.delayed(self.store.get(key))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.delayed(self.store.list(prefix))
    }

    fn commit(&self, ops: &[Op]) -> Result<CommitResult> {
        self.delayed(self.store.commit(ops))
    }

    fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>> {
        self.delayed(self.store.watch(key, after, wait))
    }

    fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.delayed(self.store.lease(ttl))
    }

    fn renew(&self, lease: &str) -> Result<()> {
        self.delayed(self.store.renew(lease))
    }

    fn revoke(&self, lease: &str) -> Result<()> {
        self.delayed(self.store.revoke(lease))
    }
}
