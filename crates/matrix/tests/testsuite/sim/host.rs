//! What happens to hosts: crashes, pauses, shutdowns, and who sees whom.

use std::collections::BTreeMap;

use primrose_core::clock::Mono;
use primrose_core::host::HostState;
use primrose_core::id::Member;
use primrose_dispatch::dispatcher;
use primrose_dispatch::dispatcher::Dispatcher;
use primrose_dispatch::dispatcher::ServerEntry;
use primrose_dispatch::requester;
use primrose_request::Event;

use super::item::Item;
use super::item::Peer;
use super::item::RouterNo;
use super::item::ServerNo;
use super::ms;
use super::router::Router;
use super::server::Server;
use super::world::World;
use super::world::ZONES;

/// Time after which routers notice that another is gone, back, or cut off.
const NOTICE: Mono = ms(1_000);
/// Silence after which a paused router is taken for gone.
const SILENCE: Mono = ms(3_000);
/// Time for which a crashed router's host is away.
const AWAY: Mono = ms(5_000);
/// Time after which the host list shows that a host leaves.
const LIST_LAG: Mono = ms(500);
/// Pools of the world's table.
const POOLS: [&str; 2] = ["chat", "orders"];

impl World {
    pub(crate) fn is_cut(&self, one: RouterNo, other: RouterNo) -> bool {
        let now = self.now();
        self.cut.iter().any(|(a, b, until)| {
            let pair = (*a, *b) == (one, other) || (*b, *a) == (one, other);
            pair && *until > now
        })
    }

    /// Cuts two routers off from one another for a time.
    pub(crate) fn cut_off(&mut self, one: RouterNo, other: RouterNo, time: Mono) {
        let until = self.now() + time;
        self.cut.push((one, other, until));
        self.later(NOTICE, Item::Look);
        self.later(time + NOTICE, Item::Look);
    }

    fn seems_up(&self, from: RouterNo, other: RouterNo) -> bool {
        let router = &self.routers[other];
        let silent = |since: Mono| self.now() >= since + SILENCE;
        let paused = router.paused_since.is_some_and(silent);
        router.up && !paused && !self.is_cut(from, other)
    }

    /// The router that has a zone's dispatchers, as one router sees it.
    fn holder(&self, from: RouterNo, zone: &str) -> Option<Member> {
        let mut members = (0..ZONES.len()).filter(|no| ZONES[*no] == zone);
        let holder = members.find(|no| self.seems_up(from, *no) && !self.routers[*no].draining);
        holder.map(|no| self.routers[no].me.clone())
    }

    /// Lets every router look who can be reached, and take up or give up its duties.
    pub(crate) fn look(&mut self) {
        for no in 0..self.routers.len() {
            if self.routers[no].up && self.routers[no].paused_since.is_none() {
                self.look_around(no);
            }
        }
    }

    fn look_around(&mut self, no: RouterNo) {
        let now = self.now();
        let zone = self.routers[no].zone;
        let holder = self.holder(no, zone);
        let mine = holder.as_ref() == Some(&self.routers[no].me);
        for pool in POOLS {
            self.hold(no, pool, mine);
            if self.routers[no].holder != holder {
                let (pool, holder) = (pool.to_owned(), holder.clone());
                self.requester(no, requester::Event::Holder { pool, holder });
            }
        }
        self.routers[no].holder = holder;
        let mut zones: Vec<&str> = ZONES.iter().copied().filter(|one| *one != zone).collect();
        zones.dedup();
        let peers = zones
            .iter()
            .map(|one| ((*one).to_owned(), self.holder(no, one)));
        let peers: BTreeMap<String, Option<Member>> = peers.collect();
        for pool in POOLS {
            let Some(dispatcher) = self.routers[no].dispatchers.get_mut(pool) else {
                continue;
            };
            let mut actions = dispatcher.handle(dispatcher::Event::Peers(peers.clone()), now);
            for other in self.lost_members(no) {
                let dispatcher = self.routers[no].dispatchers.get_mut(pool);
                let dispatcher = dispatcher.expect("the dispatcher is there");
                actions.extend(dispatcher.handle(dispatcher::Event::RouterDown(other), now));
            }
            self.dispatched(no, actions);
        }
        self.share_suspects(no);
    }

    /// Routers of the zone that seem to be gone.
    fn lost_members(&self, no: RouterNo) -> Vec<Member> {
        let zone = self.routers[no].zone;
        let others = (0..ZONES.len()).filter(|other| ZONES[*other] == zone && *other != no);
        let lost = others.filter(|other| !self.seems_up(no, *other));
        lost.map(|other| self.routers[other].me.clone()).collect()
    }

    /// Tells all records of suspects to every router, for those that were away.
    fn share_suspects(&mut self, no: RouterNo) {
        for message in self.routers[no].register.snapshot() {
            for other in (0..ZONES.len()).filter(|other| *other != no) {
                let to = self.routers[other].me.clone();
                self.send(no, &to, Peer::Suspects(message.clone()));
            }
        }
    }

    fn hold(&mut self, no: RouterNo, pool: &str, mine: bool) {
        if !mine {
            self.routers[no].dispatchers.remove(pool);
            return;
        }
        if self.routers[no].dispatchers.contains_key(pool) {
            return;
        }
        let now = self.now();
        let entries = self.entries(no, pool);
        let row = self.table.pools[pool].clone();
        let router = &mut self.routers[no];
        let (me, zone) = (router.me.clone(), router.zone.to_owned());
        // Each life of a dispatcher needs a seed of its own.
        let seed = me.incarnation * 1_000_000 + u64::try_from(now.as_millis()).unwrap_or(0);
        let mut dispatcher = Dispatcher::new(me, zone, row, seed, now);
        let actions = dispatcher.handle(dispatcher::Event::Servers(entries), now);
        router.dispatchers.insert(pool.to_owned(), dispatcher);
        self.dispatched(no, actions);
    }

    fn entries(&self, no: RouterNo, pool: &str) -> Vec<ServerEntry> {
        let zone = self.routers[no].zone;
        let own = self
            .servers
            .iter()
            .filter(|one| one.zone == zone && one.pool() == pool);
        let entry = own.map(|server| ServerEntry {
            id: server.id.clone(),
            state: if server.leaving_since.is_some() {
                HostState::Leaving
            } else {
                HostState::Live
            },
            adopted: false,
            cap: None,
        });
        entry.collect()
    }

    /// The platform marks a server's host as leaving; the last one of a pool stays.
    pub(crate) fn mark_leaving(&mut self, no: ServerNo) {
        let pool = self.servers[no].pool();
        let stays = |server: &Server| server.leaving_since.is_none() && server.pool() == pool;
        if self.servers.iter().filter(|server| stays(server)).count() <= 1 {
            return;
        }
        let now = self.now();
        self.servers[no].leaving_since.get_or_insert(now);
        self.later(LIST_LAG, Item::LeaveSeen { server: no });
    }

    pub(crate) fn leave_seen(&mut self, server: ServerNo) {
        if self.flaw_ignores_leaving() {
            return;
        }
        let now = self.now();
        let pool = self.servers[server].pool();
        for no in 0..self.routers.len() {
            let entries = self.entries(no, pool);
            if let Some(dispatcher) = self.routers[no].dispatchers.get_mut(pool) {
                let actions = dispatcher.handle(dispatcher::Event::Servers(entries), now);
                self.dispatched(no, actions);
            }
        }
    }

    /// The router's process dies; its host comes back empty after a time.
    pub(crate) fn crash_router(&mut self, no: RouterNo, away: bool) {
        if !self.routers[no].up {
            return;
        }
        self.routers[no].up = false;
        for item in std::mem::take(&mut self.routers[no].backlog) {
            self.undeliverable(&item);
        }
        let lives = &self.routers[no].lives;
        for (request, caller) in &mut self.callers {
            if caller.router == no && lives.contains_key(request) && !caller.is_over() {
                caller.cut = true;
            }
        }
        let back = if away { AWAY } else { ms(10) };
        self.later(back, Item::StartRouter { router: no });
        self.later(NOTICE, Item::Look);
    }

    pub(crate) fn start_router(&mut self, no: RouterNo) {
        if self.routers[no].up {
            return;
        }
        self.lives += 1;
        let table = self.table.clone();
        self.routers[no] = Router::new(no, ZONES[no], self.lives, &table);
        self.later(NOTICE, Item::Look);
        self.look_around(no);
    }

    /// The router's process stands still for a time and does not know it.
    pub(crate) fn pause_router(&mut self, no: RouterNo, time: Mono) {
        let now = self.now();
        let router = &mut self.routers[no];
        if !router.up || router.paused_since.is_some() {
            return;
        }
        router.paused_since = Some(now);
        self.later(SILENCE, Item::Look);
        self.later(time, Item::WakeUp { router: no });
    }

    pub(crate) fn wake_up(&mut self, no: RouterNo) {
        if self.routers[no].paused_since.take().is_none() {
            return;
        }
        self.later(NOTICE, Item::Look);
        for item in std::mem::take(&mut self.routers[no].backlog) {
            self.deliver(item);
        }
        // Callers that left while the router stood still are noticed now.
        let left = self
            .callers
            .iter()
            .filter(|(_, one)| one.router == no && one.left);
        let left: Vec<_> = left.map(|(request, _)| *request).collect();
        for request in left {
            self.event(no, request, Event::CallerDisconnected);
        }
    }

    pub(crate) fn drain(&mut self, no: RouterNo) {
        self.routers[no].draining = true;
        self.requester(no, requester::Event::Drain);
        self.look();
        if self.flaw_cuts_on_drain() {
            self.stop_all(no);
        }
    }

    fn stop_all(&mut self, no: RouterNo) {
        let requests: Vec<_> = self.routers[no].lives.keys().copied().collect();
        for request in requests {
            self.event(no, request, Event::Shutdown);
        }
    }

    /// A router that has finished everything exits; a new one takes its host.
    pub(crate) fn exit_if_drained(&mut self, no: RouterNo) {
        let router = &self.routers[no];
        if router.draining && router.is_idle() {
            self.exit(no);
        }
    }

    pub(crate) fn hard_end(&mut self, no: RouterNo) {
        if !self.routers[no].draining {
            return;
        }
        if self.hard_ended {
            return self.exit(no);
        }
        self.hard_ended = true;
        self.requester(no, requester::Event::Abandon);
        self.stop_all(no);
        // The claim writer gets a moment for the last settlements.
        self.later(NOTICE, Item::HardEnd { router: no });
    }

    fn exit(&mut self, no: RouterNo) {
        self.routers[no].up = false;
        if self.platform_cut[no] <= self.now() {
            let clock = self.clock();
            self.routers[no].desk.flush(&self.store, &*clock);
        }
        self.later(ms(1_000), Item::StartRouter { router: no });
        self.later(NOTICE, Item::Look);
    }
}
