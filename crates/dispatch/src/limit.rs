//! Adaptive slot limit of one backend server.
//!
//! Works like congestion control. In slow start, a new server begins at the pool's lower bound and
//! gains a slot with each response that meets the latency targets, until one misses a target. From
//! then on the limit follows additive increase, multiplicative decrease: it grows by one slot per
//! `limit` responses on target and shrinks by a tenth after a miss, at most once per
//! [`MIN_DECREASE_INTERVAL`]. A response on target raises the limit only if all slots were taken. A
//! failure of the server counts as a miss.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::table::SlotBounds;

/// Factor applied to the limit after a missed target.
const DECREASE_FACTOR: f64 = 0.9;
/// Minimum time between two decreases, so that responses already running at the first decrease do
/// not cause another one.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_secs(2);

/// Slot limit that adapts to response times within the pool's bounds.
#[derive(Debug, Clone)]
pub(crate) struct Limit {
    bounds: SlotBounds,
    value: f64,
    slow_start: bool,
    decreased_at: Option<Mono>,
}

impl Limit {
    pub(crate) fn new(bounds: SlotBounds) -> Self {
        let mut limit = Self {
            bounds,
            value: f64::from(bounds.min),
            slow_start: true,
            decreased_at: None,
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
        // The cast cannot overflow: the value is clamped to the bounds, which are u32.
        self.value.floor() as u32
    }

    /// Raises the limit after a response that met the targets while `busy` slots were taken.
    pub(crate) fn record_success(&mut self, busy: u32) {
        // Below the limit, a good response does not show that the server can run more.
        if busy < self.slots() {
            return;
        }
        let step = if self.slow_start {
            1.0
        } else {
            1.0 / self.value
        };
        self.value = (self.value + step).min(f64::from(self.bounds.max));
    }

    /// Lowers the limit after a response that missed a target, or after a failure.
    pub(crate) fn record_miss(&mut self, now: Mono) {
        self.slow_start = false;
        let last = self.decreased_at;
        if last.is_some_and(|at| now.saturating_sub(at) < MIN_DECREASE_INTERVAL) {
            return;
        }
        self.decreased_at = Some(now);
        self.value = (self.value * DECREASE_FACTOR).max(f64::from(self.bounds.min));
    }
}
