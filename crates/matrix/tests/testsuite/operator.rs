//! Operators who edit the tables, and a service that records what it accepted.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::Generation;
use primrose_store::memory::Fault as StoreFault;
use primrose_store::memory::MemoryStore;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::LeaseId;
use primrose_store::store::Op;
use primrose_store::store::Result as StoreResult;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_store::store::Version;
use primrose_support::clock::FakeClock;
use primrose_table::header::peek;
use primrose_table::header::ChangeId;
use primrosectl::ops::apply::apply;
use primrosectl::ops::apply::ApplyError;
use primrosectl::ops::apply::Edit;
use primrosectl::ops::sleep::Sleeper;
use primrosectl::ops::swap::SwapError;

use crate::sim::fault::Fault;
use crate::sim::fault::Strike;
use crate::sim::ms;
use crate::steps::Step;
use crate::tables::TableFlaw;

/// Name of the tables in the service.
pub(crate) const KEY: &str = "primrose/tables";
const LONG: Duration = ms(6_000);
const LATE: Duration = ms(4_000);

const TEXT: &str = "\
[document]
generation = 0
[route chat]
model = small
pool = engines
deadline = 30s
idempotent = yes
cost = 500
[pool engines]
kind = engine
service = engine
min-slots = 1
max-slots = 8
longest-run = 60s
";

/// What an operator was told about an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Word {
    Applied,
    NotApplied,
    Unknown,
}

/// An edit and what its operator was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Told {
    change: ChangeId,
    word: Word,
}

/// A document that stood in the service, in the order of acceptance.
#[derive(Debug, Clone)]
struct Accepted {
    generation: Generation,
    change: ChangeId,
    text: String,
}

#[derive(Debug, Default)]
struct Inner {
    down_until: Mono,
    waiting: Vec<Strike>,
    struck: usize,
    /// Whether the first edit is under way; only its calls are struck.
    watched: bool,
    changes: ChangeId,
    record: Vec<Accepted>,
    told: Vec<Told>,
}

/// The operators, and the service with faults at the steps of their edits.
pub(crate) struct Operators {
    store: MemoryStore,
    clock: Arc<FakeClock>,
    flaw: Option<TableFlaw>,
    inner: Mutex<Inner>,
}

impl Sleeper for Operators {
    fn sleep(&self, time: Duration) {
        self.clock.advance(time);
        self.look();
    }
}

impl Operators {
    pub(crate) fn new(clock: Arc<FakeClock>, strikes: &[Strike], flaw: Option<TableFlaw>) -> Self {
        let operators = Self {
            store: MemoryStore::new(clock.clone()),
            clock,
            flaw,
            inner: Mutex::new(Inner {
                waiting: strikes.to_vec(),
                ..Inner::default()
            }),
        };
        operators.apply_text(TEXT, &operators);
        operators
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("operators lock poisoned")
    }

    /// An operator changes the tables; a second one may come between.
    pub(crate) fn edit(&self, number: usize) {
        self.inner().watched = number == 0;
        self.change(600 + number, self);
        self.inner().watched = false;
    }

    /// The other operator changes the tables, unseen by the first.
    fn rival(&self) {
        self.inner().watched = false;
        let cost = 900 + self.inner().record.len();
        self.change(cost, &self.store);
        self.inner().watched = true;
    }

    fn change(&self, cost: usize, store: &dyn Store) {
        let text = self
            .stored()
            .map_or_else(|| TEXT.to_owned(), |stored| stored.text);
        let line = |line: &str| {
            let cost = format!("cost = {cost}");
            let of_cost = line.starts_with("cost = ");
            if of_cost {
                cost
            } else {
                line.to_owned()
            }
        };
        let lines: Vec<String> = text.lines().map(line).collect();
        self.apply_text(&(lines.join("\n") + "\n"), store);
    }

    fn apply_text(&self, text: &str, store: &dyn Store) {
        self.inner().changes += 1;
        let change = self.inner().changes;
        let edit = Edit {
            file: "tables.ini",
            text,
            change,
            fleet_generation: 0,
        };
        let word = match apply(store, self, KEY, &edit) {
            Ok(_) => Word::Applied,
            Err(_) if self.flaw == Some(TableFlaw::GuessesApplied) => Word::Applied,
            Err(ApplyError::Swap {
                source: SwapError::Unknown { .. },
            }) => Word::Unknown,
            Err(_) => Word::NotApplied,
        };
        self.observe();
        self.inner().told.push(Told { change, word });
    }

    /// What stands in the service, by its own state.
    fn stored(&self) -> Option<Accepted> {
        let copy = self.store.snapshot();
        let entry = copy.get(KEY)?;
        let text = String::from_utf8_lossy(&entry.value).into_owned();
        let header = peek(&text)?;
        Some(Accepted {
            generation: header.generation,
            change: header.change,
            text,
        })
    }

    /// Adds what stands in the service to its record, if it is new.
    fn observe(&self) {
        let Some(now) = self.stored() else {
            return;
        };
        let mut inner = self.inner();
        if inner.record.last().is_none_or(|last| last.text != now.text) {
            inner.record.push(now);
        }
    }

    /// What a router reads of the tables.
    pub(crate) fn shown(&self) -> StoreResult<Option<Entry>> {
        self.store.get(KEY)
    }

    /// Brings the service back when its outage is over.
    pub(crate) fn look(&self) {
        let over = self.inner().down_until <= self.clock.now();
        self.store.set_down(!over);
        self.observe();
    }

    pub(crate) fn take_down(&self, time: Duration) {
        self.inner().down_until = self.clock.now() + time;
        self.look();
    }

    pub(crate) fn struck(&self) -> usize {
        self.inner().struck
    }

    pub(crate) fn newest(&self) -> Generation {
        self.stored().map_or(0, |stored| stored.generation)
    }

    pub(crate) fn accepted(&self, text: &str) -> bool {
        self.inner().record.iter().any(|one| one.text == text)
    }

    /// Rules between what operators were told and what the service accepted.
    pub(crate) fn violations(&self) -> Vec<String> {
        let inner = self.inner();
        let mut out = Vec::new();
        for told in &inner.told {
            let stood = inner.record.iter().any(|one| one.change == told.change);
            let lie = match told.word {
                Word::Applied => !stood,
                Word::NotApplied => stood,
                Word::Unknown => false,
            };
            if lie {
                out.push(format!("change {} was told {:?}", told.change, told.word));
            }
        }
        for pair in inner.record.windows(2) {
            if pair[1].generation != pair[0].generation + 1 {
                let (one, other) = (pair[0].generation, pair[1].generation);
                out.push(format!("generation {other} followed {one} in the service"));
            }
        }
        out
    }

    /// Takes the fault that waits for a step of the first edit.
    fn fault_at(&self, step: Step) -> Option<Fault> {
        let mut inner = self.inner();
        if !inner.watched {
            return None;
        }
        let place = inner
            .waiting
            .iter()
            .position(|strike| strike.step == step)?;
        inner.struck += 1;
        Some(inner.waiting.remove(place).fault)
    }

    /// What a fault does to the service before a call arrives.
    fn before(&self, fault: Option<Fault>) {
        match fault {
            Some(Fault::StoreDown) => self.take_down(LONG),
            Some(Fault::Late | Fault::StoreSlow) => self.clock.advance(LATE),
            Some(Fault::TwoOperators | Fault::Crossed) => self.rival(),
            _ => {}
        }
    }
}

impl Store for Operators {
    fn get(&self, key: &str) -> StoreResult<Option<Entry>> {
        if key != KEY {
            return self.store.get(key);
        }
        let fault = self.fault_at(Step::TableRead);
        match fault {
            Some(Fault::Lost | Fault::ReplyLost | Fault::StoreReplyLost) => {
                let detail = "fault at this step".to_owned();
                return Err(StoreError::Unavailable { detail });
            }
            Some(Fault::TwoOperators | Fault::Crossed) => {
                // The operator has read; then the other one's change comes first.
                let read = self.store.get(key);
                self.rival();
                return read;
            }
            _ => self.before(fault),
        }
        self.store.get(key)
    }

    fn list(&self, prefix: &str) -> StoreResult<Vec<Entry>> {
        self.store.list(prefix)
    }

    fn commit(&self, ops: &[Op]) -> StoreResult<CommitResult> {
        let lost = || StoreError::Lost {
            detail: "fault at this step".to_owned(),
        };
        let bare: Vec<Op> = ops.iter().map(overwriting).collect();
        let ops = match self.flaw {
            Some(TableFlaw::Overwrites) => &bare,
            _ => ops,
        };
        if ops.iter().all(|op| op.key() != KEY) {
            return self.store.commit(ops);
        }
        let fault = self.fault_at(Step::TableCommit);
        match fault {
            Some(Fault::Lost) => return Err(lost()),
            Some(Fault::ReplyLost | Fault::StoreReplyLost) => {
                self.store.fault_in(1, StoreFault::LostAfter);
            }
            Some(Fault::Late) => self.store.fault_in(1, StoreFault::Late(1)),
            Some(Fault::Doubled) => {
                let _ = self.store.commit(ops);
                self.observe();
            }
            _ => self.before(fault),
        }
        let result = self.store.commit(ops);
        self.observe();
        let fault = self.fault_at(Step::TableReply);
        self.before(fault);
        match fault {
            Some(Fault::Lost | Fault::StoreReplyLost) => Err(lost()),
            _ => result,
        }
    }

    fn watch(&self, key: &str, after: Version, wait: Duration) -> StoreResult<Option<Entry>> {
        self.store.watch(key, after, wait)
    }

    fn lease(&self, ttl: Duration) -> StoreResult<LeaseId> {
        self.store.lease(ttl)
    }

    fn renew(&self, lease: &str) -> StoreResult<()> {
        self.store.renew(lease)
    }

    fn revoke(&self, lease: &str) -> StoreResult<()> {
        self.store.revoke(lease)
    }
}

/// The same write without its condition, for the flaw.
fn overwriting(op: &Op) -> Op {
    match op {
        Op::Create { key, value } | Op::Swap { key, value, .. } => Op::Put {
            key: key.clone(),
            value: value.clone(),
        },
        Op::Check { key, .. } => Op::Put {
            key: key.clone(),
            value: Vec::new(),
        },
        other => other.clone(),
    }
}
