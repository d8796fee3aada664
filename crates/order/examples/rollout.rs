//! Measures the cost of orders: of observing servers in their desired state, and of a new version.
//!
//! The servers and the key-value store are in memory and the clock is advanced manually, so that
//! only the writers use processor time. The store counts the calls to it.
//!
//! Run with `cargo run --release -p primrose-order --example rollout`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use primrose_core::clock::Clock;
use primrose_order::Desired;
use primrose_order::Executor;
use primrose_order::FencedOrder;
use primrose_order::Observed;
use primrose_order::Order;
use primrose_order::OrderConfig;
use primrose_order::SendResult;
use primrose_order::ServerClient;
use primrose_order::Target;
use primrose_order::Unreachable;
use primrose_order::Writer;
use primrose_store::memory::MemoryStore;
use primrose_support::clock::FakeClock;

/// Servers of one pool: a fifth of the 4 700 servers that are planned for.
const SERVERS: u16 = 940;
/// Writers of the pool: one in each availability zone.
const WRITERS: usize = 31;
const LOAD_TIME: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_secs(1);
/// Time over which the observations are measured.
const STEADY_TIME: Duration = Duration::from_secs(600);
/// Maximum number of actions of a writer in one step.
const MAX_ACTIONS: usize = 10_000;
/// Maximum time that a new version may take.
const MAX_ROLLOUT_TIME: Duration = Duration::from_secs(24 * 3600);

struct Loaded {
    version: String,
    loading: Option<(String, Duration)>,
}

/// Servers that accept any order.
struct Pool {
    clock: Arc<FakeClock>,
    servers: Mutex<Vec<Loaded>>,
}

impl Pool {
    fn is_at(&self, version: &str) -> bool {
        let servers = self.servers.lock().expect("pool lock poisoned");
        servers.iter().all(|server| server.version == version)
    }
}

impl ServerClient for Pool {
    fn observe(&self, addr: SocketAddr) -> Result<Observed, Unreachable> {
        let mut servers = self.servers.lock().expect("pool lock poisoned");
        let server = &mut servers[usize::from(addr.port())];
        let now = self.clock.now();
        if let Some((version, _)) = server.loading.take_if(|(_, end)| *end <= now) {
            server.version = version;
        }
        let loading = server.loading.as_ref();
        Ok(Observed {
            model: "linen".into(),
            version: server.version.clone(),
            loading: loading
                .map(|(version, _)| version.clone())
                .unwrap_or_default(),
            ..Observed::default()
        })
    }

    fn send(&self, addr: SocketAddr, order: &FencedOrder) -> SendResult {
        let mut servers = self.servers.lock().expect("pool lock poisoned");
        if let Order::Load { version, .. } = &order.order {
            let end = self.clock.now() + LOAD_TIME;
            servers[usize::from(addr.port())].loading = Some((version.clone(), end));
        }
        SendResult::Accepted
    }
}

fn main() {
    let clock = Arc::new(FakeClock::new());
    let store = Arc::new(MemoryStore::new(clock.clone()));
    let loaded = |_| Loaded {
        version: "1".into(),
        loading: None,
    };
    let pool = Arc::new(Pool {
        clock: clock.clone(),
        servers: Mutex::new((0..SERVERS).map(loaded).collect()),
    });
    let executor = Executor::new(store.clone(), pool.clone(), clock.clone());
    let mut writers: Vec<Writer> = (0..WRITERS)
        .map(|number| Writer::new(OrderConfig::new("fleet", "host", number as u64)))
        .collect();

    set_desired(&mut writers, "1", clock.now());
    let start = Instant::now();
    let end = clock.now() + STEADY_TIME;
    while clock.now() < end {
        step(&executor, &mut writers, &clock);
    }
    let observations = f64::from(SERVERS) * STEADY_TIME.as_secs_f64() / 10.0;
    println!(
        "observations: {:.1} µs each with the state in memory, {} calls to the store",
        start.elapsed().as_secs_f64() * 1e6 / observations,
        store.calls().total()
    );

    set_desired(&mut writers, "2", clock.now());
    let began = clock.now();
    let start = Instant::now();
    while !pool.is_at("2") && clock.now() < began + MAX_ROLLOUT_TIME {
        step(&executor, &mut writers, &clock);
    }
    let duration = clock.now() - began;
    let calls = store.calls();
    let rate = calls.total() as f64 / duration.as_secs_f64();
    println!(
        "new version: {SERVERS} servers in {} s, processor time {:.0} ms",
        duration.as_secs(),
        start.elapsed().as_secs_f64() * 1e3
    );
    println!(
        "calls to the store: {} reads, {} writes; {rate:.1} a second, at most {} in one second",
        calls.reads,
        calls.writes,
        store.busiest_second()
    );
}

fn set_desired(writers: &mut [Writer], version: &str, now: Duration) {
    let count = writers.len();
    for (number, writer) in writers.iter_mut().enumerate() {
        let own = (0..SERVERS).filter(|server| usize::from(*server) % count == number);
        let targets = own.map(|server| Target {
            server: format!("engine-{server:04}"),
            addr: SocketAddr::from(([10, 0, 0, 1], server)),
            desired: Desired {
                model: "linen".into(),
                version: version.into(),
                role: String::new(),
            },
            checks_fence: true,
        });
        writer.set_targets(targets.collect(), now);
    }
}

fn step(executor: &Executor, writers: &mut [Writer], clock: &FakeClock) {
    for writer in writers {
        executor.run(writer, MAX_ACTIONS);
    }
    clock.advance(STEP);
}
