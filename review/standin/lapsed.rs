//! The store is down and leases run out; then a worker and a machine are replaced as planned.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client::config;
use crate::client::events;
use crate::client::Ask;
use crate::client::StreamEvent;
use crate::fleet::Fleet;
use crate::fleet::Worker;
use crate::Verdict;

/// Workers of the old version that are left, and those of the newer one that join.
const OLD_WORKERS: u8 = 1;
const NEW_WORKERS: u8 = 3;
const EVENTS: u64 = 60;
const STREAMS: u64 = 24;
/// Streams with events of two versions that the rule tolerates.
const TOLERATED: u32 = 2;
/// Time from the start of the gateways to the outage of the store, and its length.
const OUTAGE_AT: Duration = Duration::from_millis(8_600);
const OUTAGE_TIME: Duration = Duration::from_millis(1_200);
/// Time for which a worker serves after its entry was removed: `drainMs` and 1.5 s.
const LEAVE_TIME: Duration = Duration::from_millis(3_500);
/// Time after which the platform starts a process again.
const RESTART_TIME: Duration = Duration::from_millis(200);

pub fn play(fleet: &Fleet, has_trouble: bool) -> Verdict {
    fleet.store.put("op/config", &config());
    let words = |version: &str| format!("version={version} events={EVENTS} gap=100");
    let start = |first: u8, count: u8, name: &str, version: &str| -> Result<Vec<Worker>, String> {
        let started = (0..count).map(|number| {
            let id = format!("i-{name}{number}");
            fleet.start_worker(first + number, &id, "rota-llm", &words(version))
        });
        started.collect()
    };
    let old = start(0, OLD_WORKERS, "old", "v1")?;
    let mut gateways = fleet.start_gateways(2, false)?;
    let began = Instant::now();
    let wait_until = |at: Duration| std::thread::sleep(at.saturating_sub(began.elapsed()));

    wait_until(OUTAGE_AT);
    if has_trouble {
        fleet.record.line("the store is down, and leases run out");
        gateways.iter().for_each(|gateway| gateway.cut.store(true, Ordering::SeqCst));
    }
    wait_until(OUTAGE_AT + OUTAGE_TIME);
    if has_trouble {
        fleet.store.end_leases();
        gateways.iter().for_each(|gateway| gateway.cut.store(false, Ordering::SeqCst));
        fleet.record.line("the store is back");
    }

    // Planned work from here on: a machine is stopped and started, workers are replaced.
    let (first, second) = (gateways[0].front(), gateways[1].front());
    fleet.record.line(&format!("{} is asked to stop", gateways[0].name));
    gateways[0].process.terminate();
    let mut clients: Vec<JoinHandle<Option<Vec<StreamEvent>>>> = Vec::new();
    for number in 0..STREAMS {
        let record = Arc::clone(&fleet.record);
        let ask = Ask::stream(&format!("stream-{number}"), "/stream/2f", number);
        clients.push(std::thread::spawn(move || {
            let answer = ask.send(second, &record);
            let mut seen = events(&answer.body);
            if answer.is_complete || answer.status() != 200 || seen.is_empty() {
                return answer.is_complete.then_some(seen);
            }
            let last = seen.last().map_or(0, |event| event.id);
            let again = ask.resume(last).send(first, &record);
            if again.status() == 200 {
                seen.extend(events(&again.body));
            }
            Some(seen)
        }));
    }
    std::thread::sleep(Duration::from_millis(300));
    let _new = start(20, NEW_WORKERS, "new", "v1.1")?;
    std::thread::sleep(Duration::from_millis(400));
    // The old worker does not report that it drains; its entry is removed, and it serves on.
    let left = Instant::now();
    for worker in &old {
        worker.leave();
        fleet.store.remove(&format!("servers/{}", worker.id));
        fleet.record.line(&format!("the entry of worker {} is removed; it serves on", worker.id));
    }
    while !gateways[0].process.has_ended() {
        std::thread::sleep(Duration::from_millis(10));
    }
    fleet.record.line(&format!("{} has stopped", gateways[0].name));
    std::thread::sleep(RESTART_TIME);
    fleet.restart(&mut gateways[0]).map_err(|error| error.to_string())?;
    std::thread::sleep(LEAVE_TIME.saturating_sub(left.elapsed()));
    for worker in &old {
        fleet.record.line(&format!("worker {} ends", worker.id));
        worker.crash();
    }
    let mut mixed = 0;
    let mut served = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let Some(seen) = client.join().map_err(|_| "a client failed")? else {
            continue;
        };
        served += 1;
        let versions: BTreeSet<&str> = seen.iter().map(|event| event.version.as_str()).collect();
        if versions.len() > 1 {
            mixed += 1;
            fleet.record.line(&format!("BROKEN stream-{number}: events of versions {versions:?}"));
        }
    }
    fleet.record.line(&format!("{served} streams with events, {mixed} of two versions"));
    if served == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(mixed > TOLERATED)
}
