//! Failures of the small fleet.

use std::time::Duration;

use rand::Rng;

use super::Fleet;
use super::Later;

/// Longest time until every router of a zone has learned of a change.
const VIEW_LAG: Duration = Duration::from_millis(200);
/// Time until a lost router or zone is noticed.
const NOTICE: Duration = Duration::from_secs(1);

impl Fleet {
    /// Returns the index of the router that holds a zone's dispatcher.
    pub(crate) fn holder(&self, zone: usize) -> usize {
        self.holders[zone]
    }

    /// Another router of the zone becomes holder; the others learn it one by one.
    pub(crate) fn change_holder(&mut self, zone: usize, holder: usize) {
        self.holders[zone] = holder;
        for index in 0..self.routers.len() {
            let lag = VIEW_LAG.mul_f64(self.rng.random_range(0.0..1.0));
            let to = self.routers[index].member.clone();
            if self.routers[index].zone == zone {
                self.later(lag, to, Later::Holder);
            } else {
                self.later(lag, to, Later::Peers);
            }
        }
    }

    /// Cuts one zone off from another, or joins them again.
    pub(crate) fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        let pair = (a.min(b), a.max(b));
        if cut {
            self.cut.insert(pair);
        } else {
            self.cut.remove(&pair);
        }
        for index in 0..self.routers.len() {
            let to = self.routers[index].member.clone();
            let zone = self.routers[index].zone;
            if zone == a || zone == b {
                self.later(NOTICE, to, Later::Peers);
            }
        }
    }

    /// A router dies with all it had, and comes back empty at once.
    pub(crate) fn restart(&mut self, index: usize) {
        let old = self.routers[index].member.clone();
        let zone = self.routers[index].zone;
        self.routers[index] = self.make_router(index, old.incarnation + 1);
        self.record.router_lost(&old);
        let now = self.now;
        for backend in self.backends.values_mut() {
            let gone = backend.jobs.iter().filter(|(_, job)| job.router == old);
            let gone: Vec<_> = gone.map(|(attempt, _)| *attempt).collect();
            for attempt in gone {
                backend.end(attempt, now);
            }
        }
        for other in 0..self.routers.len() {
            if self.routers[other].zone == zone {
                let to = self.routers[other].member.clone();
                self.later(NOTICE, to, Later::Down(old.clone()));
            }
        }
        let holder = self.holders[zone];
        if holder == index {
            let first = zone * self.shape.routers;
            let next = first + (index - first + 1) % self.shape.routers;
            self.change_holder(zone, next);
        } else {
            let to = self.routers[index].member.clone();
            self.later(VIEW_LAG, to, Later::Holder);
        }
    }
}
