//! The log: one line per event, a bounded rate, and no delay for the thread that serves requests.

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

/// An output whose bytes a test can read; writes block while the test holds `gate`.
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
    /// Returns the numbers of written events and of events counted as dropped.
    fn counts(&self) -> (u64, u64) {
        let lines = self.lines();
        let dropped = lines.iter().filter_map(|line| line["count"].as_u64());
        let written = lines.iter().filter(|line| line["count"].is_null());
        (written.count() as u64, dropped.sum())
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
fn a_line_holds_the_host_the_event_and_its_fields() {
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
fn lines_beyond_the_rate_limit_are_dropped_and_counted() {
    let out = Out::default();
    let clock = Arc::new(FakeClock::default());
    let log = log(&out, &clock);
    for request in 0..5_000 {
        log.event(&event(request));
    }
    clock.advance(Duration::from_secs(1));
    log.event(&event(5_000));
    log.close();
    let (written, dropped) = out.counts();
    assert!(written <= 1_200 + 400, "{written} lines in a second");
    assert_eq!(written + dropped, 5_001);
}

#[test]
fn a_stalled_reader_neither_delays_events_nor_loses_the_count() {
    let out = Out::default();
    let clock = Arc::new(FakeClock::default());
    let log = log(&out, &clock);
    let closed_gate = out.gate.lock().expect("gate");
    let (sender, receiver) = mpsc::channel();
    let began = Instant::now();
    let events = 20_000;
    for request in 0..events {
        // Slow enough for the rate limit, so that only the queue limits the lines.
        clock.advance(Duration::from_millis(10));
        log.event(&event(request));
    }
    sender.send(began.elapsed()).expect("sent");
    // A blocking write would have kept the loop from ending.
    assert!(receiver.recv().expect("received") < Duration::from_secs(20));
    drop(closed_gate);
    let is_drained = |out: &Out| out.lines().len() > 2_000;
    let end = Instant::now() + Duration::from_secs(10);
    while !is_drained(&out) && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    clock.advance(Duration::from_secs(1));
    log.event(&event(events));
    log.close();
    let (written, dropped) = out.counts();
    assert_eq!(written + dropped, events + 1);
}

/// Returns the events of an ordinary request: sent, then answered.
fn ordinary_events(request: u64) -> [Event; 2] {
    let id = format!("{request:016x}");
    let server = "i-0135a4d924".to_owned();
    let sent = Event::Sent {
        request: id.clone(),
        account: Some("account-17".to_owned()),
        route: "r-9t5iywb".to_owned(),
        server: server.clone(),
        resumes: None,
        tried: 0,
        predicted_ms: 121,
        waiting_tokens: 13_300,
        generation: 117,
        list_version: 1_000_022,
        fleet: 380,
        share: None,
        limits: None,
        view_age_ms: 0,
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
fn at_ten_times_the_planned_load_the_log_stays_within_its_limits() {
    // Ten times 6,300 requests per second over 380 hosts; 400 lines per second of at most 400
    // bytes.
    const REQUESTS: u64 = 166;
    const SECONDS: u64 = 20;
    const MAX_BYTES_PER_SECOND: u64 = 400 * 400;
    const BURST_BYTES: u64 = 1_200 * 400;
    let out = Out::default();
    let clock = Arc::new(FakeClock::default());
    let log = log(&out, &clock);
    let mut logged = 0;
    for request in 0..REQUESTS * SECONDS {
        for event in ordinary_events(request) {
            log.event(&event);
            logged += 1;
        }
        // A third line for each request, as for a retry.
        log.event(&ordinary_events(request)[0]);
        logged += 1;
        clock.advance(Duration::from_secs(1) / REQUESTS as u32);
        std::thread::sleep(Duration::from_micros(20));
    }
    log.close();
    let bytes = out.bytes.lock().expect("bytes").len() as u64;
    assert!(
        bytes <= MAX_BYTES_PER_SECOND * SECONDS + BURST_BYTES,
        "{bytes} bytes"
    );
    let (written, dropped) = out.counts();
    assert!(
        written + dropped >= logged - 1_000,
        "{written} and {dropped} of {logged}"
    );
}
