//! A permit to load: one of a few keys of the whole fleet, held while a server loads.
//!
//! The key names the server before the load begins and is emptied when it is released, so that a
//! permit freed by a lapsed lease shows which load may still be under way. Whoever takes such a
//! permit asks that server first, and uses the permit only when the load has ended or its longest
//! time has passed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use primrose_core::clock::Mono;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Op;
use primrose_store::store::Result as StoreResult;
use primrose_store::store::Version;
use rand::Rng;

use crate::config::OrderConfig;
use crate::desired::Observed;
use crate::mark;
use crate::mark::Keys;
use crate::mark::PermitLoad;
use crate::mark::PermitMark;
use crate::message::Unreachable;

/// What a permit asks for, without the ticket.
#[derive(Debug)]
pub(crate) enum Request {
    List,
    Commit(Vec<Op>),
    Observe(SocketAddr),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// Has to look for a free permit.
    Looking,
    /// Has found one and has to take it.
    Taking,
    /// Holds one that names another load, and has to ask about it.
    Asking { next: Mono, heard: Mono, end: Mono },
    /// Holds one and has to write its own load into it.
    Marking,
    /// Holds one for its own load.
    Held,
}

/// One server's permit.
#[derive(Debug)]
pub(crate) struct Permit {
    keys: Keys,
    own: PermitLoad,
    phase: Phase,
    number: u32,
    /// Version of the key when it was last seen or written.
    version: Version,
    /// Load that the permit named when it was found.
    other: Option<PermitLoad>,
    /// Earliest time of the next try after a failure.
    retry: Mono,
    held: bool,
}

impl Permit {
    pub(crate) fn new(keys: Keys, own: PermitLoad) -> Self {
        Self {
            keys,
            own,
            phase: Phase::Looking,
            number: 0,
            version: 0,
            other: None,
            retry: Mono::ZERO,
            held: false,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.phase == Phase::Held
    }

    /// Returns the number of the permit if it is held, or may be.
    pub(crate) fn number(&self) -> Option<u32> {
        let perhaps = self.held || self.phase == Phase::Taking;
        perhaps.then_some(self.number)
    }

    /// Returns the operations that give the permit up; none if it is not held.
    ///
    /// It goes on naming its own load unless that is `over`, and another one that it still names.
    pub(crate) fn release(&self, lease: &str, over: bool) -> Vec<Op> {
        if !self.held {
            return Vec::new();
        }
        let load = match self.phase {
            Phase::Asking { .. } | Phase::Marking => self.other.clone(),
            _ if over => None,
            _ => Some(self.own.clone()),
        };
        let release = Op::Release {
            key: self.keys.permit(self.number),
            value: mark::encode(&PermitMark { load }),
            lease: lease.to_owned(),
        };
        vec![self.check(), release]
    }

    /// Returns when there is something to do next; the past if at once.
    pub(crate) fn wake(&self) -> Mono {
        match self.phase {
            Phase::Asking { next, .. } => next.max(self.retry),
            _ => self.retry,
        }
    }

    /// Returns what there is to do.
    pub(crate) fn request(&self, lease: &str) -> Option<Request> {
        match &self.phase {
            Phase::Looking => Some(Request::List),
            Phase::Taking => {
                let load = self.other.as_ref().unwrap_or(&self.own);
                Some(Request::Commit(self.hold(load, lease)))
            }
            Phase::Asking { .. } => {
                let other = self.other.as_ref()?;
                Some(Request::Observe(other.addr))
            }
            Phase::Marking => Some(Request::Commit(self.hold(&self.own, lease))),
            Phase::Held => None,
        }
    }

    fn hold(&self, load: &PermitLoad, lease: &str) -> Vec<Op> {
        let load = Some(load.clone());
        let value = mark::encode(&PermitMark { load });
        let key = self.keys.permit(self.number);
        vec![self.check(), Op::hold(key, value, lease)]
    }

    /// Ties a commit to the state that was seen, in case an earlier one is applied late.
    fn check(&self) -> Op {
        Op::Check {
            key: self.keys.permit(self.number),
            version: self.version,
        }
    }

    /// Chooses among the permits; false if none is free.
    pub(crate) fn listed<R: Rng>(
        &mut self,
        entries: &[Entry],
        used: &BTreeSet<u32>,
        lease: &str,
        config: &OrderConfig,
        rng: &mut R,
    ) -> bool {
        let taken: BTreeSet<u32> = entries
            .iter()
            .filter(|entry| entry.lease.as_deref().is_some_and(|id| id != lease))
            .filter_map(|entry| self.keys.permit_number(&entry.key))
            .collect();
        let is_free = |number: &u32| !taken.contains(number) && !used.contains(number);
        let free: Vec<u32> = (0..config.load_limit).filter(is_free).collect();
        if free.is_empty() {
            return false;
        }
        let find = |number: u32| {
            let key = self.keys.permit(number);
            entries.iter().find(|entry| entry.key == key)
        };
        // One that was taken without our hearing of it is used first, then one that names no load.
        let is_ours =
            |number: &u32| find(*number).is_some_and(|entry| entry.lease.as_deref() == Some(lease));
        let is_empty = |number: &u32| find(*number).and_then(named_load).is_none();
        let empty: Vec<u32> = free.iter().copied().filter(is_empty).collect();
        let pool = if empty.is_empty() { &free } else { &empty };
        let ours = free.iter().copied().find(is_ours);
        let number = ours.unwrap_or_else(|| pool[rng.random_range(0..pool.len())]);
        let found = find(number);
        self.number = number;
        self.version = found.map_or(0, |entry| entry.version);
        let load = found.and_then(named_load);
        self.other = load.filter(|load| *load != self.own);
        self.phase = Phase::Taking;
        true
    }

    /// Takes note of what became of a commit; false if the permit is not held.
    pub(crate) fn committed(
        &mut self,
        result: &StoreResult<CommitResult>,
        now: Mono,
        config: &OrderConfig,
    ) -> bool {
        match result {
            Ok(CommitResult::Applied(written)) => {
                let key = self.keys.permit(self.number);
                let last = written.iter().rev().find(|one| one.key == key);
                self.version = last.map_or(0, |one| one.version);
                self.applied(now, config);
                true
            }
            // The permit may be held all the same; the next list shows it as ours.
            Ok(CommitResult::Conflict(_)) | Err(_) => {
                self.held = false;
                self.phase = Phase::Looking;
                false
            }
        }
    }

    /// Takes note of what the server says whose load the permit names.
    pub(crate) fn observed(
        &mut self,
        result: &Result<Observed, Unreachable>,
        now: Mono,
        config: &OrderConfig,
    ) {
        let Phase::Asking { next, heard, end } = &mut self.phase else {
            return;
        };
        let over = match result {
            Ok(observed) => {
                *heard = now;
                observed.loading.is_empty()
            }
            Err(error) => error.refused || *heard + config.unreachable_time <= now,
        };
        if over || *end <= now {
            self.phase = Phase::Marking;
        } else {
            *next = now + config.settle_look;
        }
    }

    /// Waits before the next try.
    pub(crate) fn pause(&mut self, until: Mono) {
        self.retry = until;
    }

    fn applied(&mut self, now: Mono, config: &OrderConfig) {
        self.held = true;
        self.phase = match (&self.phase, &self.other) {
            (Phase::Taking, Some(_)) => Phase::Asking {
                // The lapsed holder may not know yet that its lease has ended, and send its order.
                next: now + config.quiet_time(),
                heard: now,
                end: now + config.settle_time,
            },
            _ => Phase::Held,
        };
    }
}

/// Returns the load that a permit names; a damaged one names none.
fn named_load(entry: &Entry) -> Option<PermitLoad> {
    let mark: PermitMark = mark::decode(&entry.value)?;
    mark.load
}
