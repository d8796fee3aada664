//! Measures the duration of calls to the platform and their bytes on the wire.
//!
//! The stand-in service listens on the loopback address, so the durations are those of the adapter
//! and the stand-in together, without a network. A relay between the two counts the bytes.
//!
//! Run with `cargo run --release -p primrose-store --example calls`.

use std::error::Error;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_standin::hosts::HostRegistry;
use primrose_standin::kv::Kv;
use primrose_standin::kv::KvConfig;
use primrose_standin::runtime::Runtime;
use primrose_store::consul::ConsulConfig;
use primrose_store::consul::ConsulHosts;
use primrose_store::consul::ConsulStore;
use primrose_store::hosts::HostList;
use primrose_store::store::Op;
use primrose_store::store::Store;
use primrose_store::store::StoreError;
use primrose_support::clock::FakeClock;

/// Number of calls of each kind.
const CALLS: u32 = 2_000;
/// Size of a value, in bytes, similar to that of a claim.
const VALUE_BYTES: usize = 200;
/// Planned number of backend servers in one availability zone.
const ZONE_HOSTS: u16 = 150;
const ZONES: [&str; 3] = ["oudtshoorn", "george", "mosselbaai"];
const TTL: Duration = Duration::from_secs(15);

type ExampleResult = Result<(), Box<dyn Error>>;

fn main() -> ExampleResult {
    let clock = Arc::new(FakeClock::new());
    let board = HostRegistry::new(clock.clone(), Duration::ZERO);
    for zone in ZONES {
        for number in 0..ZONE_HOSTS {
            board.put(host(zone, number));
        }
    }
    let runtime = Runtime::new()?;
    let config = KvConfig {
        clock: clock.clone(),
        hosts: Some(board),
        ..KvConfig::default()
    };
    let kv = Kv::start(&runtime, config)?;
    let bytes = Arc::new(AtomicU64::new(0));
    let relay = relay(kv.addr(), bytes.clone())?;
    let store = ConsulStore::new(ConsulConfig::new(vec![relay]));
    let config = ConsulConfig::new(vec![relay]);
    let all = ConsulHosts::new(config.clone(), "engine");
    let zone = ConsulHosts::in_zone(config, "engine", ZONES[0]);

    println!(
        "{:<34} {:>9} {:>9} {:>9}",
        "call", "median", "99 in 100", "bytes"
    );
    let value = vec![b'x'; VALUE_BYTES];
    let mut next = 0_u32;
    let mut create = |count: u32| -> Vec<Op> {
        let ops = (0..count).map(|_| {
            next += 1;
            Op::create(format!("primrose/claims/{next:08}"), value.clone())
        });
        ops.collect()
    };
    for count in [1, 8, 64] {
        let name = format!("commit of {count} creations");
        measure(&name, &bytes, || store.commit(&create(count)))?;
    }
    let key = "primrose/claims/00000001";
    measure("get", &bytes, || store.get(key))?;
    measure("get of an absent key", &bytes, || store.get("absent"))?;
    let lease = store.lease(TTL)?;
    measure("renew", &bytes, || store.renew(&lease))?;
    measure("watch that returns at once", &bytes, || {
        store.watch(key, 1, TTL)
    })?;
    measure("list of the hosts of all zones", &bytes, || {
        all.hosts(0, TTL)
    })?;
    measure("list of the hosts of one zone", &bytes, || {
        zone.hosts(0, TTL)
    })?;
    Ok(())
}

fn measure<T>(
    name: &str,
    bytes: &AtomicU64,
    mut call: impl FnMut() -> Result<T, StoreError>,
) -> ExampleResult {
    let before = bytes.load(Ordering::SeqCst);
    let mut times = Vec::with_capacity(CALLS as usize);
    for _ in 0..CALLS {
        let start = Instant::now();
        call()?;
        times.push(start.elapsed());
    }
    times.sort();
    let sent = bytes.load(Ordering::SeqCst) - before;
    let percentile = |percent: usize| times[(times.len() - 1) * percent / 100].as_micros();
    println!(
        "{name:<34} {:>6} µs {:>6} µs {:>9}",
        percentile(50),
        percentile(99),
        sent / u64::from(CALLS)
    );
    Ok(())
}

fn host(zone: &str, number: u16) -> Host {
    Host {
        id: format!("{zone}-engine-{number:03}"),
        zone: zone.into(),
        service: "engine".into(),
        addr: SocketAddr::from(([10, 20, 30, 40], number)),
        state: HostState::Live,
        incarnation: 1_800_000_000_000,
    }
}

/// Forwards connections to the service and counts the bytes of both directions.
fn relay(service: SocketAddr, bytes: Arc<AtomicU64>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for inner in listener.incoming().flatten() {
            let Ok(outer) = TcpStream::connect(service) else {
                continue;
            };
            let _ = inner.set_nodelay(true);
            let _ = outer.set_nodelay(true);
            let (Ok(back), Ok(forth)) = (inner.try_clone(), outer.try_clone()) else {
                continue;
            };
            let (up, down) = (bytes.clone(), bytes.clone());
            thread::spawn(move || forward(inner, outer, &up));
            thread::spawn(move || forward(forth, back, &down));
        }
    });
    Ok(addr)
}

fn forward(mut from: TcpStream, mut to: TcpStream, bytes: &AtomicU64) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(read) = from.read(&mut buffer) {
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            break;
        }
        bytes.fetch_add(read as u64, Ordering::SeqCst);
    }
    let _ = to.shutdown(Shutdown::Both);
}
