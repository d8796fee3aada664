//! Streams go on only at servers of the software version that began them.
//!
//! Guards against answers that join events of two versions: within one answer, when a caller takes a
//! stream up again, and after all gateways were killed.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use primrose_soak::plan::StoreFault;
use primrose_soak::wire::Message;
use serde_json::json;

use crate::gateway_fixture::begin_stream;
use crate::gateway_fixture::call_stream;
use crate::gateway_fixture::chunk;
use crate::gateway_fixture::config;
use crate::gateway_fixture::read_stream;
use crate::gateway_fixture::request;
use crate::gateway_fixture::GatewayFixture;
use crate::gateway_fixture::Server;
use crate::gateway_fixture::PROMPT;
use crate::gateway_fixture::TIMEOUT;

/// Version that begins the stream.
const OLD: &str = "v1";
/// Another version.
const NEW: &str = "v1.1";
/// Events of a whole stream.
const EVENTS: u64 = 4;
/// Events that arrive before the stream breaks.
const EVENTS_BEFORE: u64 = 2;
/// Time within which a gateway stores what it must know after a restart.
const STORE_TIME: Duration = Duration::from_millis(1_500);
/// Id of the caller's attempt that begins the stream.
const BEGUN: &str = "begun";

/// How a stream breaks off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Break {
    /// The server closes its connection; the gateway goes on within the answer.
    Server,
    /// The caller's connection ends; the caller takes the stream up.
    Caller,
    /// The gateway is killed; the caller takes the stream up at the next one.
    Gateway,
}

struct Case {
    name: &'static str,
    broken_by: Break,
    /// Versions of the servers that remain.
    remaining: &'static [&'static str],
    /// Attempt that the caller names; none if it names none.
    resumes: Option<&'static str>,
    /// Whether the stream goes on.
    goes_on: bool,
}

const CASES: [Case; 12] = [
    Case {
        name: "server, other version remains",
        broken_by: Break::Server,
        remaining: &[NEW],
        resumes: Some(BEGUN),
        goes_on: false,
    },
    Case {
        name: "server, both versions remain",
        broken_by: Break::Server,
        remaining: &[NEW, NEW, NEW, OLD],
        resumes: Some(BEGUN),
        goes_on: true,
    },
    Case {
        name: "caller, other version remains",
        broken_by: Break::Caller,
        remaining: &[NEW],
        resumes: Some(BEGUN),
        goes_on: false,
    },
    Case {
        name: "caller, both versions remain",
        broken_by: Break::Caller,
        remaining: &[NEW, NEW, NEW, OLD],
        resumes: Some(BEGUN),
        goes_on: true,
    },
    Case {
        name: "caller names no attempt, both versions remain",
        broken_by: Break::Caller,
        remaining: &[NEW, NEW, NEW, OLD],
        resumes: None,
        goes_on: false,
    },
    Case {
        name: "caller names no attempt, one version",
        broken_by: Break::Caller,
        remaining: &[OLD, OLD],
        resumes: None,
        goes_on: true,
    },
    Case {
        name: "gateway, other version remains",
        broken_by: Break::Gateway,
        remaining: &[NEW],
        resumes: Some(BEGUN),
        goes_on: false,
    },
    Case {
        name: "gateway, both versions remain",
        broken_by: Break::Gateway,
        remaining: &[NEW, NEW, NEW, OLD],
        resumes: Some(BEGUN),
        goes_on: true,
    },
    Case {
        name: "gateway, both versions remain, stream that nobody knows",
        broken_by: Break::Gateway,
        remaining: &[NEW, NEW, NEW, OLD],
        resumes: Some("unknown"),
        goes_on: false,
    },
    Case {
        name: "gateway, other version remains, stream that nobody knows",
        broken_by: Break::Gateway,
        remaining: &[NEW],
        resumes: Some("unknown"),
        goes_on: false,
    },
    Case {
        name: "gateway, one version, stream that nobody knows",
        broken_by: Break::Gateway,
        remaining: &[OLD, OLD],
        resumes: Some("unknown"),
        goes_on: true,
    },
    Case {
        name: "gateway, one version",
        broken_by: Break::Gateway,
        remaining: &[OLD],
        resumes: Some(BEGUN),
        goes_on: true,
    },
];

/// Starts a server whose events name its version. It ends a new stream after the first events once
/// `breaks` is set.
fn start_server(version: &'static str, breaks: Option<Arc<AtomicBool>>) -> Server {
    Server::start(move |seen, stream| {
        begin_stream(stream, seen);
        let first = last_event(seen) + 1;
        for id in first..=EVENTS {
            if let Some(breaks) = breaks.as_ref().filter(|_| id > EVENTS_BEFORE) {
                while !breaks.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                return false;
            }
            if !chunk(stream, &format!("id: {id}\ndata: of {version};\n\n")) {
                return false;
            }
        }
        chunk(stream, "");
        true
    })
}

fn last_event(seen: &Message) -> u64 {
    let value = seen.header("last-event-id");
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn put_server(fixture: &GatewayFixture, id: &str, server: &Server, version: &str) {
    let mut entry = server.entry("models");
    entry["version"] = json!(version);
    fixture.store.put(&format!("servers/{id}"), &entry);
}

fn stream_request(id: &str, headers: &str) -> String {
    let text = request("POST", "resumed", &format!("{PROMPT}{headers}"), "");
    text.replace("Request-Id: r1\r\n", &format!("Request-Id: {id}\r\n"))
}

/// Reads until as many events have arrived as come before the break.
fn read_first_events(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut block = [0; 1_024];
    while text.matches("data:").count() < EVENTS_BEFORE as usize {
        let length = stream.read(&mut block).expect("events");
        assert!(length > 0, "the stream ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&block[..length]));
    }
    text
}

fn check(case: &Case) {
    let breaks = Arc::new(AtomicBool::new(false));
    let beginner = start_server(OLD, Some(Arc::clone(&breaks)));
    let mut fixture = GatewayFixture::start_empty();
    fixture.store.put("op/config", &config(1));
    put_server(&fixture, "beginner", &beginner, OLD);
    fixture.wait_ready(1);
    let mut caller = TcpStream::connect(fixture.front).expect("connected");
    caller.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let begin = stream_request(BEGUN, "");
    caller.write_all(begin.as_bytes()).expect("sent");
    let mut text = read_first_events(&mut caller);
    let mut servers = Vec::new();
    for (number, version) in case.remaining.iter().enumerate() {
        let server = start_server(version, None);
        put_server(&fixture, &format!("other-{number}"), &server, version);
        servers.push(server);
    }
    fixture.wait_ready(1 + servers.len());
    fixture.store.remove("servers/beginner");
    fixture.wait_ready(servers.len());
    let (rest, whole) = match case.broken_by {
        Break::Server => {
            breaks.store(true, Ordering::SeqCst);
            read_stream(&mut caller)
        }
        Break::Caller | Break::Gateway => {
            if case.broken_by == Break::Gateway {
                std::thread::sleep(STORE_TIME);
                fixture.restart();
                fixture.wait_ready(servers.len());
            }
            drop(caller);
            let resumes = case.resumes.map(|id| format!("Resumes: {id}\r\n"));
            let resumes = resumes.unwrap_or_default();
            let headers =
                format!("Connection: close\r\nLast-Event-Id: {EVENTS_BEFORE}\r\n{resumes}");
            call_stream(fixture.front, &stream_request("next", &headers))
        }
    };
    text.push_str(&rest);
    assert!(!text.contains(NEW), "{}: {text}", case.name);
    assert_eq!(whole, case.goes_on, "{}: {text}", case.name);
    let events = if case.goes_on { EVENTS } else { EVENTS_BEFORE };
    let seen = text.matches(&format!("of {OLD};")).count() as u64;
    assert_eq!(seen, events, "{}: {text}", case.name);
}

#[test]
fn streams_go_on_only_at_the_version_that_began_them() {
    let failed: Vec<&str> = std::thread::scope(|scope| {
        let checks = CASES
            .each_ref()
            .map(|case| (case, scope.spawn(|| check(case))));
        let failed = checks.map(|(case, check)| check.join().is_err().then_some(case.name));
        failed.into_iter().flatten().collect()
    });
    assert!(failed.is_empty(), "failed: {failed:?}");
}

/// What the gateway has not heard when a caller takes up a stream that another gateway began.
struct BehindCase {
    name: &'static str,
    /// Version of a server that has just joined.
    joined: Option<&'static str>,
    /// Whether the gateway is cut off from the store.
    is_cut_off: bool,
    /// Whether the stream goes on.
    goes_on: bool,
}

const BEHIND_CASES: [BehindCase; 5] = [
    BehindCase {
        name: "nothing",
        joined: None,
        is_cut_off: false,
        goes_on: true,
    },
    BehindCase {
        name: "a server of the same version",
        joined: Some(OLD),
        is_cut_off: false,
        goes_on: true,
    },
    BehindCase {
        name: "a server of another version",
        joined: Some(NEW),
        is_cut_off: false,
        goes_on: false,
    },
    BehindCase {
        name: "a server of another version, cut off",
        joined: Some(NEW),
        is_cut_off: true,
        goes_on: false,
    },
    BehindCase {
        name: "nothing, cut off",
        joined: None,
        is_cut_off: true,
        goes_on: false,
    },
];

/// Time after a change of the list of servers before the gateway reads it again, at least.
const LIST_PAUSE: Duration = Duration::from_millis(400);

fn check_behind(case: &BehindCase) {
    let (old, joined) = (start_server(OLD, None), start_server(NEW, None));
    let fixture = GatewayFixture::start_empty();
    fixture.store.put("op/config", &config(1));
    put_server(&fixture, "old", &old, OLD);
    fixture.wait_ready(1);
    // After this change the gateway does not read the list for a while.
    std::thread::sleep(LIST_PAUSE * 2);
    put_server(&fixture, "old", &old, OLD);
    std::thread::sleep(LIST_PAUSE / 4);
    if case.is_cut_off {
        fixture.store_endpoint.fault.set(StoreFault::Silent);
    }
    if let Some(version) = case.joined {
        put_server(&fixture, "joined", &joined, version);
    }
    let headers =
        format!("Connection: close\r\nLast-Event-Id: {EVENTS_BEFORE}\r\nResumes: elsewhere\r\n");
    let (text, whole) = call_stream(fixture.front, &stream_request("next", &headers));
    let (name, goes_on) = (case.name, case.goes_on);
    assert_eq!(text.starts_with("HTTP/1.1 200"), goes_on, "{name}: {text}");
    assert_eq!(text.starts_with("HTTP/1.1 503"), !goes_on, "{name}: {text}");
    assert!(whole || !goes_on, "{name}: {text}");
    assert_eq!(text.contains("data:"), goes_on, "{name}: {text}");
}

/// Guards against streams that go on at another version at a gateway that has not heard yet of the
/// version that began them, cut off or not.
#[test]
fn streams_of_other_gateways_do_not_go_on_at_a_gateway_that_is_behind() {
    let failed: Vec<&str> = std::thread::scope(|scope| {
        let checks = BEHIND_CASES
            .each_ref()
            .map(|case| (case, scope.spawn(|| check_behind(case))));
        let failed = checks.map(|(case, check)| check.join().is_err().then_some(case.name));
        failed.into_iter().flatten().collect()
    });
    assert!(failed.is_empty(), "failed: {failed:?}");
}
