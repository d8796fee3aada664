//! Prints the cost of one dispatcher for several sizes of a zone: processor time, messages, bytes.
//!
//! Runs one dispatcher and its requesters on a simulated clock; only the dispatcher's processor
//! time is measured.
//!
//! `cargo run --release -p primrose-dispatch --example slope`

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use primrose_core::clock::Mono;
use primrose_core::host::HostState;
use primrose_core::id::Member;
use primrose_core::table::Pool;
use primrose_core::table::SlotBounds;
use primrose_core::table::Table;
use primrose_dispatch::dispatcher;
use primrose_dispatch::dispatcher::Dispatcher;
use primrose_dispatch::dispatcher::ServerEntry;
use primrose_dispatch::message::Ending;
use primrose_dispatch::message::Finished;
use primrose_dispatch::message::Message;
use primrose_dispatch::requester;
use primrose_dispatch::requester::PendingRequest;
use primrose_dispatch::requester::Requester;
use primrose_support::tables::engine_pool;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

const POOL: &str = "chat";
const STEP: Duration = Duration::from_millis(10);
const WARM_UP: Duration = Duration::from_secs(5);
const MEASURED_TIME: Duration = Duration::from_secs(30);
/// Mean run time of one request.
const RUN_SECS: f64 = 6.0;

/// Size of a zone, for one pool.
#[derive(Debug, Clone, Copy)]
struct Size {
    routers: usize,
    servers: usize,
    accounts: usize,
    zones: usize,
    rate: f64,
}

#[derive(Debug, Default)]
struct Cost {
    time: Duration,
    sent: usize,
    sent_bytes: usize,
    zone_bytes: usize,
    received: usize,
    received_bytes: usize,
    grants: u64,
}

struct DispatcherSim {
    size: Size,
    now: Mono,
    rng: StdRng,
    dispatcher: Dispatcher,
    requesters: Vec<Requester>,
    running: BTreeMap<Mono, Vec<(usize, Finished)>>,
    requests: u64,
    cost: Cost,
}

fn member(index: usize) -> Member {
    Member {
        host: format!("entry-{index:03}"),
        incarnation: 1_700_000_000_000,
    }
}

fn bytes(message: &Message) -> usize {
    let mut out = Vec::new();
    ciborium::into_writer(message, &mut out).expect("a message can be encoded");
    out.len()
}

impl DispatcherSim {
    fn new(size: Size) -> Self {
        let now = Duration::from_secs(1);
        let mut pool: Pool = engine_pool(POOL);
        // Slots for nine tenths of the request rate, so that a tenth of the accounts is backlogged.
        let slots = size.rate * RUN_SECS * 0.9 / size.servers as f64;
        let slots = slots.ceil().max(1.0) as u32;
        pool.slots = SlotBounds {
            min: slots,
            max: slots,
        };
        pool.queue.account_requests = 20;
        let mut table = Table::default();
        table.pools.insert(POOL.into(), pool.clone());
        let table = Arc::new(table);
        let mut sim = Self {
            size,
            now,
            rng: StdRng::seed_from_u64(1),
            dispatcher: Dispatcher::new(member(0), "zone-00".into(), pool, 1, now),
            requesters: (0..size.routers)
                .map(|_| Requester::new(table.clone()))
                .collect(),
            running: BTreeMap::new(),
            requests: 0,
            cost: Cost::default(),
        };
        let entry = |index| ServerEntry {
            id: format!("server-{index:04}"),
            state: HostState::Live,
            adopted: false,
            cap: None,
        };
        let servers = (0..size.servers).map(entry).collect();
        sim.handle_at_dispatcher(dispatcher::Event::Servers(servers));
        let peers = (1..size.zones).map(|z| (format!("zone-{z:02}"), Some(member(1000 + z))));
        sim.handle_at_dispatcher(dispatcher::Event::Peers(peers.collect()));
        for index in 0..size.routers {
            let holder = requester::Event::Holder {
                pool: POOL.into(),
                holder: Some(member(0)),
            };
            sim.handle_at_requester(index, holder);
        }
        sim
    }

    fn handle_at_dispatcher(&mut self, event: dispatcher::Event) {
        let start = Instant::now();
        let actions = self.dispatcher.handle(event, self.now);
        self.cost.time += start.elapsed();
        for dispatcher::Action::Send { to, message } in actions {
            let size = bytes(&message);
            self.cost.sent += 1;
            self.cost.sent_bytes += size;
            let local_receiver = (0..self.size.routers).find(|index| member(*index) == to);
            match local_receiver {
                Some(index) => {
                    let from = member(0);
                    self.handle_at_requester(index, requester::Event::Message { from, message });
                }
                None => self.cost.zone_bytes += size,
            }
        }
    }

    fn handle_at_requester(&mut self, index: usize, event: requester::Event) {
        for action in self.requesters[index].handle(event, self.now) {
            match action {
                requester::Action::Send { message, .. } => {
                    self.cost.received += 1;
                    self.cost.received_bytes += bytes(&message);
                    let from = member(index);
                    self.handle_at_dispatcher(dispatcher::Event::Message { from, message });
                }
                requester::Action::Run(run) => {
                    let time = RUN_SECS * self.rng.random_range(0.2..1.8);
                    let finished = Finished {
                        attempt: run.attempt,
                        ending: Ending::Done,
                        used: 800,
                        first: Some(300),
                        inter: Some(25_000),
                    };
                    let end = self.now + Duration::from_secs_f64(time);
                    self.running.entry(end).or_default().push((index, finished));
                }
                requester::Action::Refuse { .. } => {}
            }
        }
    }

    fn enqueue_request(&mut self) {
        self.requests += 1;
        let index = self.rng.random_range(0..self.size.routers);
        // A tenth of the accounts sends half of the requests, and a share of the rest.
        let heavy = self.rng.random_bool(0.5);
        let accounts = if heavy {
            self.size.accounts.div_ceil(10)
        } else {
            self.size.accounts
        };
        let account = self.rng.random_range(0..accounts);
        let pending = PendingRequest {
            request: self.rng.random(),
            number: 1,
            account: format!("account-{account:03}"),
            route: "draft-notices".into(),
            pool: POOL.into(),
            cost: 800,
            bytes: 4000,
            suspect: false,
            prefixes: (0..4).map(|_| self.rng.random_range(0..1000)).collect(),
            deadline: self.now + Duration::from_secs(60),
        };
        self.handle_at_requester(index, requester::Event::Enqueue(pending));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let due = self.size.rate * STEP.as_secs_f64();
            let mut count = due.floor() as usize;
            count += usize::from(self.rng.random_bool(due.fract()));
            for _ in 0..count {
                self.enqueue_request();
            }
            while let Some(entry) = self.running.first_entry() {
                if *entry.key() > self.now {
                    break;
                }
                for (index, finished) in entry.remove() {
                    self.handle_at_requester(index, requester::Event::Ended(finished));
                }
            }
            for index in 0..self.size.routers {
                self.handle_at_requester(index, requester::Event::Tick);
            }
            self.handle_at_dispatcher(dispatcher::Event::Tick);
        }
    }
}

fn main() {
    let planned = Size {
        routers: 12,
        servers: 30,
        accounts: 450,
        zones: 31,
        rate: 40.0,
    };
    let vary = |change: fn(&mut Size)| {
        let mut size = planned;
        change(&mut size);
        size
    };
    let sizes = [
        planned,
        vary(|s| s.rate = 10.0),
        vary(|s| s.rate = 20.0),
        vary(|s| s.routers = 3),
        vary(|s| s.routers = 6),
        vary(|s| s.servers = 60),
        vary(|s| s.servers = 150),
        vary(|s| s.accounts = 45),
        vary(|s| s.accounts = 150),
        vary(|s| s.zones = 3),
        vary(|s| s.zones = 10),
    ];
    for size in sizes {
        let mut sim = DispatcherSim::new(size);
        sim.run(WARM_UP);
        sim.cost = Cost::default();
        let before = sim.dispatcher.status(sim.now).totals.granted;
        sim.run(MEASURED_TIME);
        let cost = &mut sim.cost;
        cost.grants = sim.dispatcher.status(sim.now).totals.granted - before;
        let seconds = MEASURED_TIME.as_secs_f64();
        let local_bytes = cost.sent_bytes - cost.zone_bytes + cost.received_bytes;
        println!(
            "{size:?}: core {:.3} %, sent {:.1} KB/s in {:.0} msg/s of which zones {:.1} KB/s, \
             received {:.1} KB/s in {:.0} msg/s, near {:.0} B/request",
            cost.time.as_secs_f64() / seconds * 100.0,
            cost.sent_bytes as f64 / seconds / 1000.0,
            cost.sent as f64 / seconds,
            cost.zone_bytes as f64 / seconds / 1000.0,
            cost.received_bytes as f64 / seconds / 1000.0,
            cost.received as f64 / seconds,
            local_bytes as f64 / cost.grants.max(1) as f64,
        );
    }
}
