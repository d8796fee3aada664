//! Dispatchers of this router, and messages between requesters and dispatchers.

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
use crate::published::LoadTarget;
use crate::router::Sharing;

/// How long servers are asked more often after a router of the zone was lost.
const ORPHAN_TIME: Duration = Duration::from_secs(30);

/// Name of the duty of dispatching a pool.
pub(super) fn duty_of(pool: &str) -> String {
    format!("dispatch {pool}")
}

impl Decider {
    /// Hands an event to the requester and carries out what follows.
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

    /// Takes a message from another router or from this one.
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
            self.send_away(to, message);
        }
    }

    /// Lets time pass for requester and dispatchers.
    pub(super) fn tick_slots(&mut self, now: Mono) {
        self.requester_event(requester::Event::Tick, now);
        let pools: Vec<PoolId> = self.dispatchers.keys().cloned().collect();
        for pool in pools {
            self.dispatcher_event(&pool, dispatcher::Event::Tick, now);
        }
    }

    /// Takes a load report.
    pub(super) fn load(&mut self, load: PoolLoad) {
        let now = self.clock.now();
        self.dispatcher_event(&load.pool, dispatcher::Event::Load(load.report), now);
    }

    /// A router of the zone is gone.
    pub(super) fn router_down(&mut self, member: &Member, now: Mono) {
        self.orphans_until = now + ORPHAN_TIME;
        self.published.set_orphans(true);
        let pools: Vec<PoolId> = self.dispatchers.keys().cloned().collect();
        for pool in pools {
            let event = dispatcher::Event::RouterDown(member.clone());
            self.dispatcher_event(&pool, event, now);
        }
    }

    /// Compares who holds which dispatcher with what was known, and acts on the changes.
    pub(super) fn update_holders(&mut self, now: Mono) {
        let table = self.published.table();
        self.dispatchers
            .retain(|pool, _| table.pools.contains_key(pool));
        let duties: Vec<String> = table.pools.keys().map(|pool| duty_of(pool)).collect();
        let holders = self.zone_holders(&duties);
        let mut peers = self.peer_holders(&duties);
        for (place, pool) in table.pools.keys().enumerate() {
            let holder = holders[place].clone();
            self.hold(pool, holder.as_ref() == Some(&self.me), now);
            if self.holders.get(pool) != Some(&holder) {
                self.holders.insert(pool.clone(), holder.clone());
                let pool = pool.clone();
                self.requester_event(requester::Event::Holder { pool, holder }, now);
            }
            self.update_peers(pool, std::mem::take(&mut peers[place]), now);
        }
    }

    /// Routers of the own zone that hold the duties.
    fn zone_holders(&self, duties: &[String]) -> Vec<Option<Member>> {
        if matches!(self.sharing, Sharing::Alone { .. }) {
            return vec![Some(self.me.clone()); duties.len()];
        }
        let holders = self.view.holders(duties).into_iter();
        holders.map(|holder| holder.cloned()).collect()
    }

    /// Routers of the other zones that hold the duties, by duty.
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

    /// Takes up or gives up the dispatcher of a pool.
    fn hold(&mut self, pool: &PoolId, mine: bool, now: Mono) {
        if !mine {
            if self.dispatchers.remove(pool).is_some() {
                log::info!(pool = pool.as_str(); "gave up the dispatcher");
                self.peers.remove(pool);
                self.publish_targets();
            }
            return;
        }
        if self.dispatchers.contains_key(pool) {
            return;
        }
        let table = self.published.table();
        let Some(row) = table.pools.get(pool) else {
            return;
        };
        log::info!(pool = pool.as_str(); "took up the dispatcher");
        let (me, zone) = (self.me.clone(), self.zone.clone());
        let seed = self.rng.random();
        let policy = policy_of(self.sharing);
        let dispatcher = Dispatcher::with_policy(me, zone, row.clone(), seed, now, policy);
        self.dispatchers.insert(pool.clone(), dispatcher);
        self.update_servers(now);
    }

    /// Tells a dispatcher who holds its pool in the other zones.
    fn update_peers(&mut self, pool: &PoolId, peers: BTreeMap<ZoneId, Option<Member>>, now: Mono) {
        if !self.dispatchers.contains_key(pool) || self.peers.get(pool) == Some(&peers) {
            return;
        }
        self.peers.insert(pool.clone(), peers.clone());
        self.dispatcher_event(pool, dispatcher::Event::Peers(peers), now);
    }

    /// Tells every dispatcher here which servers it has.
    pub(super) fn update_servers(&mut self, now: Mono) {
        let table = self.published.table();
        for (name, pool) in &table.pools {
            if self.dispatchers.contains_key(name) {
                let servers = self.entries(pool);
                self.dispatcher_event(name, dispatcher::Event::Servers(servers), now);
            }
        }
        self.publish_targets();
        self.publish_orders();
    }

    /// Servers that this router's dispatcher of a pool has.
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

    /// Tells the load thread which servers to ask.
    fn publish_targets(&self) {
        let table = self.published.table();
        let mut targets = Vec::new();
        for (name, pool) in &table.pools {
            if pool.kind != primrose_core::table::PoolKind::Engine
                || !self.dispatchers.contains_key(name)
            {
                continue;
            }
            let mine = self.directory.entries(pool, &self.zone);
            let located = self.directory.servers(pool);
            let asked = located
                .into_iter()
                .filter(|one| mine.iter().any(|entry| entry.id == one.id));
            targets.extend(asked.map(|server| LoadTarget {
                pool: name.clone(),
                server: server.id,
                addr: server.addr,
            }));
        }
        self.published.set_targets(targets);
    }
}

fn policy_of(sharing: Sharing) -> Box<dyn Policy> {
    match sharing {
        Sharing::FirstCome => Box::new(Fcfs),
        Sharing::Fleet | Sharing::Alone { .. } => Box::new(FleetFair::default()),
    }
}
