//! A guard that reports the end of an attempt to the fleet state, also when the attempt is dropped.

use std::rc::Rc;
use std::time::Duration;

use primrose_fleet::AttemptOutcome;
use primrose_fleet::Placement;
use primrose_fleet::PlacementRequest;

use crate::event::Event;
use crate::probe;
use crate::shared::Shared;

/// Owns a placement on a server. Dropping the guard without [`finish`](Self::finish) reports the
/// attempt as given up, which happens when the caller disconnects.
pub(crate) struct PlacementGuard {
    shared: Rc<Shared>,
    request: PlacementRequest,
    pub(crate) placement: Placement,
    is_finished: bool,
}

impl PlacementGuard {
    pub(crate) fn new(
        shared: &Rc<Shared>,
        request: &PlacementRequest,
        placement: Placement,
    ) -> Self {
        Self {
            shared: Rc::clone(shared),
            request: request.clone(),
            placement,
            is_finished: false,
        }
    }

    /// Records that events of a stream have arrived.
    pub(crate) fn record_events(&mut self) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.record_events(&self.request, &mut self.placement, now);
    }

    /// Records how many events have arrived from the server.
    pub(crate) fn record_progress(&mut self, events: u64) {
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.record_progress(&mut self.placement, events);
    }

    /// Records the limit that the server names in its response; none if it names none.
    pub(crate) fn record_limit(&self, rate: Option<f64>) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.record_limit(&self.placement, rate, now);
    }

    /// Records for how much longer the server is cold, if its response says so.
    pub(crate) fn record_cold(&self, left: Option<Duration>) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.record_cold(&self.placement, left, now);
        drop(fleet);
        self.shared.log_cold_servers();
    }

    /// Records how long the server says that work takes there; none if it does not say so.
    pub(crate) fn record_work_time(&self, percent: Option<f64>) {
        if percent.is_none() {
            return;
        }
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        let is_new = fleet.record_work_time(&self.placement, percent, now);
        drop(fleet);
        if is_new {
            self.shared.log.event(&Event::CostAware {
                pool: self.request.pool.clone(),
                server: self.placement.server.clone(),
            });
        }
    }

    /// Records what the server says of itself in its response: that it leaves, or for how long it
    /// wants no requests.
    pub(crate) fn record_wishes(&self, leaving: bool, declined_for: Option<Duration>) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        if let Some(time) = declined_for {
            fleet.record_declined(&self.placement, time, now);
        }
        if leaving {
            let changes = fleet.record_leaving(&self.placement, now);
            drop(fleet);
            self.shared.log_changes(&changes, "server");
        }
    }

    /// Records that data has arrived from the server.
    pub(crate) fn record_activity(&self) {
        let now = self.shared.now();
        self.shared
            .fleet
            .borrow_mut()
            .record_activity(&self.placement, now);
    }

    /// Reports how the attempt ended.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: AttemptOutcome) {
        if self.is_finished {
            return;
        }
        self.is_finished = true;
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.finish_attempt(&self.request, &self.placement, outcome, now);
        let probes = fleet.take_probes();
        drop(fleet);
        probe::spawn(&self.shared, probes);
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.release(AttemptOutcome::GivenUp);
    }
}
