//! The memory store: a state with fault injection, rate limits and call counters.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;

use super::calls::CallKind;
use super::calls::Calls;
use super::calls::RateLimits;
use super::faults::FaultPlan;
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

/// Interval at which a waiting watch checks for leases that have expired by the store's clock.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A write whose reply was lost and that is applied at a later call.
#[derive(Debug)]
struct LateWrite {
    due_call: u64,
    write: Write,
}

#[derive(Debug, Clone)]
enum Write {
    Commit(Vec<Op>),
    Lease(Duration),
    Renew(LeaseId),
    Revoke(LeaseId),
}

/// Result of a write.
enum WriteResult {
    Commit(CommitResult),
    Lease(LeaseId),
    Renewed(bool),
    Revoked,
}

#[derive(Debug, Default)]
struct Inner {
    state: StoreState,
    fault_plan: FaultPlan,
    late: Vec<LateWrite>,
    calls: Calls,
    calls_by_second: BTreeMap<u64, Calls>,
    rate_limits: Option<RateLimits>,
    restores: u64,
}

impl Inner {
    /// Counts a call and returns its number.
    fn count_call(&mut self, kind: CallKind, now: Mono) -> u64 {
        self.calls.add(kind);
        self.calls_by_second
            .entry(now.as_secs())
            .or_default()
            .add(kind);
        self.calls.total()
    }

    /// Returns whether the calls of the current second exceed the rate limit of this kind.
    fn is_over_rate_limit(&self, now: Mono, kind: CallKind) -> bool {
        let second = self.calls_by_second.get(&now.as_secs());
        let (Some(limits), Some(calls)) = (self.rate_limits, second) else {
            return false;
        };
        limits.are_exceeded_by(*calls, kind)
    }
}

/// Version of a store's whole state, which changes with every write and every restore.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateVersion {
    /// Version of the last change.
    pub index: Version,
    /// Number of restores so far.
    pub restores: u64,
}

/// A [`Store`] in memory with fault injection.
pub struct MemoryStore {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl MemoryStore {
    /// Creates an empty store; leases expire by this clock.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            inner: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Returns the number of calls so far; a watch and a refused call count as one each.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Returns the maximum number of calls within one second of the clock.
    pub fn busiest_second(&self) -> u64 {
        let inner = self.lock();
        let totals = inner.calls_by_second.values().map(|calls| calls.total());
        totals.max().unwrap_or(0)
    }

    /// Sets whether every call is refused.
    pub fn set_down(&self, down: bool) {
        self.lock().fault_plan.set_down(down);
        self.changed.notify_all();
    }

    /// Refuses calls above these limits from now on; `None` removes the limits.
    pub fn set_rate_limits(&self, limits: Option<RateLimits>) {
        self.lock().rate_limits = limits;
    }

    /// Plans a fault for a future call; 1 is the next one.
    pub fn fault_in(&self, calls: u64, fault: Fault) {
        let mut inner = self.lock();
        let call = inner.calls.total() + calls;
        inner.fault_plan.add(call, fault);
    }

    /// Ends all leases early, as a service does that loses its sessions.
    pub fn end_leases(&self) {
        let mut inner = self.lock();
        for lease in inner.state.leases() {
            inner.state.revoke(&lease);
        }
        self.changed.notify_all();
    }

    /// Returns a snapshot of the state.
    pub fn snapshot(&self) -> StoreState {
        self.lock().state.clone()
    }

    /// Replaces the state by an earlier snapshot.
    pub fn restore(&self, snapshot: StoreState) {
        let mut inner = self.lock();
        inner.state = snapshot;
        inner.restores += 1;
        self.changed.notify_all();
    }

    /// Returns one entry without counting a call.
    pub fn peek(&self, key: &str) -> Option<Entry> {
        self.lock_current().state.get(key).cloned()
    }

    /// Returns the version of the last change of a key, without counting a call.
    pub fn peek_last_change(&self, key: &str) -> Version {
        self.lock_current().state.last_change(key)
    }

    /// Returns the version of the whole state, without counting a call.
    pub fn peek_state_version(&self) -> StateVersion {
        let inner = self.lock_current();
        StateVersion {
            index: inner.state.index(),
            restores: inner.restores,
        }
    }

    /// Counts a watch and returns its planned fault as an error.
    ///
    /// The HTTP stand-in implements the wait itself and calls this once for each watch.
    pub fn begin_watch(&self) -> Result<()> {
        let fault = self.begin_call(CallKind::Watch).1;
        fault.map_or(Ok(()), unavailable)
    }

    /// Returns the time to live of a lease, without counting a call.
    pub fn peek_lease_ttl(&self, lease: &str) -> Option<Duration> {
        self.lock_current().state.lease_ttl(lease)
    }

    /// Ends expired leases and returns the locked state.
    fn lock_current(&self) -> MutexGuard<'_, Inner> {
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

    /// Counts a call, applies expired leases and due late writes, and returns the call's fault.
    fn begin_call(&self, kind: CallKind) -> (MutexGuard<'_, Inner>, Option<Fault>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let calls = inner.count_call(kind, now);
        let mut changed = inner.state.expire(now);
        let (due, pending) = inner.late.drain(..).partition(|late| late.due_call < calls);
        inner.late = pending;
        let due: Vec<LateWrite> = due;
        for late in due {
            inner.state.apply_write(&late.write, now);
            changed = true;
        }
        if changed {
            self.changed.notify_all();
        }
        let over_limit = inner.is_over_rate_limit(now, kind);
        let fault = inner.fault_plan.take(calls);
        (
            inner,
            if over_limit {
                Some(Fault::Refused)
            } else {
                fault
            },
        )
    }

    fn read<T>(&self, read: impl FnOnce(&StoreState) -> T) -> Result<T> {
        let (inner, fault) = self.begin_call(CallKind::Read);
        match fault {
            None => Ok(read(&inner.state)),
            Some(fault) => unavailable(fault),
        }
    }

    fn write(&self, write: &Write) -> Result<WriteResult> {
        let (mut inner, fault) = self.begin_call(CallKind::Write);
        let now = self.clock.now();
        match fault {
            None => {
                let result = inner.state.apply_write(write, now);
                self.changed.notify_all();
                Ok(result)
            }
            Some(Fault::Refused) => unavailable(Fault::Refused),
            Some(Fault::LostBefore) => lost(),
            Some(Fault::LostAfter) => {
                inner.state.apply_write(write, now);
                self.changed.notify_all();
                lost()
            }
            Some(Fault::Late(calls)) => {
                let due_call = inner.calls.total() + calls;
                let write = write.clone();
                inner.late.push(LateWrite { due_call, write });
                lost()
            }
        }
    }
}

impl StoreState {
    fn apply_write(&mut self, write: &Write, now: Duration) -> WriteResult {
        match write {
            Write::Commit(ops) => WriteResult::Commit(self.commit(ops)),
            Write::Lease(ttl) => WriteResult::Lease(self.lease(*ttl, now)),
            Write::Renew(lease) => WriteResult::Renewed(self.renew(lease, now)),
            Write::Revoke(lease) => {
                self.revoke(lease);
                WriteResult::Revoked
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
            WriteResult::Commit(result) => Ok(result),
            _ => unreachable!("a commit returns a commit result"),
        }
    }

    fn watch(&self, key: &str, after: Version, wait: Duration) -> Result<Option<Entry>> {
        check_key(key)?;
        let (mut inner, fault) = self.begin_call(CallKind::Watch);
        if let Some(fault) = fault {
            return unavailable(fault);
        }
        let end = Instant::now() + wait;
        loop {
            if inner.fault_plan.is_down() {
                return unavailable(Fault::Refused);
            }
            inner.state.expire(self.clock.now());
            let entry = inner.state.get(key).cloned();
            let version = entry.as_ref().map_or(0, |found| found.version);
            let left = end.saturating_duration_since(Instant::now());
            if version != after || left.is_zero() {
                return Ok(entry);
            }
            let pause = left.min(EXPIRY_CHECK_INTERVAL);
            let woken = self.changed.wait_timeout(inner, pause);
            inner = woken.expect("store lock poisoned").0;
        }
    }

    fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        match self.write(&Write::Lease(ttl))? {
            WriteResult::Lease(lease) => Ok(lease),
            _ => unreachable!("a lease call returns a lease id"),
        }
    }

    fn renew(&self, lease: &str) -> Result<()> {
        match self.write(&Write::Renew(lease.to_owned()))? {
            WriteResult::Renewed(true) => Ok(()),
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
