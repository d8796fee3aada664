//! The world: routers, servers, callers, the key-value service, and the queue.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::AttemptId;
use primrose_core::id::RequestId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;
use primrose_core::table::PoolKind;
use primrose_core::table::SlotBounds;
use primrose_core::table::Table;
use primrose_dispatch::dispatcher;
use primrose_dispatch::requester;
use primrose_request::ConnId;
use primrose_request::Event;
use primrose_request::FinalResult;
use primrose_store::memory::MemoryStore;
use primrose_support::clock::FakeClock;
use primrose_support::tables::engine_pool;
use primrose_support::tables::plain_pool;
use primrose_suspect::FingerprintStatus;

use super::caller::Caller;
use super::caller::Work;
use super::fault::Plan;
use super::flaw::Flaw;
use super::item::Item;
use super::item::Peer;
use super::item::RouterNo;
use super::item::ServerNo;
use super::item::Timer;
use super::ms;
use super::router::Live;
use super::router::Router;
use super::server::Server;
use super::wire::Stalled;
use crate::scenario::BEGIN;
use crate::steps::is_message;

/// Zone of each router.
pub(crate) const ZONES: [&str; 3] = ["a", "a", "b"];
/// How often time passes for a router while it is busy, and later.
const TICKS: [Duration; 2] = [ms(20), ms(400)];
/// When the world has become quiet enough for the longer tick.
const QUIET: Mono = ms(3_500);

/// Items after which a world is taken to go round in a circle.
const MOST_ITEMS: u64 = 200_000;

/// Everything.
pub(crate) struct World {
    clock: Arc<FakeClock>,
    pub(crate) store: MemoryStore,
    queue: BTreeMap<(Mono, u64), Item>,
    queued: u64,
    pub(crate) routers: Vec<Router>,
    pub(crate) servers: Vec<Server>,
    pub(crate) callers: BTreeMap<RequestId, Caller>,
    /// Server of each attempt.
    pub(crate) placed: BTreeMap<AttemptId, ServerNo>,
    /// Pairs of routers that cannot hear one another, and until when.
    pub(crate) cut: Vec<(RouterNo, RouterNo, Mono)>,
    /// Connections that stand still.
    pub(crate) stalled: BTreeMap<ConnId, Stalled>,
    /// Until when each router cannot reach the key-value service.
    pub(crate) platform_cut: [Mono; 3],
    pub(crate) slow_until: Mono,
    pub(crate) plan: Plan,
    pub(crate) flaw: Option<Flaw>,
    /// Servers that died of a poison request.
    pub(crate) poisoned: usize,
    /// Messages that have been seen since the requests began.
    pub(crate) messages: u32,
    /// Whether a shutdown reached its limit and cut off what was left.
    pub(crate) hard_ended: bool,
    /// True numbers of items that a flaw has numbered anew.
    pub(crate) true_items: BTreeMap<RequestId, Vec<u64>>,
    pub(crate) table: Arc<Table>,
    pub(crate) lives: u64,
}

impl World {
    pub(crate) fn new(plan: Plan, flaw: Option<Flaw>) -> Self {
        let clock = Arc::new(FakeClock::new());
        let table = Arc::new(table());
        let server = |id: &str, zone, kind| Server::new(id, zone, kind);
        let mut world = Self {
            store: MemoryStore::new(clock.clone()),
            clock,
            queue: BTreeMap::new(),
            queued: 0,
            routers: Vec::new(),
            servers: vec![
                server("s1", "a", PoolKind::Engine),
                server("s2", "a", PoolKind::Engine),
                server("s3", "b", PoolKind::Engine),
                server("p1", "a", PoolKind::Plain),
                server("p2", "a", PoolKind::Plain),
                server("p3", "b", PoolKind::Plain),
            ],
            callers: BTreeMap::new(),
            placed: BTreeMap::new(),
            cut: Vec::new(),
            stalled: BTreeMap::new(),
            platform_cut: [Mono::ZERO; 3],
            slow_until: Mono::ZERO,
            plan,
            flaw,
            poisoned: 0,
            messages: 0,
            hard_ended: false,
            true_items: BTreeMap::new(),
            table,
            lives: 0,
        };
        for (no, zone) in ZONES.into_iter().enumerate() {
            world.lives += 1;
            let router = Router::new(no, zone, world.lives, &world.table);
            world.routers.push(router);
            world.later(ms(1), Item::Tick { router: no });
        }
        world.look();
        world
    }

    pub(crate) fn now(&self) -> Mono {
        self.clock.now()
    }

    pub(crate) fn clock(&self) -> Arc<FakeClock> {
        Arc::clone(&self.clock)
    }

    /// Wall clock time in milliseconds since the Unix epoch.
    pub(crate) fn wall(&self) -> u64 {
        let since = self.clock.wall().duration_since(UNIX_EPOCH);
        u64::try_from(since.unwrap_or_default().as_millis()).expect("the time fits")
    }

    pub(crate) fn later(&mut self, delay: Duration, item: Item) {
        self.queued += 1;
        let at = self.now() + delay;
        self.queue.insert((at, self.queued), item);
    }

    /// Lets a caller ask at a moment of the world's time.
    pub(crate) fn ask_at(&mut self, at: Mono, request: RequestId, work: Work, router: RouterNo) {
        self.callers.insert(request, Caller::new(work, router));
        self.at(at, Item::Ask { router, request });
    }

    /// Lets something happen at a moment of the world's time.
    pub(crate) fn at(&mut self, at: Mono, item: Item) {
        let wait = at.saturating_sub(self.now());
        self.later(wait, item);
    }

    /// Runs everything that is due up to a time.
    pub(crate) fn run_until(&mut self, end: Mono) {
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            let at = *at;
            if at > end {
                break;
            }
            let Some((_, item)) = self.queue.pop_first() else {
                break;
            };
            assert!(
                self.queued < MOST_ITEMS,
                "the world does not come to rest: {item:?}"
            );
            let step = at.saturating_sub(self.now());
            self.clock.advance(step);
            if is_message(&item) && at >= BEGIN {
                self.messages += 1;
            }
            for item in self.strike_plan(item) {
                self.deliver(item);
            }
        }
        let step = end.saturating_sub(self.now());
        self.clock.advance(step);
    }

    /// Hands an item to whom it is for, unless that one is down, paused or cut off.
    pub(crate) fn deliver(&mut self, item: Item) {
        let Some(item) = self.stall(item) else {
            return;
        };
        if let Some(no) = item.router() {
            let router = &mut self.routers[no];
            if !router.up {
                return self.undeliverable(&item);
            }
            if router.paused_since.is_some() {
                if matches!(item, Item::Tick { .. }) {
                    return self.later(TICKS[1], item);
                }
                router.backlog.push(item);
                return;
            }
        }
        let router = item.router();
        self.take(item);
        if let Some(no) = router.filter(|no| self.routers[*no].up) {
            self.pump_desk(no);
            self.exit_if_drained(no);
        }
    }

    pub(crate) fn undeliverable(&mut self, item: &Item) {
        match item {
            Item::Ask { request, .. } => {
                let caller = self.callers.get_mut(request).expect("the caller is known");
                caller.cut = true;
            }
            // The next run of the process ticks on.
            Item::Tick { router } => self.later(TICKS[1], Item::Tick { router: *router }),
            _ => {}
        }
    }

    fn take(&mut self, item: Item) {
        match item {
            Item::Ask { router, request } => self.ask(router, request),
            Item::Peer { from, to, message } => self.peer(&from, to, message),
            Item::ToServer {
                router,
                server,
                conn,
                call,
            } => self.server_call(router, server, conn, call),
            Item::FromServer {
                router,
                conn,
                event,
            } => {
                let event = self.bend_event(router, conn, event);
                self.event(router, conn.attempt.request, Event::Conn { conn, event });
            }
            Item::Serve {
                server,
                run,
                attempt,
                seq,
            } => self.serve(server, run, attempt, seq),
            Item::StoreCall { router, life, call } => {
                let result = self.store_call(router, &call);
                self.store_reply(router, life, result);
            }
            Item::StoreReply {
                router,
                life,
                result,
            } => self.stored(router, life, result),
            Item::Timer {
                router,
                life,
                request,
                timer,
            } if self.routers[router].life() == life => self.timer_ended(router, request, &timer),
            Item::Timer { .. } => {}
            Item::Desk { router, life } => {
                if self.routers[router].life() == life {
                    self.routers[router].desk_timer = false;
                }
            }
            Item::Tick { router } => self.tick(router),
            Item::Drain { router } => self.drain(router),
            Item::HardEnd { router } => self.hard_end(router),
            Item::WakeUp { router } => self.wake_up(router),
            Item::StartRouter { router } => self.start_router(router),
            Item::StartServer { server } => self.servers[server].up = true,
            Item::LeaveSeen { server } => self.leave_seen(server),
            Item::Look => self.look(),
            Item::Flush { conn } => self.flush(conn),
            Item::StoreUp => self.store.set_down(false),
        }
    }

    fn ask(&mut self, no: RouterNo, request: RequestId) {
        let wall = self.wall();
        let caller = &self.callers[&request];
        let print = caller.work.id;
        let standing = self.routers[no].register.status(print, wall);
        let refused = match standing {
            _ if self.routers[no].draining => Some(ErrorCode::ShuttingDown),
            FingerprintStatus::Refused { .. } => Some(ErrorCode::Poison),
            _ => None,
        };
        if let Some(code) = refused {
            let verdict = FinalResult {
                outcome: Outcome::NotRun,
                code: Some(code),
                retry_after: None,
                partial: false,
            };
            return self.tell_caller(request, verdict);
        }
        let spec = caller.spec(request, standing == FingerprintStatus::Suspect);
        let deadline = spec.route.deadline;
        let live = Live {
            suspect: spec.suspect,
            life: primrose_request::Lifecycle::new(spec),
            held: Vec::new(),
            latest: None,
            sent_at: 0,
        };
        self.routers[no].lives.insert(request, live);
        self.timer(no, request, deadline, Timer::Deadline);
        self.event(no, request, Event::Start);
    }

    pub(crate) fn tell_caller(&mut self, request: RequestId, verdict: FinalResult) {
        let verdict = self.bend_verdict(verdict);
        let caller = self.callers.get_mut(&request).expect("the caller is known");
        if !caller.left {
            caller.heard.extend(verdict);
        }
    }

    /// The caller closes the connection.
    pub(crate) fn leave(&mut self, request: RequestId) {
        let caller = self.callers.get_mut(&request).expect("the caller is known");
        let no = caller.router;
        if caller.is_over() {
            return;
        }
        caller.left = true;
        if self.routers[no].up && self.routers[no].paused_since.is_none() {
            self.event(no, request, Event::CallerDisconnected);
        }
    }

    pub(crate) fn live(&mut self, no: RouterNo, request: RequestId) -> &mut Live {
        let live = self.routers[no].lives.get_mut(&request);
        live.expect("the request is known")
    }

    pub(crate) fn timer(
        &mut self,
        no: RouterNo,
        request: RequestId,
        delay: Duration,
        timer: Timer,
    ) {
        let item = Item::Timer {
            router: no,
            life: self.routers[no].life(),
            request,
            timer,
        };
        self.later(delay, item);
    }

    fn timer_ended(&mut self, no: RouterNo, request: RequestId, timer: &Timer) {
        let live = &self.routers[no].lives[&request];
        match timer {
            Timer::Enqueue(attempt) if live.life.waiting() == Some(*attempt) => {
                self.enqueue(no, *attempt);
            }
            Timer::Enqueue(_) => {}
            Timer::Deadline => self.event(no, request, Event::Deadline),
            Timer::RunLimit(attempt) => {
                if live.life.running().is_some_and(|(one, _)| one == *attempt) {
                    self.event(no, request, Event::RunLimit);
                }
            }
        }
    }

    pub(crate) fn dispatched(&mut self, no: RouterNo, actions: Vec<dispatcher::Action>) {
        for dispatcher::Action::Send { to, message } in actions {
            self.send(no, &to, Peer::Dispatch(message));
        }
    }

    fn tick(&mut self, no: RouterNo) {
        let now = self.now();
        let pace = TICKS[usize::from(now > QUIET)];
        self.later(pace, Item::Tick { router: no });
        self.requester(no, requester::Event::Tick);
        let pools: Vec<_> = self.routers[no].dispatchers.keys().cloned().collect();
        for pool in pools {
            let dispatcher = self.routers[no].dispatchers.get_mut(&pool);
            let dispatcher = dispatcher.expect("the dispatcher is there");
            let actions = dispatcher.handle(dispatcher::Event::Tick, now);
            self.dispatched(no, actions);
        }
    }
}

fn table() -> Table {
    let mut table = Table::default();
    for mut pool in [engine_pool("chat"), plain_pool("orders")] {
        pool.slots = SlotBounds { min: 2, max: 2 };
        pool.max_run_time = ms(8_000);
        table.pools.insert(pool.name.clone(), pool);
    }
    table
}
