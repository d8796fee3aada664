//! A permit to load: one of a few keys of the whole fleet, held while a server loads.
//!
//! The server is written into the key before the load begins and removed when the permit is
//! released. A permit whose lease has expired therefore shows which load may still be in progress.
//! Whoever takes such a permit reads the state of that server first, and uses the permit only once
//! the load has ended or its timeout has passed.

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
use crate::message::Unreachable;
use crate::record;
use crate::record::Keys;
use crate::record::PermitLoad;
use crate::record::PermitRecord;

/// Action that a permit requests, without its [`ActionId`](crate::message::ActionId).
#[derive(Debug)]
pub(crate) enum PermitAction {
    List,
    Commit(Vec<Op>),
    Observe(SocketAddr),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// Lists the permits to find a free one.
    Listing,
    /// Takes the chosen permit.
    Taking,
    /// Holds a permit that names another load, and observes the server of that load.
    CheckingOther {
        observe_at: Mono,
        last_reply: Mono,
        give_up_at: Mono,
    },
    /// Holds a permit and writes its own load into it.
    Recording,
    /// Holds a permit that names its own load.
    Held,
}

/// The permit that one server holds or acquires.
#[derive(Debug)]
pub(crate) struct Permit {
    keys: Keys,
    own_load: PermitLoad,
    phase: Phase,
    number: u32,
    /// Version of the key when it was last read or written.
    version: Version,
    /// Load that the permit named when it was found.
    other_load: Option<PermitLoad>,
    /// Earliest time of the next try after a failure.
    retry_at: Mono,
    held: bool,
}

impl Permit {
    pub(crate) fn new(keys: Keys, own_load: PermitLoad) -> Self {
        Self {
            keys,
            own_load,
            phase: Phase::Listing,
            number: 0,
            version: 0,
            other_load: None,
            retry_at: Mono::ZERO,
            held: false,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.phase == Phase::Held
    }

    /// Returns the number of the permit if it is held, or may be.
    pub(crate) fn number(&self) -> Option<u32> {
        let may_be_held = self.held || self.phase == Phase::Taking;
        may_be_held.then_some(self.number)
    }

    /// Returns the operations that release the permit; none if it is not held.
    ///
    /// If the permit named another load when it was taken, and the end of that load is not recorded
    /// yet, the released permit still names that load. Otherwise it names its own load, or no load
    /// if `load_ended`.
    pub(crate) fn release_ops(&self, lease: &str, load_ended: bool) -> Vec<Op> {
        if !self.held {
            return Vec::new();
        }
        let load = match self.phase {
            Phase::CheckingOther { .. } | Phase::Recording => self.other_load.clone(),
            _ if load_ended => None,
            _ => Some(self.own_load.clone()),
        };
        let release = Op::Release {
            key: self.keys.permit(self.number),
            value: record::encode(&PermitRecord { load }),
            lease: lease.to_owned(),
        };
        vec![self.version_check(), release]
    }

    /// Returns the time of the next action; in the past if it is due.
    pub(crate) fn next_wake(&self) -> Mono {
        match self.phase {
            Phase::CheckingOther { observe_at, .. } => observe_at.max(self.retry_at),
            _ => self.retry_at,
        }
    }

    /// Returns the next action, if any.
    pub(crate) fn next_action(&self, lease: &str) -> Option<PermitAction> {
        match &self.phase {
            Phase::Listing => Some(PermitAction::List),
            Phase::Taking => {
                let load = self.other_load.as_ref().unwrap_or(&self.own_load);
                Some(PermitAction::Commit(self.hold_ops(load, lease)))
            }
            Phase::CheckingOther { .. } => {
                let other_load = self.other_load.as_ref()?;
                Some(PermitAction::Observe(other_load.addr))
            }
            Phase::Recording => Some(PermitAction::Commit(self.hold_ops(&self.own_load, lease))),
            Phase::Held => None,
        }
    }

    fn hold_ops(&self, load: &PermitLoad, lease: &str) -> Vec<Op> {
        let load = Some(load.clone());
        let value = record::encode(&PermitRecord { load });
        let key = self.keys.permit(self.number);
        vec![self.version_check(), Op::hold(key, value, lease)]
    }

    /// Makes a commit conditional on the version last seen: an earlier commit may be applied late.
    fn version_check(&self) -> Op {
        Op::Check {
            key: self.keys.permit(self.number),
            version: self.version,
        }
    }

    /// Chooses one of the free permits; returns false if there is none.
    pub(crate) fn on_listed<R: Rng>(
        &mut self,
        entries: &[Entry],
        used_by_others: &BTreeSet<u32>,
        lease: &str,
        config: &OrderConfig,
        rng: &mut R,
    ) -> bool {
        let held_by_others: BTreeSet<u32> = entries
            .iter()
            .filter(|entry| entry.lease.as_deref().is_some_and(|id| id != lease))
            .filter_map(|entry| self.keys.permit_number(&entry.key))
            .collect();
        let is_free =
            |number: &u32| !held_by_others.contains(number) && !used_by_others.contains(number);
        let free: Vec<u32> = (0..config.max_loads).filter(is_free).collect();
        if free.is_empty() {
            return false;
        }
        let find_entry = |number: u32| {
            let key = self.keys.permit(number);
            entries.iter().find(|entry| entry.key == key)
        };
        // Prefers a permit that is already ours after a lost reply, then one that names no load.
        let is_held_by_us = |number: &u32| {
            find_entry(*number).is_some_and(|entry| entry.lease.as_deref() == Some(lease))
        };
        let names_no_load = |number: &u32| find_entry(*number).and_then(named_load).is_none();
        let unused: Vec<u32> = free.iter().copied().filter(names_no_load).collect();
        let candidates = if unused.is_empty() { &free } else { &unused };
        let own_number = free.iter().copied().find(is_held_by_us);
        let number =
            own_number.unwrap_or_else(|| candidates[rng.random_range(0..candidates.len())]);
        let found = find_entry(number);
        self.number = number;
        self.version = found.map_or(0, |entry| entry.version);
        let load = found.and_then(named_load);
        self.other_load = load.filter(|load| *load != self.own_load);
        self.phase = Phase::Taking;
        true
    }

    /// Handles the result of a commit; returns false unless the permit is known to be held.
    pub(crate) fn on_committed(
        &mut self,
        result: &StoreResult<CommitResult>,
        now: Mono,
        config: &OrderConfig,
    ) -> bool {
        match result {
            Ok(CommitResult::Applied(written)) => {
                let key = self.keys.permit(self.number);
                let last = written.iter().rev().find(|entry| entry.key == key);
                self.version = last.map_or(0, |entry| entry.version);
                self.on_applied(now, config);
                true
            }
            // The permit may be held nevertheless; the next list will show it as ours.
            Ok(CommitResult::Conflict(_)) | Err(_) => {
                self.held = false;
                self.phase = Phase::Listing;
                false
            }
        }
    }

    /// Handles the state of the server whose load the permit names.
    pub(crate) fn on_observed(
        &mut self,
        result: &Result<Observed, Unreachable>,
        now: Mono,
        config: &OrderConfig,
    ) {
        let Phase::CheckingOther {
            observe_at,
            last_reply,
            give_up_at,
        } = &mut self.phase
        else {
            return;
        };
        let load_ended = match result {
            Ok(observed) => {
                *last_reply = now;
                observed.loading.is_empty()
            }
            Err(error) => error.refused || *last_reply + config.unreachable_timeout <= now,
        };
        if load_ended || *give_up_at <= now {
            self.phase = Phase::Recording;
        } else {
            *observe_at = now + config.settle_interval;
        }
    }

    /// Delays the next action until a time.
    pub(crate) fn delay_until(&mut self, until: Mono) {
        self.retry_at = until;
    }

    fn on_applied(&mut self, now: Mono, config: &OrderConfig) {
        self.held = true;
        self.phase = match (&self.phase, &self.other_load) {
            (Phase::Taking, Some(_)) => Phase::CheckingOther {
                // The previous holder may not know yet that its lease has ended, and still send its
                // order.
                observe_at: now + config.takeover_delay(),
                last_reply: now,
                give_up_at: now + config.settle_timeout,
            },
            _ => Phase::Held,
        };
    }
}

/// Returns the load that a permit names; `None` also if its record is malformed.
fn named_load(entry: &Entry) -> Option<PermitLoad> {
    let record: PermitRecord = record::decode(&entry.value)?;
    record.load
}
