//! The in-memory store: plain state, faults by call number, and counters.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;

use super::calls::Calls;
use super::calls::Kind;
use super::calls::RateLimits;
use super::faults::Plan;
use super::Fault;
use super::StoreState;
use crate::store::check_key;
use crate::store::check_ops;
use crate::store::CommitResult;
use crate::store::Entry;
use crate::store::LeaseEndedSnafu;
use crate::store::LeaseId;
use crate::store::LostSnafu;
use crate::store::Op;
use crate::store::Result;
use crate::store::Store;
use crate::store::UnavailableSnafu;
use crate::store::Version;

/// How often a waiting watch looks whether a lease has ended by the passed-in clock.
const EXPIRY_CHECK: Duration = Duration::from_millis(10);

/// A write that the service applies late.
#[derive(Debug)]
struct LateWrite {
    due: u64,
    write: Write,
}

#[derive(Debug, Clone)]
enum Write {
    Commit(Vec<Op>),
    Lease(Duration),
    Renew(LeaseId),
    Revoke(LeaseId),
}

/// What a write gave.
enum Effect {
    Commit(CommitResult),
    Lease(LeaseId),
    Renewed(bool),
    Revoked,
}

#[derive(Debug, Default)]
struct Inner {
    state: StoreState,
    plan: Plan,
    late: Vec<LateWrite>,
    calls: Calls,
    seconds: BTreeMap<u64, Calls>,
    rate_limits: Option<RateLimits>,
    restores: u64,
}

impl Inner {
    /// Counts a call and returns its number.
    fn count(&mut self, kind: Kind, now: Mono) -> u64 {
        self.calls.add(kind);
        self.seconds.entry(now.as_secs()).or_default().add(kind);
        self.calls.total()
    }

    /// Tells whether this second has brought more calls of the kind than the service takes.
    fn is_over_rate(&self, now: Mono, kind: Kind) -> bool {
        let second = self.seconds.get(&now.as_secs());
        let (Some(limits), Some(calls)) = (self.rate_limits, second) else {
            return false;
        };
        limits.are_exceeded_by(*calls, kind)
    }
}

/// How far a store has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateVersion {
    /// Version of the last change.
    pub index: Version,
    /// Copies restored so far.
    pub restores: u64,
}

/// A [`Store`] in memory whose faults a test sets by hand.
pub struct MemoryStore {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl MemoryStore {
    /// Makes an empty store; leases end by this clock.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            inner: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Returns how many calls have arrived; a waiting watch counts as one, a refused call as one.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Returns the most calls that have arrived within one second of the clock.
    pub fn busiest_second(&self) -> u64 {
        let inner = self.lock();
        let totals = inner.seconds.values().map(|calls| calls.total());
        totals.max().unwrap_or(0)
    }

    /// Refuses every call from now on, or ends that.
    pub fn set_down(&self, down: bool) {
        self.lock().plan.set_down(down);
        self.changed.notify_all();
    }

    /// Refuses calls beyond these rates from now on; `None` ends that.
    pub fn set_rate_limits(&self, limits: Option<RateLimits>) {
        self.lock().rate_limits = limits;
    }

    /// Plans a fault for a call that is yet to come: 1 is the next one.
    pub fn fault_in(&self, calls: u64, fault: Fault) {
        let mut inner = self.lock();
        let call = inner.calls.total() + calls;
        inner.plan.add(call, fault);
    }

    /// Ends every lease before its time, as a service may that loses a session.
    pub fn end_leases(&self) {
        let mut inner = self.lock();
        for lease in inner.state.leases() {
            inner.state.revoke(&lease);
        }
        self.changed.notify_all();
    }

    /// Returns a copy of everything the service holds.
    pub fn snapshot(&self) -> StoreState {
        self.lock().state.clone()
    }

    /// Puts an earlier copy in the place of what the service holds.
    pub fn restore(&self, snapshot: StoreState) {
        let mut inner = self.lock();
        inner.state = snapshot;
        inner.restores += 1;
        self.changed.notify_all();
    }

    /// Returns one entry without counting a call.
    pub fn peek(&self, key: &str) -> Option<Entry> {
        self.settle().state.get(key).cloned()
    }

    /// Returns the version of the last change of a key, without counting a call.
    pub fn peek_last_change(&self, key: &str) -> Version {
        self.settle().state.last_change(key)
    }

    /// Returns numbers that differ after every change and every restored copy, without counting a call.
    pub fn peek_state_version(&self) -> StateVersion {
        let inner = self.settle();
        StateVersion {
            index: inner.state.index(),
            restores: inner.restores,
        }
    }

    /// Counts a watch and takes the fault that was planned for it.
    pub fn begin_watch(&self) -> Result<()> {
        let fault = self.enter(Kind::Watch).1;
        fault.map_or(Ok(()), unavailable)
    }

    /// Returns the time for which a lease lasts after a renewal, without counting a call.
    pub fn peek_lease_ttl(&self, lease: &str) -> Option<Duration> {
        self.settle().state.lease_ttl(lease)
    }

    /// Ends leases whose time has passed.
    fn settle(&self) -> MutexGuard<'_, Inner> {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.state.expire(now) {
            self.changed.notify_all();
        }
        inner
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("store lock poisoned")
    }

    /// Counts a call, applies what is due, and returns the call's fault.
    fn enter(&self, kind: Kind) -> (MutexGuard<'_, Inner>, Option<Fault>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let calls = inner.count(kind, now);
        let mut changed = inner.state.expire(now);
        let (due, waiting) = inner.late.drain(..).partition(|late| late.due < calls);
        inner.late = waiting;
        let due: Vec<LateWrite> = due;
        for late in due {
            inner.state.run(&late.write, now);
            changed = true;
        }
        if changed {
            self.changed.notify_all();
        }
        let over = inner.is_over_rate(now, kind);
        let fault = inner.plan.take(calls);
        (inner, if over { Some(Fault::Refused) } else { fault })
    }

    fn read<T>(&self, read: impl FnOnce(&StoreState) -> T) -> Result<T> {
        let (inner, fault) = self.enter(Kind::Read);
        match fault {
            None => Ok(read(&inner.state)),
            Some(fault) => unavailable(fault),
        }
    }

    fn write(&self, write: &Write) -> Result<Effect> {
        let (mut inner, fault) = self.enter(Kind::Write);
        let now = self.clock.now();
        match fault {
            None => {
                let effect = inner.state.run(write, now);
                self.changed.notify_all();
                Ok(effect)
            }
            Some(Fault::Refused) => unavailable(Fault::Refused),
            Some(Fault::LostBefore) => lost(),
            Some(Fault::LostAfter) => {
                inner.state.run(write, now);
                self.changed.notify_all();
                lost()
            }
            Some(Fault::Late(calls)) => {
                let due = inner.calls.total() + calls;
                let write = write.clone();
                inner.late.push(LateWrite { due, write });
                lost()
            }
        }
    }
}

impl StoreState {
    fn run(&mut self, write: &Write, now: Duration) -> Effect {
        match write {
            Write::Commit(ops) => Effect::Commit(self.commit(ops)),
            Write::Lease(ttl) => Effect::Lease(self.lease(*ttl, now)),
            Write::Renew(lease) => Effect::Renewed(self.renew(lease, now)),
            Write::Revoke(lease) => {
                self.revoke(lease);
                Effect::Revoked
            }
        }
    }
}

impl Store for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        check_key(key)?;
        self.read(|state| state.get(key).cloned())
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        self.read(|state| state.list(prefix))
    }

    fn commit(&self, ops: &[Op]) -> Result<CommitResult> {
        check_ops(ops)?;
        match self.write(&Write::Commit(ops.to_vec()))? {
            Effect::Commit(result) => Ok(result),
            _ => unreachable!("a commit gives a commit's result"),
        }
    }

    fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>> {
        check_key(key)?;
        let (mut inner, fault) = self.enter(Kind::Watch);
        if let Some(fault) = fault {
            return unavailable(fault);
        }
        let end = Instant::now() + wait;
        loop {
            if inner.plan.is_down() {
                return unavailable(Fault::Refused);
            }
            inner.state.expire(self.clock.now());
            let entry = inner.state.get(key).cloned();
            let version = entry.as_ref().map_or(0, |found| found.version);
            let left = end.saturating_duration_since(Instant::now());
            if version != after || left.is_zero() {
                return Ok(entry);
            }
            let pause = left.min(EXPIRY_CHECK);
            let woken = self.changed.wait_timeout(inner, pause);
            inner = woken.expect("store lock poisoned").0;
        }
    }

    fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        match self.write(&Write::Lease(ttl))? {
            Effect::Lease(lease) => Ok(lease),
            _ => unreachable!("a lease gives its id"),
        }
    }

    fn renew(&self, lease: &str) -> Result<()> {
        match self.write(&Write::Renew(lease.to_owned()))? {
            Effect::Renewed(true) => Ok(()),
            _ => LeaseEndedSnafu { lease }.fail(),
        }
    }

    fn revoke(&self, lease: &str) -> Result<()> {
        self.write(&Write::Revoke(lease.to_owned()))?;
        Ok(())
    }
}

fn unavailable<T>(fault: Fault) -> Result<T> {
    let detail = format!("fault set by the test: {fault:?}");
    UnavailableSnafu { detail }.fail()
}

fn lost<T>() -> Result<T> {
    let detail = "fault set by the test";
    LostSnafu { detail }.fail()
}
