//! Simulation of a small fleet: requesters and dispatchers of a few zones, connected by a simulated
//! network, on a clock that the test advances. The simulated backend servers run each slot at the
//! same rate and record which requests ran.

mod backend;
mod failures;
mod membership;
mod record;
mod workload;

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
pub(crate) use record::Record;
pub(crate) use record::RequestState;
pub(crate) use workload::Account;

/// Name of the only pool.
pub(crate) const POOL: &str = "chat";
/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// One-way delay between routers of a zone.
const INTRA_ZONE_DELAY: Duration = Duration::from_micros(300);
/// One-way delay between zones.
pub(crate) const INTER_ZONE_DELAY: Duration = Duration::from_micros(1500);
/// Interval and delay of the servers' load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// Scheduling policy under test, and where it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scheduling {
    /// The production policy.
    FleetFair,
    /// The production policy with another lending threshold, in units.
    Threshold(u64),
    /// Fair queueing in each zone, without lending between zones.
    ZoneAlone,
    /// First come, first served at the same dispatchers.
    Fcfs,
    /// Fair queueing in each router, over a static partition of the slots.
    RouterAlone,
}

/// Size of the simulated fleet: zones, routers and servers per zone, slots per server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Topology {
    pub(crate) zones: usize,
    pub(crate) routers: usize,
    pub(crate) servers: usize,
    pub(crate) slots: u32,
}

impl Topology {
    pub(crate) fn total_slots(&self) -> u32 {
        u32::try_from(self.zones * self.servers).unwrap() * self.slots
    }
}

/// Faults of the simulated network.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct LinkFaults {
    /// Fraction of messages that are lost.
    pub(crate) loss: f64,
    /// Fraction of messages that are duplicated.
    pub(crate) duplication: f64,
    /// Maximum extra delay, which also reorders messages.
    pub(crate) max_delay: Duration,
}

pub(crate) struct Router {
    pub(crate) member: Member,
    pub(crate) zone: usize,
    pub(crate) requester: Requester,
    pub(crate) dispatcher: Option<Dispatcher>,
}

/// Event to deliver to a router.
#[derive(Debug, Clone)]
enum SimEvent {
    Message { from: Member, message: Message },
    Holder,
    Peers,
    Load(LoadReport),
    RouterDown(Member),
}

#[derive(Debug, Clone)]
struct ScheduledEvent {
    to: Member,
    event: SimEvent,
}

pub(crate) struct SimFleet {
    pub(crate) now: Mono,
    pub(crate) topology: Topology,
    pub(crate) faults: LinkFaults,
    pub(crate) pool: Pool,
    scheduling: Scheduling,
    rng: StdRng,
    pub(crate) routers: Vec<Router>,
    /// Index of the router that holds each zone's dispatcher, by zone.
    holders: Vec<usize>,
    /// Pairs of zones that cannot reach each other, lower index first.
    partitions: BTreeSet<(usize, usize)>,
    pub(crate) backends: BTreeMap<String, Backend>,
    scheduled: BTreeMap<(Mono, u64), ScheduledEvent>,
    scheduled_count: u64,
    pub(crate) accounts: Vec<Account>,
    requests: RequestId,
    pub(crate) record: Record,
    next_report: Mono,
}

impl SimFleet {
    pub(crate) fn new(topology: Topology, scheduling: Scheduling, seed: u64) -> Self {
        let mut pool = engine_pool(POOL);
        pool.slots = SlotBounds {
            min: topology.slots,
            max: topology.slots,
        };
        let mut fleet = Self {
            now: Duration::from_secs(1),
            topology,
            faults: LinkFaults::default(),
            pool,
            scheduling,
            rng: StdRng::seed_from_u64(seed),
            routers: Vec::new(),
            holders: (0..topology.zones).map(|z| z * topology.routers).collect(),
            partitions: BTreeSet::new(),
            backends: BTreeMap::new(),
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            accounts: Vec::new(),
            requests: 0,
            record: Record::default(),
            next_report: Duration::from_secs(1),
        };
        for index in 0..topology.zones * topology.routers {
            let router = fleet.make_router(index, 1);
            fleet.routers.push(router);
        }
        for index in 0..topology.zones * topology.servers {
            let id = server_name(index);
            let backend = Backend::new(index / topology.servers, topology.slots, fleet.now);
            fleet.backends.insert(id, backend);
        }
        for index in 0..fleet.routers.len() {
            let holder = fleet.holder_for(index);
            fleet.set_holder(index, holder);
        }
        for index in 0..fleet.routers.len() {
            fleet.update_peers(index);
        }
        fleet
    }

    /// Runs the simulation for a time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs the simulation up to a point in time, if that is in the future.
    pub(crate) fn run_until(&mut self, end: Mono) {
        self.run(end.saturating_sub(self.now));
    }

    pub(crate) fn step(&mut self) {
        let next = self.now + STEP;
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 > next {
                break;
            }
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = self.now.max(at);
            self.deliver(scheduled);
        }
        self.now = next;
        self.serve(STEP);
        self.generate_requests();
        self.report_load();
        for index in 0..self.routers.len() {
            self.deliver_to_requester(index, requester::Event::Tick);
            self.deliver_to_dispatcher(index, dispatcher::Event::Tick);
        }
        self.record_step();
    }

    pub(crate) fn deliver_to_requester(&mut self, index: usize, event: requester::Event) {
        let now = self.now;
        for action in self.routers[index].requester.handle(event, now) {
            match action {
                requester::Action::Send { to, message } => self.send(index, to, message),
                requester::Action::Run(run) => self.start(index, run),
                requester::Action::Refuse { request, code } => self.record.refused(request, code),
            }
        }
    }

    pub(crate) fn deliver_to_dispatcher(&mut self, index: usize, event: dispatcher::Event) {
        let now = self.now;
        let Some(dispatcher) = &mut self.routers[index].dispatcher else {
            return;
        };
        for dispatcher::Action::Send { to, message } in dispatcher.handle(event, now) {
            self.send(index, to, message);
        }
    }

    /// Sends the pool's new settings to every dispatcher.
    pub(crate) fn publish_pool(&mut self) {
        for index in 0..self.routers.len() {
            let event = dispatcher::Event::Pool(self.pool.clone());
            self.deliver_to_dispatcher(index, event);
        }
    }

    pub(crate) fn index_of(&self, member: &Member) -> Option<usize> {
        self.routers.iter().position(|r| r.member == *member)
    }

    fn deliver(&mut self, scheduled: ScheduledEvent) {
        let Some(index) = self.index_of(&scheduled.to) else {
            return;
        };
        match scheduled.event {
            SimEvent::Message { from, message } => match message.body.recipient() {
                Recipient::Requester => {
                    let event = requester::Event::Message { from, message };
                    self.deliver_to_requester(index, event);
                }
                Recipient::Dispatcher => {
                    let event = dispatcher::Event::Message { from, message };
                    self.deliver_to_dispatcher(index, event);
                }
            },
            // Uses the state at the time of delivery, so that lagging views converge.
            SimEvent::Holder => {
                let holder = self.holder_for(index);
                self.set_holder(index, holder);
            }
            SimEvent::Peers => self.update_peers(index),
            SimEvent::Load(report) => {
                self.deliver_to_dispatcher(index, dispatcher::Event::Load(report))
            }
            SimEvent::RouterDown(member) => {
                self.deliver_to_dispatcher(index, dispatcher::Event::RouterDown(member));
            }
        }
    }

    fn send(&mut self, index: usize, to: Member, message: Message) {
        self.record.messages_sent += 1;
        let from = self.routers[index].member.clone();
        let Some(target) = self.index_of(&to) else {
            return;
        };
        let zones = (self.routers[index].zone, self.routers[target].zone);
        if self.is_partitioned(zones.0, zones.1) {
            return;
        }
        let mut delay = if target == index {
            Duration::ZERO
        } else if zones.0 == zones.1 {
            INTRA_ZONE_DELAY
        } else {
            INTER_ZONE_DELAY
        };
        let event = SimEvent::Message { from, message };
        if target != index {
            if self.rng.random_bool(self.faults.loss) {
                return;
            }
            if self.rng.random_bool(self.faults.duplication) {
                let again = delay + self.extra_delay();
                self.schedule(again, to.clone(), event.clone());
            }
            delay += self.extra_delay();
        }
        self.schedule(delay, to, event);
    }

    fn extra_delay(&mut self) -> Duration {
        if self.faults.max_delay.is_zero() {
            return Duration::ZERO;
        }
        self.faults
            .max_delay
            .mul_f64(self.rng.random_range(0.0..1.0))
    }

    fn schedule(&mut self, delay: Duration, to: Member, event: SimEvent) {
        self.scheduled_count += 1;
        let key = (self.now + delay, self.scheduled_count);
        self.scheduled.insert(key, ScheduledEvent { to, event });
    }

    fn make_router(&self, index: usize, incarnation: u64) -> Router {
        let mut table = Table::default();
        table.pools.insert(POOL.into(), self.pool.clone());
        Router {
            member: Member {
                host: format!("h{index}"),
                incarnation,
            },
            zone: index / self.topology.routers,
            requester: Requester::new(Arc::new(table)),
            dispatcher: None,
        }
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitions.contains(&(a.min(b), a.max(b)))
    }
}

pub(crate) fn zone_name(index: usize) -> String {
    format!("z{index}")
}

pub(crate) fn server_name(index: usize) -> String {
    format!("s{index:02}")
}
