//! Many users come at once, with request bodies as long as the limits allow.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client::config;
use crate::client::Ask;
use crate::fleet::Fleet;
use crate::fleet::Gateway;
use crate::Verdict;

const GATEWAYS: u8 = 2;
const WORKERS: u8 = 6;
/// `limits.maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// `limits.memoryMb` of the settings.
const MEMORY_KB: u64 = 260 * 1_024;
/// Streams in progress at each gateway at usual times.
const USUAL: u32 = 38;
/// Growth of the traffic in a burst.
const BURST: f64 = 1.7;
/// Length of a burst, and of the time between two of them.
const BURST_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_secs(10);
const BURSTS: u32 = 3;
/// Time after which the platform starts a process again.
const RESTART_TIME: Duration = Duration::from_secs(1);

struct Watch {
    stop: AtomicBool,
    /// Kills for want of memory, for each gateway.
    kills: Vec<AtomicU32>,
    most_kb: AtomicU32,
}

pub fn play(fleet: &Fleet, has_trouble: bool) -> Verdict {
    fleet.store.put("op/config", &config());
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let id = format!("i-rota{number}");
        workers.push(fleet.start_worker(number, &id, "rota-llm", "events=50 gap=100")?);
    }
    let mut gateways = fleet.start_gateways(GATEWAYS, false)?;
    let fronts: Vec<_> = gateways.iter().map(Gateway::front).collect();
    let watch = Arc::new(Watch {
        stop: AtomicBool::new(false),
        kills: gateways.iter().map(|_| AtomicU32::new(0)).collect(),
        most_kb: AtomicU32::new(0),
    });
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let ends = Arc::new(Mutex::new((0_u32, 0_u32)));
    let surplus_until = Arc::new(Mutex::new(Instant::now()));
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    let most = (f64::from(USUAL) * BURST) as u32;
    for (gateway, front) in fronts.into_iter().enumerate() {
        for number in 0..most {
            let (record, watch, body) = (Arc::clone(&fleet.record), Arc::clone(&watch), Arc::clone(&body));
            let (ends, surplus_until) = (Arc::clone(&ends), Arc::clone(&surplus_until));
            clients.push(std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(130 * u64::from(number % USUAL)));
                for turn in 0.. {
                    let is_surplus = number >= USUAL;
                    while is_surplus && Instant::now() >= *surplus_until.lock().unwrap() {
                        if watch.stop.load(Ordering::SeqCst) {
                            return;
                        }
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    if watch.stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let subject = u64::from(number) * 1_000 + turn;
                    let id = format!("stream-{gateway}-{number}-{turn}");
                    let mut ask = Ask::stream(&id, "/stream/2f", subject);
                    ask.body = body.as_ref().clone();
                    let answer = ask.send(front, &record);
                    let is_whole = answer.status() == 200 && answer.is_complete;
                    let mut ends = ends.lock().unwrap();
                    if is_whole {
                        ends.0 += 1;
                    } else {
                        ends.1 += 1;
                    }
                    drop(ends);
                    if !is_whole {
                        std::thread::sleep(Duration::from_millis(500));
                    }
                }
            }));
        }
    }
    std::thread::scope(|scope| {
        scope.spawn(|| watch_memory(fleet, &mut gateways, &watch));
        std::thread::sleep(CALM_TIME);
        for _ in 0..BURSTS {
            if has_trouble {
                fleet.record.line(&format!("a burst of {BURST} times the traffic begins"));
                *surplus_until.lock().unwrap() = Instant::now() + BURST_TIME;
            }
            std::thread::sleep(BURST_TIME + CALM_TIME);
        }
        watch.stop.store(true, Ordering::SeqCst);
    });
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let kills: Vec<u32> = watch.kills.iter().map(|count| count.load(Ordering::SeqCst)).collect();
    let (whole, failed) = *ends.lock().unwrap();
    let most_mb = watch.most_kb.load(Ordering::SeqCst) / 1_024;
    fleet.record.line(&format!(
        "kills by gateway {kills:?}, most memory {most_mb} MB; {whole} streams whole, {failed} not"
    ));
    if whole == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(kills.iter().all(|count| *count >= 3))
}

/// Kills processes over their limit and starts them again, as the platform does.
fn watch_memory(fleet: &Fleet, gateways: &mut [Gateway], watch: &Watch) {
    while !watch.stop.load(Ordering::SeqCst) {
        for (gateway, kills) in gateways.iter_mut().zip(&watch.kills) {
            let resident = resident_kb(gateway.process.pid());
            watch.most_kb.fetch_max(resident as u32, Ordering::SeqCst);
            if resident <= MEMORY_KB {
                continue;
            }
            kills.fetch_add(1, Ordering::SeqCst);
            gateway.process.kill();
            let line = format!("{} has {} MB and is killed", gateway.name, resident / 1_024);
            fleet.record.line(&line);
            std::thread::sleep(RESTART_TIME);
            let _ = fleet.restart(gateway);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
    number.unwrap_or(0)
}
