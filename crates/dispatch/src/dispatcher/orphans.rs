//! Slots whose router or borrower is gone, and what tells that they are free.
//!
//! A report says how many requests the server runs, not which, and it lags. So one report proves
//! nothing: over several, the mean of what the server runs, less the mean of the other slots that
//! were taken meanwhile, is the number of orphans that still run.

use std::collections::BTreeSet;

use primrose_core::clock::Mono;

use crate::dispatcher::server::SlotId;
use crate::timing::MAX_LOAD_REPORT_LAG;

/// Reports that are averaged.
const REPORTS: u32 = 6;

/// Averages of one run of reports.
#[derive(Debug, Clone, Copy)]
struct Window {
    start: Mono,
    /// Last change of the number of other slots.
    last: Mono,
    /// Other slots taken, times seconds.
    others: f64,
    reports: u32,
    running: f64,
}

/// Orphaned slots of one server.
#[derive(Debug, Default)]
pub(crate) struct Orphans {
    slots: BTreeSet<SlotId>,
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

    /// Notes how many other slots were taken up to now.
    pub(crate) fn count(&mut self, others: u32, now: Mono) {
        if let Some(window) = &mut self.window {
            let time = now.saturating_sub(window.last);
            window.others += f64::from(others) * time.as_secs_f64();
            window.last = now;
        }
    }

    /// Takes in a report; returns the slots that are free. Call [`Orphans::count`] before.
    pub(crate) fn report(&mut self, running: u32, now: Mono) -> Vec<SlotId> {
        // Reports from before the loss say nothing.
        let early = now.saturating_sub(self.since) <= MAX_LOAD_REPORT_LAG;
        if self.slots.is_empty() || early {
            return Vec::new();
        }
        let new = Window {
            start: now,
            last: now,
            others: 0.0,
            reports: 0,
            running: 0.0,
        };
        let window = self.window.get_or_insert(new);
        window.reports += 1;
        window.running += f64::from(running);
        if window.reports < REPORTS || now == window.start {
            return Vec::new();
        }
        let time = now.saturating_sub(window.start).as_secs_f64();
        let others = window.others / time;
        let running = window.running / f64::from(window.reports);
        self.window = None;
        // Rounds to the nearest whole number; below zero counts as zero.
        let left = (running - others).round().max(0.0) as usize;
        let over = self.slots.len().saturating_sub(left);
        self.slots.iter().copied().take(over).collect()
    }
}
