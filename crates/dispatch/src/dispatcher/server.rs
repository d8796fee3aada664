//! A dispatcher's state of one backend server.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::host::HostState;
use primrose_core::id::AttemptId;
use primrose_core::table::SlotBounds;

use crate::affinity::Affinity;
use crate::dispatcher::orphans::Orphans;
use crate::dispatcher::ServerEntry;
use crate::limit::Limit;
use crate::message::LoanId;
use crate::timing::ADOPTION_SETTLE_TIME;
use crate::timing::MAX_HOLD_OFF;
use crate::timing::MAX_LOAD_REPORT_LAG;
use crate::timing::MIN_HOLD_OFF;

/// Holder of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SlotId {
    /// An attempt of this zone.
    Attempt(AttemptId),
    /// Another zone's dispatcher.
    Loan(LoanId),
}

#[derive(Debug, Clone, Copy)]
struct SlotCount {
    at: Mono,
    slots: u32,
}

#[derive(Debug, Clone, Copy)]
struct Excess {
    at: Mono,
    slots: u32,
}

/// Slots, limit and recent history of one server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) state: HostState,
    adopted_at: Option<Mono>,
    cap: Option<u32>,
    slots: BTreeSet<SlotId>,
    orphans: Orphans,
    pub(crate) limit: Limit,
    pub(crate) affinity: Affinity,
    failures: u32,
    /// Requests in the previous load report that this dispatcher's slots could not explain.
    previous_excess: u32,
    held_off_until: Mono,
    /// Number of slots taken after each change within [`MAX_LOAD_REPORT_LAG`].
    counts: VecDeque<SlotCount>,
    /// Reported requests beyond those that this dispatcher granted.
    excess: Option<Excess>,
}

impl Server {
    pub(crate) fn new(bounds: SlotBounds) -> Self {
        Self {
            state: HostState::Live,
            adopted_at: None,
            cap: None,
            slots: BTreeSet::new(),
            orphans: Orphans::default(),
            limit: Limit::new(bounds),
            affinity: Affinity::default(),
            failures: 0,
            previous_excess: 0,
            held_off_until: Mono::ZERO,
            counts: VecDeque::new(),
            excess: None,
        }
    }

    pub(crate) fn update(&mut self, entry: &ServerEntry, now: Mono) {
        self.state = entry.state;
        self.cap = entry.cap;
        self.adopted_at = entry.adopted.then(|| self.adopted_at.unwrap_or(now));
    }

    /// Returns the number of slots taken.
    pub(crate) fn busy(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn slots(&self) -> impl Iterator<Item = &SlotId> {
        self.slots.iter()
    }

    pub(crate) fn is_idle(&self, now: Mono) -> bool {
        self.slots.is_empty() && self.excess(now) == 0
    }

    /// Returns the limit in force: the adaptive limit, capped, and halved while the server is newly
    /// adopted.
    pub(crate) fn limit(&self, now: Mono) -> u32 {
        let mut slots = self.limit.slots();
        if let Some(cap) = self.cap {
            slots = slots.min(cap);
        }
        let settling = |since: Mono| now.saturating_sub(since) < ADOPTION_SETTLE_TIME;
        if self.adopted_at.is_some_and(settling) {
            slots = (slots / 2).max(1);
        }
        slots
    }

    /// Returns the number of slots that may be granted now.
    pub(crate) fn free(&self, now: Mono) -> u32 {
        if self.state != HostState::Live || now < self.held_off_until {
            return 0;
        }
        let taken = self.busy().saturating_add(self.excess(now));
        self.limit(now).saturating_sub(taken)
    }

    pub(crate) fn take(&mut self, slot: SlotId, now: Mono) {
        self.add_other_slots(now);
        if self.slots.insert(slot) {
            self.record_count(now);
        }
    }

    pub(crate) fn release(&mut self, slot: SlotId, now: Mono) {
        self.add_other_slots(now);
        self.orphans.remove(slot);
        if self.slots.remove(&slot) {
            self.record_count(now);
        }
    }

    /// Sets whether the slot's router or borrower is lost.
    pub(crate) fn set_orphaned(&mut self, slot: SlotId, orphaned: bool, now: Mono) {
        if orphaned && self.slots.contains(&slot) {
            self.orphans.insert(slot, now);
        } else {
            self.orphans.remove(slot);
        }
    }

    /// Records a load report, which may lag; returns the orphaned slots that it shows to be free.
    ///
    /// Apart from that, a report can only reduce the slots that may be granted, and only by the
    /// requests that exceed the number of slots taken at every moment within
    /// [`MAX_LOAD_REPORT_LAG`].
    pub(crate) fn report(&mut self, running: u32, now: Mono) -> Vec<SlotId> {
        self.add_other_slots(now);
        self.record_count(now);
        let max_own_slots = self.counts.iter().map(|c| c.slots).max().unwrap_or(0);
        let unexplained = running.saturating_sub(max_own_slots);
        // A server still counts a request for a moment after its response has ended, when the slot
        // may have been granted again. So only an excess in two consecutive reports counts.
        let slots = unexplained.min(self.previous_excess);
        self.previous_excess = unexplained;
        self.excess = Some(Excess { at: now, slots });
        self.orphans.report(running, now)
    }

    /// Records that the server completed a response.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records a failure: the server gets no grants for a time that doubles with each consecutive
    /// failure.
    pub(crate) fn failed(&mut self, now: Mono) {
        let hold_off = MIN_HOLD_OFF.saturating_mul(1 << self.failures.min(10));
        self.held_off_until = now + hold_off.min(MAX_HOLD_OFF);
        self.failures = self.failures.saturating_add(1);
        self.limit.record_miss(now);
    }

    /// Returns whether the server gets no grants now because it failed.
    pub(crate) fn is_held_off(&self, now: Mono) -> bool {
        now < self.held_off_until
    }

    /// Returns the number of consecutive failures.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    fn excess(&self, now: Mono) -> u32 {
        let valid = |e: &Excess| now.saturating_sub(e.at) < MAX_LOAD_REPORT_LAG * 2;
        self.excess.filter(valid).map_or(0, |e| e.slots)
    }

    /// Accounts for the slots that are not orphaned, before their number changes.
    fn add_other_slots(&mut self, now: Mono) {
        let others = self.busy().saturating_sub(self.orphans.len());
        self.orphans.add_others(others, now);
    }

    fn record_count(&mut self, now: Mono) {
        let slots = self.busy();
        self.counts.push_back(SlotCount { at: now, slots });
        self.prune_counts(now);
    }

    /// Drops the counts that were superseded before the lag interval began.
    fn prune_counts(&mut self, now: Mono) {
        let start = now.saturating_sub(MAX_LOAD_REPORT_LAG + Duration::from_millis(1));
        while self.counts.get(1).is_some_and(|next| next.at < start) {
            self.counts.pop_front();
        }
    }
}
