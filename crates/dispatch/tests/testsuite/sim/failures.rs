//! Failures of the simulated fleet.

use std::time::Duration;

use rand::Rng;

use super::SimEvent;
use super::SimFleet;

/// Maximum delay until a router's view reflects a change.
const MAX_VIEW_DELAY: Duration = Duration::from_millis(200);
/// Time until the loss of a router or zone is detected.
const DETECTION_DELAY: Duration = Duration::from_secs(1);

impl SimFleet {
    /// Returns the index of the router that holds a zone's dispatcher.
    pub(crate) fn holder(&self, zone: usize) -> usize {
        self.holders[zone]
    }

    /// Makes another router of the zone the holder; the routers' views follow one by one.
    pub(crate) fn change_holder(&mut self, zone: usize, holder: usize) {
        self.holders[zone] = holder;
        for index in 0..self.routers.len() {
            let delay = MAX_VIEW_DELAY.mul_f64(self.rng.random_range(0.0..1.0));
            let to = self.routers[index].member.clone();
            if self.routers[index].zone == zone {
                self.schedule(delay, to, SimEvent::Holder);
            } else {
                self.schedule(delay, to, SimEvent::Peers);
            }
        }
    }

    /// Partitions two zones, or heals their partition.
    pub(crate) fn set_partitioned(&mut self, a: usize, b: usize, partitioned: bool) {
        let pair = (a.min(b), a.max(b));
        if partitioned {
            self.partitions.insert(pair);
        } else {
            self.partitions.remove(&pair);
        }
        for index in 0..self.routers.len() {
            let to = self.routers[index].member.clone();
            let zone = self.routers[index].zone;
            if zone == a || zone == b {
                self.schedule(DETECTION_DELAY, to, SimEvent::Peers);
            }
        }
    }

    /// Restarts a router at once, losing all its state and requests.
    pub(crate) fn restart(&mut self, index: usize) {
        let old = self.routers[index].member.clone();
        let zone = self.routers[index].zone;
        self.routers[index] = self.make_router(index, old.incarnation + 1);
        self.record.router_lost(&old);
        let now = self.now;
        for backend in self.backends.values_mut() {
            let lost = backend.jobs.iter().filter(|(_, job)| job.router == old);
            let lost: Vec<_> = lost.map(|(attempt, _)| *attempt).collect();
            for attempt in lost {
                backend.end(attempt, now);
            }
        }
        for other in 0..self.routers.len() {
            if self.routers[other].zone == zone {
                let to = self.routers[other].member.clone();
                self.schedule(DETECTION_DELAY, to, SimEvent::RouterDown(old.clone()));
            }
        }
        let holder = self.holders[zone];
        if holder == index {
            let first = zone * self.topology.routers;
            let next = first + (index - first + 1) % self.topology.routers;
            self.change_holder(zone, next);
        } else {
            let to = self.routers[index].member.clone();
            self.schedule(MAX_VIEW_DELAY, to, SimEvent::Holder);
        }
    }
}
