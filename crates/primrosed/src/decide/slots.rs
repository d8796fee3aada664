//! Runs the requester and the dispatchers of this router, and routes messages between them.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Member;
use primrose_core::id::PoolId;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use primrose_core::table::Pool;
use primrose_dispatch::dispatcher;
use primrose_dispatch::dispatcher::Dispatcher;
use primrose_dispatch::dispatcher::ServerEntry;
use primrose_dispatch::message::Message;
use primrose_dispatch::message::Recipient;
use primrose_dispatch::policy::partition_slots;
use primrose_dispatch::policy::Fcfs;
use primrose_dispatch::policy::FleetFair;
use primrose_dispatch::policy::Policy;
use primrose_dispatch::requester;
use rand::Rng;

use crate::decide::Decider;
use crate::input::PoolLoad;
use crate::router::Sharing;
use crate::snapshots::LoadTarget;

/// How long servers are polled more often after a router of the zone was lost.
const ORPHANED_SLOTS_TIME: Duration = Duration::from_secs(30);

/// Returns the name of the duty of dispatching a pool.
pub(super) fn duty_name(pool: &str) -> String {
    format!("dispatch {pool}")
}

impl Decider {
    /// Passes an event to the requester and performs the resulting actions.
    pub(super) fn requester_event(&mut self, event: requester::Event, now: Mono) {
        let actions = self.requester.handle(event, now);
        self.requester_actions(actions, now);
    }

    pub(super) fn requester_actions(&mut self, actions: Vec<requester::Action>, now: Mono) {
        for action in actions {
            match action {
                requester::Action::Send { to, message } => self.send(to, message),
                requester::Action::Run(run) => self.start(run, now),
                requester::Action::Refuse { request, code } => self.refuse(request, code),
            }
        }
    }

    fn dispatcher_event(&mut self, pool: &str, event: dispatcher::Event, now: Mono) {
        let Some(dispatcher) = self.dispatchers.get_mut(pool) else {
            return;
        };
        let actions = dispatcher.handle(event, now);
        self.dispatcher_actions(actions);
    }

    pub(super) fn dispatcher_actions(&mut self, actions: Vec<dispatcher::Action>) {
        for dispatcher::Action::Send { to, message } in actions {
            self.send(to, message);
        }
    }

    /// Delivers a message, from another router or from this one, to the requester or a dispatcher.
    pub(super) fn dispatch_message(&mut self, from: Member, message: Message) {
        let now = self.clock.now();
        match message.body.recipient() {
            Recipient::Requester => {
                let event = requester::Event::Message { from, message };
                self.requester_event(event, now);
            }
            Recipient::Dispatcher => {
                let pool = message.pool.clone();
                let event = dispatcher::Event::Message { from, message };
                self.dispatcher_event(&pool, event, now);
            }
        }
    }

    fn send(&mut self, to: Member, message: Message) {
        if to == self.me {
            let from = self.me.clone();
            self.dispatch_message(from, message);
        } else {
            self.send_remote(to, message);
        }
    }

    /// Advances the time of the requester and of all dispatchers.
    pub(super) fn tick_slots(&mut self, now: Mono) {
        self.requester_event(requester::Event::Tick, now);
        let pools: Vec<PoolId> = self.dispatchers.keys().cloned().collect();
        for pool in pools {
            self.dispatcher_event(&pool, dispatcher::Event::Tick, now);
        }
    }

    /// Passes a load report to the dispatcher of the pool.
    pub(super) fn handle_load(&mut self, load: PoolLoad) {
        let now = self.clock.now();
        self.dispatcher_event(&load.pool, dispatcher::Event::Load(load.report), now);
    }

    /// Handles the loss of a router of the zone.
    pub(super) fn router_down(&mut self, member: &Member, now: Mono) {
        self.orphaned_slots_until = now + ORPHANED_SLOTS_TIME;
        self.snapshots.set_orphaned_slots(true);
        let pools: Vec<PoolId> = self.dispatchers.keys().cloned().collect();
        for pool in pools {
            let event = dispatcher::Event::RouterDown(member.clone());
            self.dispatcher_event(&pool, event, now);
        }
    }

    /// Determines which router holds the dispatcher of each pool, and applies the changes.
    pub(super) fn update_holders(&mut self, now: Mono) {
        let table = self.snapshots.table();
        self.dispatchers
            .retain(|pool, _| table.pools.contains_key(pool));
        let duties: Vec<String> = table.pools.keys().map(|pool| duty_name(pool)).collect();
        let holders = self.local_holders(&duties);
        let mut peers = self.peer_holders(&duties);
        for (index, pool) in table.pools.keys().enumerate() {
            let holder = holders[index].clone();
            self.update_dispatcher(pool, holder.as_ref() == Some(&self.me), now);
            if self.holders.get(pool) != Some(&holder) {
                self.holders.insert(pool.clone(), holder.clone());
                let pool = pool.clone();
                self.requester_event(requester::Event::Holder { pool, holder }, now);
            }
            self.update_peers(pool, std::mem::take(&mut peers[index]), now);
        }
    }

    /// Returns, for each duty, the router of this zone that holds it.
    fn local_holders(&self, duties: &[String]) -> Vec<Option<Member>> {
        if matches!(self.sharing, Sharing::Alone { .. }) {
            return vec![Some(self.me.clone()); duties.len()];
        }
        let holders = self.view.holders(duties).into_iter();
        holders.map(|holder| holder.cloned()).collect()
    }

    /// Returns, for each duty, the routers of the other zones that hold it.
    fn peer_holders(&self, duties: &[String]) -> Vec<BTreeMap<ZoneId, Option<Member>>> {
        let mut peers = vec![BTreeMap::new(); duties.len()];
        if matches!(self.sharing, Sharing::Alone { .. }) {
            return peers;
        }
        for zone in self.directory.zones() {
            if zone == self.zone {
                continue;
            }
            let holders = self.view.holders_in(&zone, duties);
            for (by_zone, holder) in peers.iter_mut().zip(holders) {
                by_zone.insert(zone.clone(), holder.cloned());
            }
        }
        peers
    }

    /// Starts or drops the dispatcher of a pool.
    fn update_dispatcher(&mut self, pool: &PoolId, is_mine: bool, now: Mono) {
        if !is_mine {
            if self.dispatchers.remove(pool).is_some() {
                log::info!(pool = pool.as_str(); "stopped the dispatcher");
                self.peers.remove(pool);
                self.publish_load_targets();
            }
            return;
        }
        if self.dispatchers.contains_key(pool) {
            return;
        }
        let table = self.snapshots.table();
        let Some(row) = table.pools.get(pool) else {
            return;
        };
        log::info!(pool = pool.as_str(); "started the dispatcher");
        let (me, zone) = (self.me.clone(), self.zone.clone());
        let seed = self.rng.random();
        let policy = policy_of(self.sharing);
        let dispatcher = Dispatcher::with_policy(me, zone, row.clone(), seed, now, policy);
        self.dispatchers.insert(pool.clone(), dispatcher);
        self.update_servers(now);
    }

    /// Passes to a dispatcher which routers hold its pool in the other zones.
    fn update_peers(&mut self, pool: &PoolId, peers: BTreeMap<ZoneId, Option<Member>>, now: Mono) {
        if !self.dispatchers.contains_key(pool) || self.peers.get(pool) == Some(&peers) {
            return;
        }
        self.peers.insert(pool.clone(), peers.clone());
        self.dispatcher_event(pool, dispatcher::Event::Peers(peers), now);
    }

    /// Passes to every dispatcher of this router its current servers.
    pub(super) fn update_servers(&mut self, now: Mono) {
        let table = self.snapshots.table();
        for (name, pool) in &table.pools {
            if self.dispatchers.contains_key(name) {
                let servers = self.entries(pool);
                self.dispatcher_event(name, dispatcher::Event::Servers(servers), now);
            }
        }
        self.publish_load_targets();
        self.publish_order_targets();
    }

    /// Returns the servers of this router's dispatcher of a pool.
    fn entries(&self, pool: &Pool) -> Vec<ServerEntry> {
        let entries = self.directory.entries(pool, &self.zone);
        let Sharing::Alone { index, count } = self.sharing else {
            return entries;
        };
        let ids: Vec<ServerId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let parts = partition_slots(&ids, pool.slots, index, count);
        let capped = parts.into_iter().filter_map(|part| {
            let entry = entries.iter().find(|entry| entry.id == part.server)?;
            let cap = Some(part.slots);
            Some(ServerEntry {
                cap,
                ..entry.clone()
            })
        });
        capped.collect()
    }

    /// Publishes which servers the load thread polls.
    fn publish_load_targets(&self) {
        let table = self.snapshots.table();
        let mut targets = Vec::new();
        for (name, pool) in &table.pools {
            if pool.kind != primrose_core::table::PoolKind::Engine
                || !self.dispatchers.contains_key(name)
            {
                continue;
            }
            let entries = self.directory.entries(pool, &self.zone);
            let located = self.directory.servers(pool);
            let polled = located
                .into_iter()
                .filter(|one| entries.iter().any(|entry| entry.id == one.id));
            targets.extend(polled.map(|server| LoadTarget {
                pool: name.clone(),
                server: server.id,
                addr: server.addr,
            }));
        }
        self.snapshots.set_load_targets(targets);
    }
}

fn policy_of(sharing: Sharing) -> Box<dyn Policy> {
    match sharing {
        Sharing::FirstCome => Box::new(Fcfs),
        Sharing::Fleet | Sharing::Alone { .. } => Box::new(FleetFair::default()),
    }
}
