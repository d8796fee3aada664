//! Token streams: complete, sent event by event, and resumed after a lost connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;

use primrose_front::Limits;
use primrose_request::AttemptResult;
use primrose_standin::engine::Engine;
use primrose_standin::engine::EngineConfig;
use primrose_standin::engine::Pace;
use primrose_standin::runtime::Runtime;

use crate::fixture;
use crate::fixture::Seen;

fn manual_engine() -> EngineConfig {
    EngineConfig {
        model: "draft".to_owned(),
        pace: Pace::Manual,
        ..EngineConfig::default()
    }
}

fn timed_engine() -> EngineConfig {
    EngineConfig {
        model: "draft".to_owned(),
        ..EngineConfig::default()
    }
}

/// Returns the ids of the events in a stream, in order.
fn event_ids(body: &str) -> Vec<u64> {
    let lines = body.lines();
    lines
        .filter_map(|line| line.strip_prefix("id: "))
        .map(|id| id.parse().unwrap())
        .collect()
}

#[test]
fn each_event_is_sent_before_the_next_is_generated() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, manual_engine()).unwrap();
    let fixture = fixture::start(Limits::default());
    fixture.broker.grant(engine.addr());
    let stream = fixture::open(fixture.front.addr(), &fixture::chat(true, 5));
    let mut lines = BufReader::new(stream).lines();
    for number in 1..=5 {
        // The engine generates no further token until this one has been read here.
        while engine.runs().iter().all(|run| run.produced < number) {
            engine.step();
        }
        let wanted = format!("id: {number}");
        let read = lines
            .by_ref()
            .map(Result::unwrap)
            .find(|line| *line == wanted);
        assert_eq!(read, Some(wanted));
    }
    let ends = lines.map(Result::unwrap).any(|line| line == "data: [DONE]");
    assert!(ends);
}

#[test]
fn a_complete_stream_ends_with_the_done_event() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, timed_engine()).unwrap();
    let fixture = fixture::start(Limits::default());
    fixture.broker.grant(engine.addr());
    let reply = fixture::send(fixture.front.addr(), &fixture::chat(true, 20));
    assert_eq!(reply.status, 200);
    assert!(
        reply.whole && reply.body.ends_with("data: [DONE]\n\n"),
        "{reply:?}"
    );
    assert!(reply.header("x-request-id").is_some());
    fixture
        .broker
        .wait(|seen| *seen == Seen::Report(AttemptResult::Done));
}

#[test]
fn a_broken_stream_resumes_without_gap_or_repeat() {
    let runtime = Runtime::new().unwrap();
    for cut in [0, 1, 7, 19] {
        let engine = Engine::start(&runtime, timed_engine()).unwrap();
        let fixture = fixture::start(Limits::default());
        fixture.broker.grant(engine.addr());
        engine.cut_next(cut);
        let reply = fixture::send(fixture.front.addr(), &fixture::chat(true, 20));
        let numbers = event_ids(&reply.body);
        let wanted: Vec<u64> = (1..=numbers.len() as u64).collect();
        assert_eq!(numbers, wanted, "cut after {cut}");
        assert!(numbers.len() >= 20, "cut after {cut}: {reply:?}");
        assert!(reply.body.ends_with("data: [DONE]\n\n"), "cut after {cut}");
    }
}

#[test]
fn a_stream_whose_server_dies_ends_with_an_error_event() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, manual_engine()).unwrap();
    let fixture = fixture::start(Limits::default());
    // On a busy host the crash may happen before the router has read an event. The request is then
    // retried, and every further grant is for the crashed server.
    for _ in 0..3 {
        fixture.broker.grant(engine.addr());
    }
    let addr = fixture.front.addr();
    let caller = std::thread::spawn(move || fixture::send(addr, &fixture::chat(true, 5)));
    fixture
        .broker
        .wait(|seen| matches!(seen, Seen::Enqueue { .. }));
    while engine.runs().iter().all(|run| run.produced < 2) {
        engine.step();
    }
    // The answer is partial only if the router read an event before the crash.
    engine.crash();
    let reply = caller.join().unwrap();
    if event_ids(&reply.body).is_empty() {
        assert_eq!(reply.status, 502);
        return;
    }
    assert!(reply.body.contains("event: error"), "{reply:?}");
    assert!(reply.body.contains("\"outcome\":\"unknown\""), "{reply:?}");
    assert!(!reply.body.contains("[DONE]"));
}

#[test]
fn a_complete_answer_carries_its_outcome() {
    let runtime = Runtime::new().unwrap();
    let engine = Engine::start(&runtime, timed_engine()).unwrap();
    let fixture = fixture::start(Limits::default());
    fixture.broker.grant(engine.addr());
    let reply = fixture::send(fixture.front.addr(), &fixture::chat(false, 8));
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("x-outcome"), Some("done"));
    assert!(reply.header("content-length").is_some());
    let json: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
    assert_eq!(json["usage"]["completion_tokens"], 8);
}

/// Guards against a process that keeps the bytes of an event without end until it has no memory left.
#[test]
fn an_event_without_end_ends_the_stream() {
    // Far more than an event may have, and than the sockets hold.
    const MAX_TAKEN: usize = 16 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 4_096]).unwrap() > 0);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ";
        stream.write_all(head.as_bytes()).unwrap();
        let mut taken = 0;
        while taken < MAX_TAKEN && stream.write_all(&[b'x'; 4_096]).is_ok() {
            taken += 4_096;
        }
        taken
    });
    let fixture = fixture::start(Limits::default());
    fixture.broker.grant(addr);
    let _caller = fixture::open(fixture.front.addr(), &fixture::chat(true, 3));
    let taken = server.join().unwrap();
    assert!(taken < MAX_TAKEN, "{taken} bytes of one event");
}
