//! A request's place at a server, given back when dropped.

use std::rc::Rc;

use primrose_fleet::AttemptOutcome;
use primrose_fleet::Placement;
use primrose_fleet::PlacementRequest;

use crate::shared::Shared;

/// A place at a server. A hold that is dropped counts as given up: the caller left.
pub(crate) struct Hold {
    shared: Rc<Shared>,
    request: PlacementRequest,
    pub(crate) placement: Placement,
    ended: bool,
}

impl Hold {
    pub(crate) fn new(
        shared: &Rc<Shared>,
        request: &PlacementRequest,
        placement: Placement,
    ) -> Self {
        Self {
            shared: Rc::clone(shared),
            request: request.clone(),
            placement,
            ended: false,
        }
    }

    /// Records the first event.
    pub(crate) fn first_event(&mut self) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.record_first_event(&mut self.placement, now);
    }

    /// Records that something came from the server.
    pub(crate) fn heard(&self) {
        let now = self.shared.now();
        self.shared
            .fleet
            .borrow_mut()
            .record_activity(&self.placement, now);
    }

    /// Gives the place back.
    pub(crate) fn end(mut self, ended: AttemptOutcome) {
        self.settle(ended);
    }

    fn settle(&mut self, ended: AttemptOutcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.finish_attempt(&self.request, &self.placement, ended, now);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.settle(AttemptOutcome::GivenUp);
    }
}
