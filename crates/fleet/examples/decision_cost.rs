//! Measures the processor time of a decision, and of the work of a gateway between two digests: of
//! pools whose servers do not report how long work takes, and of pools whose servers do.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_fleet::catalog::Engine;
use primrose_fleet::catalog::Limits;
use primrose_fleet::catalog::Pool;
use primrose_fleet::catalog::RequestKind;
use primrose_fleet::catalog::Route;
use primrose_fleet::catalog::Tables;
use primrose_fleet::catalog::Target;
use primrose_fleet::entry::ServerEntry;
use primrose_fleet::place::Prompt;
use primrose_fleet::AttemptOutcome;
use primrose_fleet::Decision;
use primrose_fleet::Fleet;
use primrose_fleet::FleetConfig;
use primrose_fleet::PlacementRequest;

const POOL: &str = "models";
/// Numbers of servers: those of the smallest deployment that requires this, and of the design size.
const SERVERS: [u32; 2] = [60, 4_700];
/// Decisions that are measured for each server, as a product with the number of servers.
const SERVER_DECISIONS: u32 = 3_000_000;
/// Requests of the gateway that run at a time.
const RUNNING: usize = 40;

fn main() -> std::io::Result<()> {
    let cases = SERVERS.map(|servers| [(servers, None), (servers, Some(143.0))]);
    for (servers, percent) in cases.into_iter().flatten() {
        let rounds = SERVER_DECISIONS / servers;
        let mut fleet = gateway(1, servers);
        let mut other = gateway(2, servers);
        play(&mut other, 400, 0, percent)?;
        fleet.merge(other.digest(millis(4_000)), ip(2), millis(4_000));
        play(&mut fleet, 400, 4_000, percent)?;
        let elapsed = play(&mut fleet, rounds, 8_000, percent)?;
        let per_decision = elapsed.as_secs_f64() * 1e6 / f64::from(rounds);
        let between = housekeeping(&mut fleet, rounds)?;
        println!(
            "{servers} servers, report {percent:?}: {per_decision:.2} us a decision, {between:.1} us a \
             digest"
        );
    }
    Ok(())
}

/// Decides on requests, a millisecond apart, and ends the oldest ones; returns the processor time.
fn play(
    fleet: &mut Fleet,
    rounds: u32,
    start: u64,
    percent: Option<f64>,
) -> std::io::Result<Duration> {
    let route = Arc::new(route());
    let mut running = VecDeque::new();
    let before = processor_time()?;
    for round in 0..u64::from(rounds) {
        let now = millis(start + round);
        let request = request(&route, round, now);
        if let Decision::Send(mut placement) = fleet.decide(&request, now) {
            fleet.record_work_time(&placement, percent, now + millis(150));
            fleet.record_events(&request, &mut placement, now + millis(150));
            running.push_back((request, placement));
        }
        if running.len() > RUNNING {
            if let Some((request, placement)) = running.pop_front() {
                fleet.finish_attempt(&request, &placement, AttemptOutcome::Good, now);
            }
        }
    }
    Ok(processor_time()? - before)
}

/// Returns the processor time of dropping old state and making a digest, in microseconds.
fn housekeeping(fleet: &mut Fleet, rounds: u32) -> std::io::Result<f64> {
    let before = processor_time()?;
    for round in 0..u64::from(rounds) {
        // Servers keep what they have of the last seconds.
        let now = millis(12_000) + Duration::from_micros(round);
        fleet.expire(now);
        fleet.digest(now);
    }
    let elapsed = processor_time()? - before;
    Ok(elapsed.as_secs_f64() * 1e6 / f64::from(rounds))
}

/// Returns the time that this process has run on a processor.
fn processor_time() -> std::io::Result<Duration> {
    let text = std::fs::read_to_string("/proc/self/schedstat")?;
    let nanos = text.split(' ').next().and_then(|text| text.parse().ok());
    nanos
        .map(Duration::from_nanos)
        .ok_or_else(|| std::io::Error::other("/proc/self/schedstat begins with no number"))
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn ip(host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, host))
}

fn request(route: &Arc<Route>, number: u64, now: Duration) -> PlacementRequest {
    PlacementRequest {
        route: Arc::clone(route),
        pool: POOL.to_owned(),
        account: Some(format!("account-{}", number % 16)),
        fingerprint: number,
        prompt: Some(Prompt {
            shared: number % 200,
            shared_tokens: 1_300,
            own_tokens: 300,
            output_tokens: 30,
        }),
        parts: Arc::default(),
        arrived: now,
        deadline: now + millis(8_000),
        tried: Vec::new(),
        build: None,
        length_hint: None,
    }
}

fn route() -> Route {
    Route {
        name: "route".to_owned(),
        host: "example".to_owned(),
        prefix: "/x/".to_owned(),
        kind: RequestKind::Stream { resumable: true },
        time_limit: millis(8_000),
        objective: millis(600),
        tries: 2,
        public: false,
        prompts: true,
        targets: vec![Target {
            pool: POOL.to_owned(),
            weight: 1,
        }],
    }
}

fn gateway(host: u8, servers: u32) -> Fleet {
    let mut fleet = Fleet::new(FleetConfig {
        incarnation: u64::from(host),
        zone: "a".to_owned(),
        ip: ip(host),
        capacity: 120,
        retry_permille: 200,
        retry_slack: 56,
        cold_bound: None,
        place_by_cost: true,
    });
    let engine = Engine {
        slots: 64,
        memory: 574_128,
    };
    let pool = Pool {
        connections: 710,
        engine: Some(engine),
        slow_start: None,
    };
    fleet.adopt_tables(Tables {
        generation: 1,
        routes: vec![route()],
        pools: BTreeMap::from([(POOL.to_owned(), pool)]),
        keys: None,
        limits: Limits {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_time: millis(3_000),
            idle_time: millis(15_000),
            token_rate: None,
        },
    });
    for number in 1..=servers {
        let addr = Ipv4Addr::from(0x0b00_0000 + number);
        let entry = ServerEntry {
            id: format!("s{number}"),
            pool: POOL.to_owned(),
            addr: SocketAddr::new(IpAddr::V4(addr), 8_000),
            zone: "a".to_owned(),
            slots: 64,
            leaving: false,
            version: "v1".to_owned(),
            born_ms: 1_000 + u64::from(number),
            seq: 0,
            cold_ms: 0,
        };
        fleet.upsert_server(entry, millis(1));
    }
    fleet
}
