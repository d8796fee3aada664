//! Membership views of the simulated routers: holders, peers and servers.

use std::collections::BTreeMap;

use primrose_core::host::HostState;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use primrose_dispatch::dispatcher;
use primrose_dispatch::dispatcher::Dispatcher;
use primrose_dispatch::dispatcher::ServerEntry;
use primrose_dispatch::policy;
use primrose_dispatch::policy::Fcfs;
use primrose_dispatch::policy::FleetFair;
use primrose_dispatch::policy::Policy;
use primrose_dispatch::requester;
use rand::Rng;

use super::zone_name;
use super::Scheduling;
use super::SimFleet;
use super::POOL;

impl SimFleet {
    pub(super) fn holder_for(&self, index: usize) -> Member {
        let holder = match self.scheduling {
            Scheduling::RouterAlone => index,
            _ => self.holders[self.routers[index].zone],
        };
        self.routers[holder].member.clone()
    }

    /// Updates a router with the holder of its zone's dispatcher.
    pub(super) fn set_holder(&mut self, index: usize, holder: Member) {
        if holder != self.routers[index].member {
            self.routers[index].dispatcher = None;
        } else if self.routers[index].dispatcher.is_none() {
            let dispatcher = self.make_dispatcher(index);
            self.routers[index].dispatcher = Some(dispatcher);
            let servers = self.server_entries(index);
            self.deliver_to_dispatcher(index, dispatcher::Event::Servers(servers));
            self.update_peers(index);
        }
        let pool = POOL.into();
        let holder = Some(holder);
        self.deliver_to_requester(index, requester::Event::Holder { pool, holder });
    }

    fn make_dispatcher(&mut self, index: usize) -> Dispatcher {
        let policy: Box<dyn Policy> = match self.scheduling {
            Scheduling::Fcfs => Box::new(Fcfs),
            Scheduling::Threshold(units) => Box::new(FleetFair::new(units)),
            _ => Box::new(FleetFair::default()),
        };
        let router = &self.routers[index];
        let zone = zone_name(router.zone);
        let member = router.member.clone();
        let seed = self.rng.random();
        Dispatcher::with_policy(member, zone, self.pool.clone(), seed, self.now, policy)
    }

    fn server_entries(&self, index: usize) -> Vec<ServerEntry> {
        let entry = |id: &String, cap| ServerEntry {
            id: id.clone(),
            state: HostState::Live,
            adopted: false,
            cap,
        };
        if self.scheduling == Scheduling::RouterAlone {
            let servers: Vec<_> = self.backends.keys().cloned().collect();
            let count = u32::try_from(self.routers.len()).unwrap();
            let index = u32::try_from(index).unwrap();
            let parts = policy::partition_slots(&servers, self.pool.slots, index, count);
            let entries = parts.iter().map(|p| entry(&p.server, Some(p.slots)));
            return entries.collect();
        }
        let zone = self.routers[index].zone;
        let own = self.backends.iter().filter(|(_, b)| b.zone == zone);
        own.map(|(id, _)| entry(id, None)).collect()
    }

    /// Updates a dispatcher with the holders in the other zones.
    pub(super) fn update_peers(&mut self, index: usize) {
        if matches!(
            self.scheduling,
            Scheduling::RouterAlone | Scheduling::ZoneAlone
        ) {
            return;
        }
        let zone = self.routers[index].zone;
        let mut peers: BTreeMap<ZoneId, Option<Member>> = BTreeMap::new();
        for other in (0..self.topology.zones).filter(|z| *z != zone) {
            let holder = self.routers[self.holders[other]].member.clone();
            let holder = (!self.is_partitioned(zone, other)).then_some(holder);
            peers.insert(zone_name(other), holder);
        }
        self.deliver_to_dispatcher(index, dispatcher::Event::Peers(peers));
    }
}
