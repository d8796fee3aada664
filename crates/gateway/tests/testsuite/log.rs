//! The log: a line an event, bounded, and never in the way of a request.

use std::io::Write;
use std::sync::mpsc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use primrose_core::clock::Clock;
use primrose_gateway::event::Event;
use primrose_gateway::log::Log;
use primrose_support::clock::FakeClock;

/// Bytes that a test reads, with a gate that can be shut.
#[derive(Clone, Default)]
struct Out {
    bytes: Arc<Mutex<Vec<u8>>>,
    gate: Arc<Mutex<()>>,
}

impl Write for Out {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _open = self.gate.lock().expect("gate");
        self.bytes.lock().expect("bytes").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Out {
    /// Events that were written, and those that were counted as dropped.
    fn counts(&self) -> (u64, u64) {
        let lines = self.lines();
        let dropped = lines.iter().filter_map(|line| line["count"].as_u64());
        let kept = lines.iter().filter(|line| line["count"].is_null());
        (kept.count() as u64, dropped.sum())
    }

    fn lines(&self) -> Vec<serde_json::Value> {
        let bytes = self.bytes.lock().expect("bytes").clone();
        let text = String::from_utf8(bytes).expect("text");
        let lines = text.lines();
        lines
            .map(|line| serde_json::from_str(line).expect("JSON"))
            .collect()
    }
}

fn event(request: u64) -> Event {
    Event::NotResumed {
        request: request.to_string(),
        reason: "overload".to_owned(),
        predicted_ms: 7,
        allowed_ms: 5,
    }
}

fn log(out: &Out, clock: &Arc<FakeClock>) -> Log {
    let clock: Arc<dyn Clock> = Arc::clone(clock) as Arc<dyn Clock>;
    Log::start("front-a-1".to_owned(), clock, out.clone()).expect("started")
}

#[test]
fn a_line_names_host_event_and_inputs() {
    let out = Out::default();
    let log = log(&out, &Arc::new(FakeClock::default()));
    log.event(&event(7));
    log.close();
    let lines = out.lines();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["host"], "front-a-1");
    assert_eq!(lines[0]["event"], "not_resumed");
    assert_eq!(lines[0]["request"], "7");
    assert_eq!(lines[0]["predicted_ms"], 7);
    assert!(lines[0]["unix_ms"].is_u64());
}

#[test]
fn lines_beyond_the_rate_are_counted() {
    let out = Out::default();
    let clock = Arc::new(FakeClock::default());
    let log = log(&out, &clock);
    for request in 0..5_000 {
        log.event(&event(request));
    }
    clock.advance(Duration::from_secs(1));
    log.event(&event(5_000));
    log.close();
    let (kept, dropped) = out.counts();
    assert!(kept <= 1_200 + 400, "{kept} lines in a second");
    assert_eq!(kept + dropped, 5_001);
}

#[test]
fn a_reader_that_stalls_delays_nothing_and_loses_no_count() {
    let out = Out::default();
    let clock = Arc::new(FakeClock::default());
    let log = log(&out, &clock);
    let shut = out.gate.lock().expect("gate");
    let (told, done) = mpsc::channel();
    let began = Instant::now();
    let events = 20_000;
    for request in 0..events {
        // Slow enough for the rate, so that only the ring is in the way.
        clock.advance(Duration::from_millis(10));
        log.event(&event(request));
    }
    told.send(began.elapsed()).expect("told");
    // A blocked write would never have let the loop end.
    assert!(done.recv().expect("done") < Duration::from_secs(20));
    drop(shut);
    let drained = |out: &Out| out.lines().len() > 2_000;
    let end = Instant::now() + Duration::from_secs(10);
    while !drained(&out) && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    clock.advance(Duration::from_secs(1));
    log.event(&event(events));
    log.close();
    let (kept, dropped) = out.counts();
    assert_eq!(kept + dropped, events + 1);
}

/// Lines of one request as it is usual: sent, and answered.
fn usual(request: u64) -> [Event; 2] {
    let id = format!("{request:016x}");
    let server = "i-0135a4d924".to_owned();
    let sent = Event::Sent {
        request: id.clone(),
        account: Some("account-17".to_owned()),
        route: "r-9t5iywb".to_owned(),
        server: server.clone(),
        tried: 0,
        predicted_ms: 121,
        waiting_tokens: 13_300,
        generation: 117,
        list_version: 1_000_022,
        fleet: 380,
    };
    let answered = Event::Answered {
        request: id,
        server: Some(server),
        status: 200,
        outcome: "whole",
        runs: 1,
        first_ms: 99,
        whole_ms: 1_888,
    };
    [sent, answered]
}

#[test]
fn at_ten_times_the_planned_load_the_log_stays_within_its_bound() {
    // 6,300 requests a second over 380 hosts, ten times; 400 lines a second of at most 400 bytes.
    const REQUESTS: u64 = 166;
    const SECONDS: u64 = 20;
    const MOST_BYTES: u64 = 400 * 400;
    const BURST_BYTES: u64 = 1_200 * 400;
    let out = Out::default();
    let clock = Arc::new(FakeClock::default());
    let log = log(&out, &clock);
    let mut told = 0;
    for request in 0..REQUESTS * SECONDS {
        for event in usual(request) {
            log.event(&event);
            told += 1;
        }
        // A third line for each request: it is sent again.
        log.event(&usual(request)[0]);
        told += 1;
        clock.advance(Duration::from_secs(1) / REQUESTS as u32);
        std::thread::sleep(Duration::from_micros(20));
    }
    log.close();
    let bytes = out.bytes.lock().expect("bytes").len() as u64;
    assert!(bytes <= MOST_BYTES * SECONDS + BURST_BYTES, "{bytes} bytes");
    let (kept, dropped) = out.counts();
    assert!(
        kept + dropped >= told - 1_000,
        "{kept} and {dropped} of {told}"
    );
}
