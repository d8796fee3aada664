//! Streams that break off, and what the server answers that is asked to go on.
//!
//! Guards against answers in which a caller finds an error in the middle of its stream, events twice or
//! not at all, or a stream that ends as complete too early: within one response, and when the caller
//! takes the stream up itself.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use primrose_soak::wire::Message;

use crate::gateway_fixture::begin_stream;
use crate::gateway_fixture::call_stream;
use crate::gateway_fixture::chunk;
use crate::gateway_fixture::config;
use crate::gateway_fixture::reply;
use crate::gateway_fixture::request;
use crate::gateway_fixture::signed_headers_for;
use crate::gateway_fixture::GatewayFixture;
use crate::gateway_fixture::Server;
use crate::gateway_fixture::PROMPT;

/// Events of a whole stream, and those before the break.
const EVENTS: u64 = 12;
const EVENTS_BEFORE: u64 = 5;
/// Text of the errors.
const ERROR: &str = "out of memory";

type Respond = fn(&Message, &mut TcpStream) -> bool;

struct Case {
    name: &'static str,
    respond: Respond,
    /// Whether the stream goes on with this answer.
    goes_on: bool,
}

const CASES: [Case; 12] = [
    Case {
        name: "the next events",
        respond: |seen, stream| send_events(seen, stream, EVENTS_BEFORE + 1),
        goes_on: true,
    },
    Case {
        name: "from the start",
        respond: |seen, stream| send_events(seen, stream, 1),
        goes_on: false,
    },
    Case {
        name: "the last event again",
        respond: |seen, stream| send_events(seen, stream, EVENTS_BEFORE),
        goes_on: false,
    },
    Case {
        name: "an error status",
        respond: |seen, stream| {
            let headers = signed_headers_for(seen);
            reply(stream, "500 Internal Server Error", &headers, ERROR)
        },
        goes_on: false,
    },
    Case {
        name: "an error as JSON",
        respond: |seen, stream| send_body(seen, stream, "application/json", "\r\n"),
        goes_on: false,
    },
    Case {
        name: "an error as JSON with a blank line",
        respond: |seen, stream| send_body(seen, stream, "application/json", "\n\n"),
        goes_on: false,
    },
    Case {
        name: "an error in an event stream",
        respond: |seen, stream| send_body(seen, stream, "text/event-stream", "\n\n"),
        goes_on: false,
    },
    Case {
        name: "an empty body with a length",
        respond: |seen, stream| {
            let signed = signed_headers_for(seen);
            let headers = format!("{signed}content-type: text/event-stream\r\n");
            reply(stream, "200 OK", &headers, "")
        },
        goes_on: false,
    },
    Case {
        name: "an empty body in chunks",
        respond: |seen, stream| {
            begin_stream(stream, seen);
            chunk(stream, "")
        },
        goes_on: false,
    },
    Case {
        name: "no content",
        respond: |seen, stream| reply(stream, "204 No Content", &signed_headers_for(seen), ""),
        goes_on: false,
    },
    Case {
        name: "a second head without framing",
        respond: |seen, stream| {
            let signed = signed_headers_for(seen);
            let text = format!(
                "HTTP/1.1 200 OK\r\n{signed}content-type: text/event-stream\r\n\
                 connection: close\r\n\r\nHTTP/1.1 500 Internal Server Error\r\n{signed}\r\n\
                 {ERROR}\n\n"
            );
            let _ = stream.write_all(text.as_bytes());
            false
        },
        goes_on: false,
    },
    Case {
        name: "an error event without id",
        respond: |seen, stream| {
            begin_stream(stream, seen);
            chunk(stream, &format!("event: error\ndata: {ERROR}\n\n")) && chunk(stream, "")
        },
        goes_on: false,
    },
];

/// An answer that leaves events out. Only the response that sent the events before can tell.
const LEFT_OUT: Case = Case {
    name: "events left out",
    respond: |seen, stream| send_events(seen, stream, EVENTS_BEFORE + 3),
    goes_on: false,
};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id};\n\n")
}

fn send_events(seen: &Message, stream: &mut TcpStream, first: u64) -> bool {
    begin_stream(stream, seen);
    (first..=EVENTS).all(|id| chunk(stream, &event(id))) && chunk(stream, "")
}

fn send_body(seen: &Message, stream: &mut TcpStream, media: &str, end: &str) -> bool {
    let signed = signed_headers_for(seen);
    let headers = format!("{signed}content-type: {media}\r\n");
    let body = format!("{{\"error\":\"{ERROR}\"}}{end}");
    reply(stream, "200 OK", &headers, &body)
}

/// Returns the numbers of the tokens in an answer.
fn tokens(answer: &str) -> Vec<u64> {
    let parts = answer.split("data: token ").skip(1);
    let numbers = parts.filter_map(|part| part.split(';').next());
    numbers.filter_map(|number| number.parse().ok()).collect()
}

fn check_within_response(case: &Case) {
    let breaks = Arc::new(AtomicBool::new(false));
    let breaking = Arc::clone(&breaks);
    let first = Server::start(move |seen, stream| {
        begin_stream(stream, seen);
        for id in 1..=EVENTS_BEFORE {
            chunk(stream, &event(id));
        }
        while !breaking.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    });
    let fixture = GatewayFixture::start_empty();
    fixture.store.put("op/config", &config(1));
    fixture.store.put("servers/first", &first.entry("models"));
    fixture.wait_ready(1);
    let front = fixture.front;
    let text = request(
        "POST",
        "resumed",
        &format!("{PROMPT}Connection: close\r\n"),
        "",
    );
    let caller = std::thread::spawn(move || call_stream(front, &text));
    fixture.wait_until("sent the request", || first.count() == 1);
    let respond = case.respond;
    let second = Server::start(respond);
    fixture.store.put("servers/second", &second.entry("models"));
    fixture.wait_ready(2);
    breaks.store(true, Ordering::SeqCst);
    let (answer, whole) = caller.join().expect("an answer");
    let name = case.name;
    let last = if case.goes_on { EVENTS } else { EVENTS_BEFORE };
    let expected: Vec<u64> = (1..=last).collect();
    assert_eq!(tokens(&answer), expected, "{name}: {answer}");
    assert_eq!(whole, case.goes_on, "{name}: {answer}");
    assert!(!answer.contains(ERROR), "{name}: {answer}");
    assert_eq!(second.count(), 1, "{name}");
}

fn check_taken_up(case: &Case) {
    let respond = case.respond;
    let (one, two) = (Server::start(respond), Server::start(respond));
    let fixture = GatewayFixture::start(&[("models", &one), ("models", &two)]);
    let headers = format!("{PROMPT}Connection: close\r\nLast-Event-Id: {EVENTS_BEFORE}\r\n");
    let text = request("POST", "resumed", &headers, "");
    let mut answer = call_stream(fixture.front, &text).0;
    // A gateway that has just started does not know yet which versions there were before.
    while answer.contains("unknown_build") {
        std::thread::sleep(Duration::from_millis(50));
        answer = call_stream(fixture.front, &text).0;
    }
    let name = case.name;
    let goes_on = answer.starts_with("HTTP/1.1 200");
    assert_eq!(goes_on, case.goes_on, "{name}, taken up: {answer}");
    let first = EVENTS_BEFORE + 1;
    let expected: Vec<u64> = (first..=EVENTS).filter(|_| goes_on).collect();
    assert_eq!(tokens(&answer), expected, "{name}, taken up: {answer}");
}

#[test]
fn a_stream_goes_on_only_with_its_next_event() {
    let failed: Vec<String> = std::thread::scope(|scope| {
        let mut checks = Vec::new();
        for case in CASES.iter().chain([&LEFT_OUT]) {
            let check = scope.spawn(move || check_within_response(case));
            checks.push((case.name.to_owned(), check));
        }
        for case in &CASES {
            let check = scope.spawn(move || check_taken_up(case));
            checks.push((format!("{}, taken up", case.name), check));
        }
        let failed = checks.into_iter();
        let failed = failed.filter_map(|(name, check)| check.join().is_err().then_some(name));
        failed.collect()
    });
    assert!(failed.is_empty(), "failed: {failed:?}");
}
