//! Detects when orphaned slots, whose router or borrower was lost, are free again.
//!
//! A load report contains the number of requests that the server runs, not their ids, and it lags.
//! A single report is therefore not conclusive. Over several reports, the mean number of running
//! requests minus the mean number of other slots taken is the number of orphans that still run.

use std::collections::BTreeSet;

use primrose_core::clock::Mono;

use crate::dispatcher::server::SlotId;
use crate::timing::MAX_LOAD_REPORT_LAG;

/// Number of load reports to average.
const REPORTS_PER_WINDOW: u32 = 6;

/// Sums over one series of load reports.
#[derive(Debug, Clone, Copy)]
struct Window {
    start: Mono,
    /// Time up to which other slots are summed.
    summed_until: Mono,
    /// Other slots taken, in slot-seconds.
    other_slot_seconds: f64,
    reports: u32,
    running_sum: f64,
}

/// Orphaned slots of one server.
#[derive(Debug, Default)]
pub(crate) struct Orphans {
    slots: BTreeSet<SlotId>,
    /// When the last of them was orphaned.
    since: Mono,
    window: Option<Window>,
}

impl Orphans {
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn insert(&mut self, slot: SlotId, now: Mono) {
        if self.slots.insert(slot) {
            self.since = now;
            self.window = None;
        }
    }

    pub(crate) fn remove(&mut self, slot: SlotId) {
        if self.slots.remove(&slot) {
            self.window = None;
        }
    }

    /// Adds the time since the last call, during which `others` other slots were taken.
    pub(crate) fn add_others(&mut self, others: u32, now: Mono) {
        if let Some(window) = &mut self.window {
            let time = now.saturating_sub(window.summed_until);
            window.other_slot_seconds += f64::from(others) * time.as_secs_f64();
            window.summed_until = now;
        }
    }

    /// Records a load report; returns as many slots as it shows to be free, since it does not show
    /// which. Requires a call of [`Orphans::add_others`] before.
    pub(crate) fn report(&mut self, running: u32, now: Mono) -> Vec<SlotId> {
        // A report from before the loss does not show whether the orphans ended.
        let may_predate_loss = now.saturating_sub(self.since) <= MAX_LOAD_REPORT_LAG;
        if self.slots.is_empty() || may_predate_loss {
            return Vec::new();
        }
        let new = Window {
            start: now,
            summed_until: now,
            other_slot_seconds: 0.0,
            reports: 0,
            running_sum: 0.0,
        };
        let window = self.window.get_or_insert(new);
        window.reports += 1;
        window.running_sum += f64::from(running);
        if window.reports < REPORTS_PER_WINDOW || now == window.start {
            return Vec::new();
        }
        let time = now.saturating_sub(window.start).as_secs_f64();
        let others = window.other_slot_seconds / time;
        let running = window.running_sum / f64::from(window.reports);
        self.window = None;
        // The difference of two means is neither whole nor always positive.
        let still_running = (running - others).round().max(0.0) as usize;
        let freed = self.slots.len().saturating_sub(still_running);
        self.slots.iter().copied().take(freed).collect()
    }
}
