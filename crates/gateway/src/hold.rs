//! A request's place at a server, given back when dropped.

use std::rc::Rc;

use primrose_fleet::Ask;
use primrose_fleet::Ended;
use primrose_fleet::Work;

use crate::shared::Shared;

/// A place at a server. A hold that is dropped counts as given up: the caller left.
pub(crate) struct Hold {
    shared: Rc<Shared>,
    ask: Ask,
    pub(crate) work: Work,
    ended: bool,
}

impl Hold {
    pub(crate) fn new(shared: &Rc<Shared>, ask: &Ask, work: Work) -> Self {
        Self {
            shared: Rc::clone(shared),
            ask: ask.clone(),
            work,
            ended: false,
        }
    }

    /// Records the first event.
    pub(crate) fn first_event(&mut self) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.first_event(&mut self.work, now);
    }

    /// Records that something came from the server.
    pub(crate) fn heard(&self) {
        let now = self.shared.now();
        self.shared.fleet.borrow_mut().heard(&self.work, now);
    }

    /// Gives the place back.
    pub(crate) fn end(mut self, ended: Ended) {
        self.settle(ended);
    }

    fn settle(&mut self, ended: Ended) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.end(&self.ask, &self.work, ended, now);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.settle(Ended::GivenUp);
    }
}
