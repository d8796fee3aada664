//! Test doubles: a store that records its history, operators' files, and a sleeper that does not wait.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use primrose_store::memory::Fault;
use primrose_store::memory::MemoryStore;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::LeaseId;
use primrose_store::store::Op;
use primrose_store::store::Result;
use primrose_store::store::Store;
use primrose_store::store::Version;
use primrose_support::clock::FakeClock;
use primrose_table::header::peek;
use primrose_table::header::Header;
use primrosectl::ops::apply::apply;
use primrosectl::ops::apply::Applied;
use primrosectl::ops::apply::ApplyError;
use primrosectl::ops::apply::Edit;
use primrosectl::ops::sleep::Sleeper;

/// Key of the tables in every test.
pub(crate) const KEY: &str = "test/tables";

/// Number of calls after which the store has applied every late write.
const FLUSH_CALLS: u64 = 32;

/// Returns at once.
pub(crate) struct NoSleep;

impl Sleeper for NoSleep {
    fn sleep(&self, _time: Duration) {}
}

/// A function that runs just before a call to the store.
type Hook = Box<dyn FnOnce(&RecordingStore) + Send>;

/// A store that records every header that the tables ever had.
pub(crate) struct RecordingStore {
    pub(crate) inner: MemoryStore,
    history: Mutex<Vec<Header>>,
    hook: Mutex<Option<(u64, Hook)>>,
}

impl RecordingStore {
    /// Creates a store that holds generation 1, change 1.
    pub(crate) fn new() -> Self {
        let store = Self {
            inner: MemoryStore::new(Arc::new(FakeClock::new())),
            history: Mutex::default(),
            hook: Mutex::default(),
        };
        let text = file(1, 1, 30);
        store
            .commit(&[Op::create(KEY, text.into_bytes())])
            .expect("no fault");
        store
    }

    /// Runs `hook` just before a later call: 1 is the next one.
    pub(crate) fn before_call(&self, call: u64, hook: Hook) {
        let call = self.inner.calls().total() + call;
        *self.hook.lock().expect("lock") = Some((call, hook));
    }

    /// Returns every header that the tables had, after all late writes are applied.
    pub(crate) fn history(&self) -> Vec<Header> {
        for _ in 0..FLUSH_CALLS {
            // The call only lets late writes take effect; its result does not matter.
            let _ = self.get(KEY);
        }
        self.history.lock().expect("lock").clone()
    }

    /// Returns the stored text of the tables.
    pub(crate) fn text(&self) -> String {
        let copy = self.inner.snapshot();
        let entry = copy.get(KEY).expect("tables are stored");
        String::from_utf8(entry.value.clone()).expect("text")
    }

    fn call<T>(&self, call: impl FnOnce(&MemoryStore) -> T) -> T {
        let mut hook = self.hook.lock().expect("lock");
        let due = hook.take_if(|(at, _)| *at == self.inner.calls().total() + 1);
        drop(hook);
        if let Some((_, hook)) = due {
            hook(self);
        }
        let result = call(&self.inner);
        self.record_header();
        result
    }

    fn record_header(&self) {
        let copy = self.inner.snapshot();
        let Some(entry) = copy.get(KEY) else {
            return;
        };
        let header = peek(&String::from_utf8_lossy(&entry.value)).expect("header");
        let mut history = self.history.lock().expect("lock");
        if history.last() != Some(&header) {
            history.push(header);
        }
    }
}

impl Store for RecordingStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.call(|inner| inner.get(key))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.call(|inner| inner.list(prefix))
    }

    fn commit(&self, ops: &[Op]) -> Result<CommitResult> {
        self.call(|inner| inner.commit(ops))
    }

    fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>> {
        self.call(|inner| inner.watch(key, after, wait))
    }

    fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.call(|inner| inner.lease(ttl))
    }

    fn renew(&self, lease: &str) -> Result<()> {
        self.call(|inner| inner.renew(lease))
    }

    fn revoke(&self, lease: &str) -> Result<()> {
        self.call(|inner| inner.revoke(lease))
    }
}

/// Returns an operator's file based on a generation, whose one route has this deadline in seconds.
pub(crate) fn file(generation: u64, change: u64, deadline: u64) -> String {
    format!(
        "; ours\n[document]\ngeneration = {generation}\nchange = {change:016x}\n\
         [route chat]\nmodel = small\npool = engines\ndeadline = {deadline}s\nidempotent = yes\n\
         cost = 500\n[pool engines]\nkind = engine\nservice = engine\nmin-slots = 1\n\
         max-slots = 8\nlongest-run = 10m\n"
    )
}

/// Applies a file as an operator does, with this change id.
pub(crate) fn apply_file(
    store: &dyn Store,
    text: &str,
    change: u64,
) -> std::result::Result<Applied, ApplyError> {
    let edit = Edit {
        file: "tables.ini",
        text,
        change,
        fleet_generation: 0,
    };
    apply(store, &NoSleep, KEY, &edit)
}

/// All faults that a call can be given.
pub(crate) const FAULTS: [Fault; 6] = [
    Fault::Refused,
    Fault::LostBefore,
    Fault::LostAfter,
    Fault::Late(0),
    Fault::Late(1),
    Fault::Late(3),
];
