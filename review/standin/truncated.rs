//! A worker crashes while it sends answers that end with their connection.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::config;
use crate::client::events;
use crate::client::Ask;
use crate::fleet::Fleet;
use crate::fleet::Worker;
use crate::http::Answer;
use crate::worker::PLAIN_BYTES;
use crate::Verdict;

const WORKERS: u8 = 4;
const EVENTS: u64 = 30;
const STREAMS: u64 = 48;
const ORDERS: u64 = 24;
/// Time from the first request to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(700);

pub fn play(fleet: &Fleet, has_trouble: bool) -> Verdict {
    fleet.store.put("op/config", &config());
    let mut workers: Vec<Worker> = Vec::new();
    for number in 0..WORKERS {
        let words = format!("events={EVENTS} gap=50 unframed=2");
        let id = format!("i-rota{number}");
        workers.push(fleet.start_worker(number, &id, "rota-llm", &words)?);
        let id = format!("i-dispatch{number}");
        let words = "work=400 unframed=2";
        workers.push(fleet.start_worker(50 + number, &id, "dispatch-app", words)?);
    }
    let gateways = fleet.start_gateways(2, false)?;
    let mut clients: Vec<JoinHandle<(Ask, Answer)>> = Vec::new();
    let mut start = |ask: Ask, number: u64| {
        let front = gateways[number as usize % gateways.len()].front();
        let record = Arc::clone(&fleet.record);
        clients.push(std::thread::spawn(move || {
            let answer = ask.send(front, &record);
            (ask, answer)
        }));
        std::thread::sleep(Duration::from_millis(8));
    };
    for number in 0..STREAMS {
        let path = if number % 2 == 0 { "/stream/2f" } else { "/streamonce/2f" };
        let mut ask = Ask::stream(&format!("stream-{number}"), path, number);
        ask.deadline_ms = 5_000;
        start(ask, number);
    }
    for number in 0..ORDERS {
        start(Ask::plain(&format!("order-{number}"), "/order/2f", "POST"), number);
    }
    std::thread::sleep(CRASH_AFTER.saturating_sub(Duration::from_millis(8 * (STREAMS + ORDERS))));
    if has_trouble {
        for worker in workers.iter().take(2) {
            fleet.record.line(&format!("worker {} crashes", worker.id));
            worker.crash();
        }
    }
    let mut truncated = 0;
    let mut whole = 0;
    for client in clients {
        let (ask, answer) = client.join().map_err(|_| "a client failed")?;
        if answer.status() != 200 || !answer.is_complete {
            continue;
        }
        let is_whole = if ask.path.starts_with("/stream") {
            let ids: Vec<u64> = events(&answer.body).iter().map(|event| event.id).collect();
            ids == (1..=EVENTS).collect::<Vec<u64>>()
        } else {
            answer.body.len() == PLAIN_BYTES
        };
        whole += u32::from(is_whole);
        truncated += u32::from(!is_whole);
        if !is_whole {
            let (id, length) = (&ask.id, answer.body.len());
            fleet.record.line(&format!("BROKEN {id}: 200, looks complete, {length} bytes only"));
        }
    }
    fleet.record.line(&format!("{whole} whole answers, {truncated} truncated ones that look complete"));
    if whole == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(truncated > 0)
}
