//! Measures the cost of membership over real loopback links, with one view and endpoint per router.
//!
//! ```text
//! cargo run --release -p primrose-link --example beat_traffic -- ZONES ROUTERS REGIONS SECONDS
//! ```
//!
//! Starts ZONES times ROUTERS routers, waits until all know each other, and prints bytes, messages
//! and links per idle router. Then prints how long a leaving mark takes to reach all routers, and
//! the bytes that this mark and a restarted router cost. Each zone runs on one thread; no time is
//! asserted.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Barrier;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Receiver;
use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_core::id::Incarnation;
use primrose_core::id::Member;
use primrose_core::id::RegionId;
use primrose_core::id::ZoneId;
use primrose_link::Endpoint;
use primrose_link::Key;
use primrose_link::Keys;
use primrose_link::LinkConfig;
use primrose_link::LinkEvent;
use primrose_link::Stats;
use primrose_member::Action;
use primrose_member::Event;
use primrose_member::Heartbeat;
use primrose_member::Settings;
use primrose_member::View;

/// Interval at which the views are checked for convergence.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for all views to converge.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time over which the cost of an event is measured.
const EVENT_WINDOW: Duration = Duration::from_secs(5);
/// Incarnation of the first process of each host.
const FIRST_INCARNATION: u64 = 1_700_000_000_000;
/// Capacity of the event channel of a router.
const EVENT_CAPACITY: usize = 4096;
/// Bytes in a kilobyte.
const KB: f64 = 1000.0;

/// Shape of the fleet.
#[derive(Debug, Clone, Copy)]
struct Shape {
    zones: usize,
    routers: usize,
    regions: usize,
    time: Duration,
}

/// One router: its view, its links and their events.
struct Router {
    view: View,
    endpoint: Endpoint<Heartbeat>,
    events: Receiver<LinkEvent<Heartbeat>>,
}

/// Routers of a zone, driven by one thread.
type Zone = Arc<Mutex<Vec<Router>>>;

/// Rates of one router between two readings of its statistics.
#[derive(Debug, Clone, Copy, Default)]
struct LinkUsage {
    bytes_out: f64,
    bytes_in: f64,
    messages_out: f64,
    frames_out: f64,
    links: f64,
}

fn main() {
    let shape = shape();
    let start = Instant::now();
    let zones = start_routers(shape, start);
    let entries = hosts(&zones, shape);
    send_to_all(&zones, &Event::Hosts(entries.clone()), start);
    let stop = Arc::new(Barrier::new(shape.zones + 1));
    let running = Arc::new(Mutex::new(true));
    let threads: Vec<_> = zones
        .iter()
        .map(|zone| {
            let (zone, stop) = (Arc::clone(zone), Arc::clone(&stop));
            let running = Arc::clone(&running);
            thread::spawn(move || run_zone(&zone, start, &running, &stop))
        })
        .collect();
    let total = shape.zones * shape.routers;
    let convergence_time = wait(&zones, |view| known_members(view, shape) == total);
    println!(
        "routers {total}, zones {}, regions {}",
        shape.zones, shape.regions
    );
    println!("all know all after {:.2} s", convergence_time.as_secs_f64());
    // Let border links and seed links that are no longer needed close.
    thread::sleep(Duration::from_secs(10));
    report("at rest", &zones, shape.time, || ());
    report("with a leaving mark", &zones, EVENT_WINDOW, || {
        mark_leaving(&zones, &entries, start);
    });
    report("with a restart", &zones, EVENT_WINDOW, || {
        restart(&zones, &entries, shape, start);
    });
    *running.lock().expect("lock poisoned") = false;
    stop.wait();
    for thread in threads {
        thread.join().expect("a zone's thread panicked");
    }
}

/// Parses the shape from the command line.
fn shape() -> Shape {
    let numbers: Vec<usize> = std::env::args()
        .skip(1)
        .map(|arg| arg.parse().expect("arguments are numbers"))
        .collect();
    let at = |index: usize, default| numbers.get(index).copied().unwrap_or(default);
    Shape {
        zones: at(0, 3),
        routers: at(1, 3),
        regions: at(2, 1),
        time: Duration::from_secs(at(3, 20) as u64),
    }
}

/// Starts all routers.
fn start_routers(shape: Shape, start: Instant) -> Vec<Zone> {
    let zone = |n: usize| {
        let region = format!("region-{}", n % shape.regions);
        let routers = (0..shape.routers).map(|r| router(n, r, FIRST_INCARNATION, &region, start));
        Arc::new(Mutex::new(routers.collect()))
    };
    (0..shape.zones).map(zone).collect()
}

fn zone_name(number: usize) -> ZoneId {
    format!("zone-{number:02}")
}

/// Starts one router process.
fn router(
    zone: usize,
    number: usize,
    incarnation: Incarnation,
    region: &RegionId,
    start: Instant,
) -> Router {
    let me = Member {
        host: format!("router-{zone:02}-{number:02}"),
        incarnation,
    };
    let key = Key::from_bytes(&[7; 32]).expect("the key is long enough");
    let keys = Keys::new(vec![key]).expect("there is a key");
    let listen = "127.0.0.1:0".parse().expect("the address is valid");
    let config = LinkConfig::new(me.clone(), zone_name(zone), listen, keys);
    let (sender, events) = crossbeam_channel::bounded(EVENT_CAPACITY);
    let endpoint = Endpoint::start(config, sender).expect("loopback can be listened on");
    let mut settings = Settings::new(me, zone_name(zone), endpoint.local_addr());
    settings.regions = BTreeMap::from([(zone_name(zone), region.clone())]);
    Router {
        view: View::new(settings, start.elapsed()),
        endpoint,
        events,
    }
}

/// Returns the host list with all routers.
fn hosts(zones: &[Zone], shape: Shape) -> Vec<Host> {
    let mut hosts = Vec::new();
    for (number, zone) in zones.iter().enumerate().take(shape.zones) {
        for router in zone.lock().expect("lock poisoned").iter() {
            hosts.push(Host {
                id: router.view.me().host.clone(),
                zone: zone_name(number),
                service: "primrosed".to_owned(),
                addr: router.endpoint.local_addr(),
                state: HostState::Live,
                incarnation: 0,
            });
        }
    }
    hosts
}

/// Passes an event to the views of all routers.
fn send_to_all(zones: &[Zone], event: &Event, start: Instant) {
    for zone in zones {
        for router in zone.lock().expect("lock poisoned").iter_mut() {
            router.handle(event.clone(), start);
        }
    }
}

/// Runs the routers of a zone: handles their events and a tick in every period.
fn run_zone(zone: &Zone, start: Instant, running: &Mutex<bool>, stop: &Barrier) {
    let tick = primrose_member::Timing::default().tick;
    while *running.lock().expect("lock poisoned") {
        let due = Instant::now() + tick;
        for router in zone.lock().expect("lock poisoned").iter_mut() {
            let events: Vec<_> = router.events.try_iter().collect();
            events
                .into_iter()
                .for_each(|event| router.handle_link_event(event, start));
            router.handle(Event::Tick, start);
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    stop.wait();
}

impl Router {
    /// Converts a link event into an event of the view.
    fn handle_link_event(&mut self, event: LinkEvent<Heartbeat>, start: Instant) {
        let event = match event {
            LinkEvent::Up { member, zone, addr } => Event::LinkUp { member, zone, addr },
            LinkEvent::Down { member, .. } => Event::LinkDown { member },
            LinkEvent::Message { from, message } => Event::Heartbeat {
                from,
                heartbeat: message,
            },
            LinkEvent::Refused { .. } => return,
        };
        self.handle(event, start);
    }

    /// Passes an event to the view and executes its actions.
    fn handle(&mut self, event: Event, start: Instant) {
        for action in self.view.handle(event, start.elapsed()) {
            match action {
                Action::Connect { host, addr } => self.endpoint.connect(&host, addr),
                Action::ConnectSeed { addr } => self.endpoint.connect_seed(addr),
                Action::Disconnect { host } => self.endpoint.disconnect(&host),
                Action::DisconnectSeed { addr } => self.endpoint.disconnect_seed(addr),
                Action::SendHeartbeat { to, heartbeat } => {
                    // A later heartbeat makes up for one that cannot be sent.
                    let _ = self.endpoint.send(&to, &heartbeat);
                }
                Action::MemberUp { .. }
                | Action::MemberDown { .. }
                | Action::ServerLeaving { .. }
                | Action::PauseDetected { .. } => {}
            }
        }
    }
}

/// Returns the number of routers that a view knows in all reachable zones.
fn known_members(view: &View, shape: Shape) -> usize {
    let zones = (0..shape.zones).map(zone_name);
    zones.map(|zone| view.members_in(&zone).len()).sum()
}

/// Waits until a condition holds for every view and returns the time it took.
fn wait<F: Fn(&View) -> bool>(zones: &[Zone], condition: F) -> Duration {
    let since = Instant::now();
    while since.elapsed() < CONVERGENCE_TIMEOUT {
        let in_zone = |zone: &Zone| {
            let routers = zone.lock().expect("lock poisoned");
            routers.iter().all(|router| condition(&router.view))
        };
        if zones.iter().all(in_zone) {
            return since.elapsed();
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("not settled within {CONVERGENCE_TIMEOUT:?}");
}

/// Marks a server as leaving at one router and waits until all routers know.
fn mark_leaving(zones: &[Zone], entries: &[Host], start: Instant) {
    let mut list = entries.to_vec();
    let mut leaving = list[0].clone();
    leaving.id = "server-0001".to_owned();
    leaving.service = "engine".to_owned();
    leaving.state = HostState::Leaving;
    leaving.incarnation = 1;
    list.push(leaving);
    let last = zones.last().expect("there is a zone");
    let mut routers = last.lock().expect("lock poisoned");
    routers[0].handle(Event::Hosts(list), start);
    drop(routers);
    let time = wait(zones, |view| view.is_leaving("server-0001", 1));
    println!(
        "a leaving mark of one router is known to all after {} ms",
        time.as_millis()
    );
}

/// Replaces a router by a new process on the same host and waits until all views converge.
fn restart(zones: &[Zone], entries: &[Host], shape: Shape, start: Instant) {
    let region = "region-0".to_owned();
    let mut restarted = router(0, 0, FIRST_INCARNATION + 1, &region, start);
    let member = restarted.view.me().clone();
    let mut list = entries.to_vec();
    list[0].addr = restarted.endpoint.local_addr();
    restarted.handle(Event::Hosts(list), start);
    let mut routers = zones[0].lock().expect("lock poisoned");
    let old = std::mem::replace(&mut routers[0], restarted);
    drop(routers);
    old.endpoint.stop();
    let total = shape.zones * shape.routers;
    let rejoined = |view: &View| {
        let zone_members = view.members_in(&zone_name(0));
        zone_members.contains(&&member) && known_members(view, shape) == total
    };
    let time = wait(zones, rejoined);
    println!(
        "a restarted router knows all and is known to all after {} ms",
        time.as_millis()
    );
}

/// Prints the usage of the links over a period that starts with `trigger`.
///
/// CPU time and memory are those of the whole process divided by the number of routers.
fn report<F: FnOnce()>(name: &str, zones: &[Zone], time: Duration, trigger: F) {
    let before = read_stats(zones);
    let cpu = cpu_seconds();
    let since = Instant::now();
    trigger();
    thread::sleep(time.saturating_sub(since.elapsed()));
    let after = read_stats(zones);
    let seconds = since.elapsed().as_secs_f64();
    let cpu = (cpu_seconds() - cpu) / seconds;
    let usages: Vec<LinkUsage> = before
        .iter()
        .zip(&after)
        .map(|(old, new)| usage(old, new, seconds))
        .collect();
    let row = |what: &str, unit: &str, get: fn(&LinkUsage) -> f64| {
        let mean = usages.iter().map(get).sum::<f64>() / usages.len() as f64;
        let max = usages.iter().map(get).fold(0.0, f64::max);
        println!("  {what:<10}{mean:.3} / {max:.3} {unit}");
    };
    println!("{name}, over {seconds:.0} s, a router (mean / most):");
    row("sent", "KB/s", |u| u.bytes_out / KB);
    row("received", "KB/s", |u| u.bytes_in / KB);
    row("messages", "a second sent", |u| u.messages_out);
    row("frames", "a second sent", |u| u.frames_out);
    row("links", "", |u| u.links);
    let routers = usages.len() as f64;
    println!("  processor {:.3} % of a core", 100.0 * cpu / routers);
    println!("  memory    {:.0} KB", resident_kb() / routers);
}

/// Reads the link statistics of all routers.
fn read_stats(zones: &[Zone]) -> Vec<Stats> {
    let mut stats = Vec::new();
    for zone in zones {
        let routers = zone.lock().expect("lock poisoned");
        stats.extend(routers.iter().map(|router| router.endpoint.stats()));
    }
    stats
}

/// Returns the usage of a router between two readings.
fn usage(old: &Stats, new: &Stats, seconds: f64) -> LinkUsage {
    // The counters of a restarted router start again at zero.
    let rate = |old: u64, new: u64| new.saturating_sub(old) as f64 / seconds;
    LinkUsage {
        bytes_out: rate(old.total.bytes_out, new.total.bytes_out),
        bytes_in: rate(old.total.bytes_in, new.total.bytes_in),
        messages_out: rate(old.total.messages_out, new.total.messages_out),
        frames_out: rate(old.total.frames_out, new.total.frames_out),
        links: new.links.len() as f64,
    }
}

/// Returns the resident memory of this process, in KB.
fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// Returns the CPU time of this process, in seconds.
fn cpu_seconds() -> f64 {
    // Fields 14 and 15 are in ticks of a hundredth of a second. The process name before them may
    // contain spaces, but ends with a parenthesis.
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let ticks = rest.split_whitespace().skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / 100.0
}
