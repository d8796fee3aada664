//! A small fleet: requesters and dispatchers of some zones, joined by queues, on a clock that the
//! test moves. Backend servers give each slot the same rate; the record of what ran is theirs.

mod backend;
mod fault;
mod load;
mod record;
mod view;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Member;
use primrose_core::id::RequestId;
use primrose_core::table::Pool;
use primrose_core::table::SlotBounds;
use primrose_core::table::Table;
use primrose_dispatch::dispatcher;
use primrose_dispatch::dispatcher::Dispatcher;
use primrose_dispatch::dispatcher::LoadReport;
use primrose_dispatch::message::Message;
use primrose_dispatch::message::Recipient;
use primrose_dispatch::requester;
use primrose_dispatch::requester::Requester;
use primrose_support::tables::engine_pool;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

pub(crate) use backend::Backend;
pub(crate) use backend::SLOT_RATE;
pub(crate) use load::Account;
pub(crate) use record::Fate;
pub(crate) use record::Record;

/// Name of the only pool.
pub(crate) const POOL: &str = "chat";
/// Step of the clock.
const STEP: Duration = Duration::from_millis(5);
/// One way between routers of a zone.
const NEAR: Duration = Duration::from_micros(300);
/// One way between zones.
pub(crate) const FAR: Duration = Duration::from_micros(1500);
/// How often servers report their load, and how late the report arrives.
const REPORT_EVERY: Duration = Duration::from_millis(500);
const REPORT_LAG: Duration = Duration::from_millis(300);

/// Who decides the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// The product.
    FleetFair,
    /// The product with another threshold, in units, for slots beside local work.
    Threshold(u64),
    /// Fair queueing in each zone alone.
    ZoneAlone,
    /// First come first served at the same dispatchers.
    Fcfs,
    /// Fair queueing in each router alone, over its part of the slots.
    RouterAlone,
}

/// Size of the fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) zones: usize,
    pub(crate) routers: usize,
    pub(crate) servers: usize,
    pub(crate) slots: u32,
}

impl Shape {
    pub(crate) fn total_slots(&self) -> u32 {
        u32::try_from(self.zones * self.servers).unwrap() * self.slots
    }
}

/// What goes wrong on the links.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Faults {
    /// Part of the messages that are lost.
    pub(crate) loss: f64,
    /// Part of the messages that come twice.
    pub(crate) double: f64,
    /// Longest extra delay; messages cross.
    pub(crate) late: Duration,
}

pub(crate) struct Router {
    pub(crate) member: Member,
    pub(crate) zone: usize,
    pub(crate) requester: Requester,
    pub(crate) dispatcher: Option<Dispatcher>,
}

/// Something that happens at a router later.
#[derive(Debug, Clone)]
enum Later {
    Message { from: Member, message: Message },
    Holder,
    Peers,
    Load(LoadReport),
    Down(Member),
}

#[derive(Debug, Clone)]
struct Pending {
    to: Member,
    what: Later,
}

pub(crate) struct Fleet {
    pub(crate) now: Mono,
    pub(crate) shape: Shape,
    pub(crate) faults: Faults,
    pub(crate) pool: Pool,
    order: Order,
    rng: StdRng,
    pub(crate) routers: Vec<Router>,
    /// Index of the router that holds each zone's dispatcher.
    holders: Vec<usize>,
    /// Pairs of zones that cannot reach each other.
    cut: BTreeSet<(usize, usize)>,
    pub(crate) backends: BTreeMap<String, Backend>,
    pending: BTreeMap<(Mono, u64), Pending>,
    queued: u64,
    pub(crate) accounts: Vec<Account>,
    requests: RequestId,
    pub(crate) record: Record,
    next_report: Mono,
}

impl Fleet {
    pub(crate) fn new(shape: Shape, order: Order, seed: u64) -> Self {
        let mut pool = engine_pool(POOL);
        pool.slots = SlotBounds {
            min: shape.slots,
            max: shape.slots,
        };
        let mut fleet = Self {
            now: Duration::from_secs(1),
            shape,
            faults: Faults::default(),
            pool,
            order,
            rng: StdRng::seed_from_u64(seed),
            routers: Vec::new(),
            holders: (0..shape.zones).map(|z| z * shape.routers).collect(),
            cut: BTreeSet::new(),
            backends: BTreeMap::new(),
            pending: BTreeMap::new(),
            queued: 0,
            accounts: Vec::new(),
            requests: 0,
            record: Record::default(),
            next_report: Duration::from_secs(1),
        };
        for index in 0..shape.zones * shape.routers {
            let router = fleet.make_router(index, 1);
            fleet.routers.push(router);
        }
        for index in 0..shape.zones * shape.servers {
            let id = server_name(index);
            let backend = Backend::new(index / shape.servers, shape.slots, fleet.now);
            fleet.backends.insert(id, backend);
        }
        for index in 0..fleet.routers.len() {
            let holder = fleet.holder_for(index);
            fleet.set_holder(index, holder);
        }
        for index in 0..fleet.routers.len() {
            fleet.tell_peers(index);
        }
        fleet
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass up to a moment; none if it has passed.
    pub(crate) fn run_until(&mut self, end: Mono) {
        self.run(end.saturating_sub(self.now));
    }

    pub(crate) fn step(&mut self) {
        let next = self.now + STEP;
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 > next {
                break;
            }
            let ((at, _), pending) = entry.remove_entry();
            self.now = self.now.max(at);
            self.happen(pending);
        }
        self.now = next;
        self.serve(STEP);
        self.offer();
        self.report_load();
        for index in 0..self.routers.len() {
            self.tell_requester(index, requester::Event::Tick);
            self.tell_dispatcher(index, dispatcher::Event::Tick);
        }
        self.observe();
    }

    pub(crate) fn tell_requester(&mut self, index: usize, event: requester::Event) {
        let now = self.now;
        for action in self.routers[index].requester.handle(event, now) {
            match action {
                requester::Action::Send { to, message } => self.send(index, to, message),
                requester::Action::Run(run) => self.start(index, run),
                requester::Action::Refuse { request, code } => self.record.refused(request, code),
            }
        }
    }

    pub(crate) fn tell_dispatcher(&mut self, index: usize, event: dispatcher::Event) {
        let now = self.now;
        let Some(dispatcher) = &mut self.routers[index].dispatcher else {
            return;
        };
        for dispatcher::Action::Send { to, message } in dispatcher.handle(event, now) {
            self.send(index, to, message);
        }
    }

    /// Every dispatcher learns the pool's new row.
    pub(crate) fn tell_pool(&mut self) {
        for index in 0..self.routers.len() {
            let event = dispatcher::Event::Pool(self.pool.clone());
            self.tell_dispatcher(index, event);
        }
    }

    pub(crate) fn index_of(&self, member: &Member) -> Option<usize> {
        self.routers.iter().position(|r| r.member == *member)
    }

    fn happen(&mut self, pending: Pending) {
        let Some(index) = self.index_of(&pending.to) else {
            return;
        };
        match pending.what {
            Later::Message { from, message } => match message.body.recipient() {
                Recipient::Requester => {
                    let event = requester::Event::Message { from, message };
                    self.tell_requester(index, event);
                }
                Recipient::Dispatcher => {
                    let event = dispatcher::Event::Message { from, message };
                    self.tell_dispatcher(index, event);
                }
            },
            // As it is then: views lag, but they agree in the end.
            Later::Holder => {
                let holder = self.holder_for(index);
                self.set_holder(index, holder);
            }
            Later::Peers => self.tell_peers(index),
            Later::Load(report) => self.tell_dispatcher(index, dispatcher::Event::Load(report)),
            Later::Down(member) => {
                self.tell_dispatcher(index, dispatcher::Event::RouterDown(member));
            }
        }
    }

    fn send(&mut self, index: usize, to: Member, message: Message) {
        self.record.sent += 1;
        let from = self.routers[index].member.clone();
        let Some(target) = self.index_of(&to) else {
            return;
        };
        let zones = (self.routers[index].zone, self.routers[target].zone);
        if self.is_cut(zones.0, zones.1) {
            return;
        }
        let mut delay = if target == index {
            Duration::ZERO
        } else if zones.0 == zones.1 {
            NEAR
        } else {
            FAR
        };
        let later = Later::Message { from, message };
        if target != index {
            if self.rng.random_bool(self.faults.loss) {
                return;
            }
            if self.rng.random_bool(self.faults.double) {
                let again = delay + self.extra_delay();
                self.later(again, to.clone(), later.clone());
            }
            delay += self.extra_delay();
        }
        self.later(delay, to, later);
    }

    fn extra_delay(&mut self) -> Duration {
        if self.faults.late.is_zero() {
            return Duration::ZERO;
        }
        self.faults.late.mul_f64(self.rng.random_range(0.0..1.0))
    }

    fn later(&mut self, delay: Duration, to: Member, what: Later) {
        self.queued += 1;
        let key = (self.now + delay, self.queued);
        self.pending.insert(key, Pending { to, what });
    }

    fn make_router(&self, index: usize, incarnation: u64) -> Router {
        let mut table = Table::default();
        table.pools.insert(POOL.into(), self.pool.clone());
        Router {
            member: Member {
                host: format!("h{index}"),
                incarnation,
            },
            zone: index / self.shape.routers,
            requester: Requester::new(Arc::new(table)),
            dispatcher: None,
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut.contains(&(a.min(b), a.max(b)))
    }
}

pub(crate) fn zone_name(index: usize) -> String {
    format!("z{index}")
}

pub(crate) fn server_name(index: usize) -> String {
    format!("s{index:02}")
}
