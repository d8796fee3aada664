//! The adaptive slot limit of one backend server.
//!
//! A new server starts at the pool's lower bound and gains a slot with each good answer until the
//! first one that misses a target; from then on the limit follows additive increase and
//! multiplicative decrease, as in congestion control: one slot for each limit's worth of good
//! answers, a tenth less after a miss, at most once per answer's time.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::table::SlotBounds;

/// What remains of the limit after a missed target.
const DECREASE: f64 = 0.9;
/// Shortest time between two decreases: answers that began before the first do not count twice.
const DECREASE_EVERY: Duration = Duration::from_secs(2);

/// Slot limit within the pool's bounds.
#[derive(Debug, Clone)]
pub(crate) struct Limit {
    bounds: SlotBounds,
    value: f64,
    starting: bool,
    decreased: Option<Mono>,
}

impl Limit {
    pub(crate) fn new(bounds: SlotBounds) -> Self {
        let mut limit = Self {
            bounds,
            value: f64::from(bounds.min),
            starting: true,
            decreased: None,
        };
        limit.set_bounds(bounds);
        limit
    }

    pub(crate) fn set_bounds(&mut self, bounds: SlotBounds) {
        let min = bounds.min.max(1);
        let max = bounds.max.max(min);
        self.bounds = SlotBounds { min, max };
        self.value = self.value.clamp(f64::from(min), f64::from(max));
    }

    /// Returns the limit in whole slots.
    pub(crate) fn slots(&self) -> u32 {
        // The value lies between the bounds, which are u32.
        self.value.floor() as u32
    }

    /// An answer met the targets while `busy` slots were taken.
    pub(crate) fn met(&mut self, busy: u32) {
        // A limit that is not reached says nothing about more.
        if busy < self.slots() {
            return;
        }
        let step = if self.starting { 1.0 } else { 1.0 / self.value };
        self.value = (self.value + step).min(f64::from(self.bounds.max));
    }

    /// An answer missed a target, or failed.
    pub(crate) fn missed(&mut self, now: Mono) {
        self.starting = false;
        let last = self.decreased;
        if last.is_some_and(|at| now.saturating_sub(at) < DECREASE_EVERY) {
            return;
        }
        self.decreased = Some(now);
        self.value = (self.value * DECREASE).max(f64::from(self.bounds.min));
    }
}
