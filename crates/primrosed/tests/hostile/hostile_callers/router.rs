//! Hostile callers of a router.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use primrose_soak::server::accept;
use primrose_soak::wire::reply;
use primrose_soak::wire::Message;

use super::assert_none;
use super::call;
use super::chunked_bodies;
use super::content_length;
use super::crowd::Script;
use super::large_bodies;
use super::only;
use super::oversize_bodies;
use super::run_alone;
use super::stopped::Stop;
use super::unfinished_heads;
use super::BodyCase;
use super::Bounds;
use super::Case;
use super::Subject;
use super::LARGE_CALLERS;
use super::LARGE_EVENT_BYTES;
use super::MANY_CALLERS;
use super::MAX_BODY_BYTES;
use super::PIECE_BYTES;
use super::UNFINISHED_BODY_BYTES;
use crate::gateway_fixture::chunk;
use crate::router_fixture::Process;
use crate::router_fixture::RouterFixture;
use crate::router_fixture::KEY;
use crate::router_fixture::TIMEOUT;

/// Memory that a router under test may use, in megabytes. It needs more than a gateway when idle.
const MEMORY_MB: u32 = 96;
/// Memory for bodies and answers; the rest of [`MEMORY_MB`] is for the router itself, which needs 25 MB
/// when idle in a debug build, and for the connections.
const BUFFERED_BYTES: usize = 32 << 20;
/// Connections of callers that the router under test accepts.
const MAX_CONNECTIONS: usize = 64;
/// Descriptors that a router may have open: one for each caller, one for the server of each, and some
/// for the platform, its peers and the process itself.
const MAX_DESCRIPTORS: usize = 2 * MAX_CONNECTIONS + 64;
/// Callers that send while the router is stopped. It accepts [`MAX_CONNECTIONS`] of them.
const STOPPED_CALLERS: usize = 720;
/// Size of a large answer, below the largest that the router holds back.
const LARGE_ANSWER_BYTES: usize = 7 << 20;

/// Pools whose only server does not answer as an engine does: one with slots for all callers, one with
/// a single slot.
const TABLES: &str = "\
[route flood]
model = flood-7b
pool = flooding
deadline = 120s
idempotent = yes
cost = 1
[pool flooding]
kind = engine
service = flooding
min-slots = 64
max-slots = 64
longest-run = 120s
[route narrow]
model = narrow-7b
pool = narrowing
deadline = 120s
idempotent = yes
cost = 1
[pool narrowing]
kind = engine
service = narrowing
min-slots = 1
max-slots = 1
longest-run = 120s
queue-account-size = 256MiB
queue-total-size = 256MiB
";

/// Returns the limits in the settings of the router under test.
fn limits() -> String {
    format!(
        "[limits]\nbody-size = {MAX_BODY_BYTES}B\nconnections = {MAX_CONNECTIONS}\n\
         buffered-size = {BUFFERED_BYTES}B\nheader-timeout = 3s\nfirst-byte-timeout = 120s\n"
    )
}

/// Answers as the caller asks for in the text of its prompt.
fn serve(seen: &Message, stream: &mut TcpStream) -> bool {
    if seen.second_word() == "/load" {
        let load = "{\"running\":0,\"waiting\":0,\"cached_blocks\":0,\"as_of_ms\":0}";
        return reply(stream, "200 OK", "content-type: application/json\r\n", load);
    }
    let wants = |text: &str| {
        let start = &seen.body[..seen.body.len().min(1_024)];
        String::from_utf8_lossy(start).contains(text)
    };
    if wants("large answer") {
        reply(stream, "200 OK", "", &"x".repeat(LARGE_ANSWER_BYTES))
    } else if wants("large events") {
        send_events(stream, LARGE_EVENT_BYTES)
    } else if wants("small events") {
        send_events(stream, 10)
    } else {
        // Returns when the router closes the connection.
        let _ = stream.read(&mut [0; 1]);
        false
    }
}

/// Sends events without end.
fn send_events(stream: &mut TcpStream, size: usize) -> bool {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let data = "x".repeat(size);
    let mut id = 0_u64;
    loop {
        id += 1;
        if !chunk(stream, &format!("id: {id}\ndata: {data}\n\n")) {
            return false;
        }
    }
}

/// A router with an engine and a server that answers as its callers ask for.
struct Router {
    process: Process,
    _fixture: RouterFixture,
}

impl Router {
    fn start() -> Self {
        static STARTED: AtomicU8 = AtomicU8::new(100);
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let fixture = RouterFixture::start_with_tables(&format!("hostile-{number}"), TABLES);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("its address");
        accept(listener, serve);
        fixture.add_host("flood-1", "north", "flooding", addr);
        fixture.add_host("narrow-1", "north", "narrowing", addr);
        let process = fixture.router_with_settings(number, "north", &limits());
        let router = Self {
            process,
            _fixture: fixture,
        };
        router.wait_ready();
        router
    }

    fn wait_ready(&self) {
        let end = std::time::Instant::now() + TIMEOUT;
        let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        loop {
            let line = call(self.process.addrs.callers, request, TIMEOUT);
            if line.is_ok_and(|line| line.contains("200")) {
                return;
            }
            let now = std::time::Instant::now();
            assert!(now < end, "the router did not become ready");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn subject(&self) -> Subject {
        Subject {
            pid: self.process.process_id(),
            addr: self.process.addrs.callers,
            bounds: Bounds::new(MEMORY_MB, MAX_DESCRIPTORS),
        }
    }
}

/// Returns the head of a completion request up to the headers that frame its body.
fn head() -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: example\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Type: application/json\r\n"
    )
}

/// Returns the body of a completion request of a number of bytes.
fn prompt(model: &str, stream: bool, text: &str, length: usize) -> String {
    let start = format!(
        "{{\"model\":\"{model}\",\"stream\":{stream},\"metadata\":{{\"tokens\":\"3\"}},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"{text} "
    );
    let end = "\"}]}";
    let fill = length.saturating_sub(start.len() + end.len());
    start + &"x".repeat(fill) + end
}

/// Returns a whole completion request.
fn whole_request(body: &str) -> Vec<u8> {
    (head() + &content_length(body.len()) + body).into_bytes()
}

fn case(name: &'static str, callers: usize, script: Script) -> Case {
    Case {
        name,
        callers,
        script,
        ordinary: whole_request(&prompt("linen-7b", false, "rota", 0)),
        largest: whole_request(&prompt("linen-7b", false, "rota", MAX_BODY_BYTES)),
    }
}

/// Runs each case against a router of its own.
fn check(cases: impl IntoIterator<Item = Case>) {
    let _alone = run_alone();
    let run = |case: Case| Router::start().subject().check(&case);
    let faults: Vec<String> = cases.into_iter().flat_map(run).collect();
    assert_none(&faults);
}

/// Returns a case in which each caller sends a body.
fn body_case(body: BodyCase, callers: usize) -> Case {
    let script = Script {
        head: (head() + &body.framing).into_bytes(),
        block: body.block,
        repeats: body.repeats,
        piece: body.piece,
        one_by_one: false,
    };
    case(body.name, callers, script)
}

fn check_bodies(cases: Vec<BodyCase>) {
    let cases = cases.into_iter();
    check(cases.map(|body| body_case(body, LARGE_CALLERS)));
}

/// Guards against the sum of what the kernel holds for a router that reads too slowly, in connections
/// that it has accepted and in those that wait in the backlog.
#[test]
fn a_router_withstands_bodies_that_it_has_not_read() {
    let _alone = run_alone();
    let run = |stop| {
        let body = large_bodies().remove(0);
        let case = body_case(body, STOPPED_CALLERS);
        Router::start().subject().check_stopped(&case, stop)
    };
    let stops = [Stop::AfterHeads, Stop::BeforeConnecting].into_iter();
    let faults: Vec<String> = stops.flat_map(run).collect();
    assert_none(&faults);
}

/// Guards against the sum of unfinished bodies with a length.
#[test]
fn a_router_withstands_large_bodies_that_stop_short() {
    check_bodies(large_bodies());
}

/// Guards against the sum of unfinished bodies in chunks, and against what each chunk costs.
#[test]
fn a_router_withstands_chunked_bodies_that_stop_short() {
    check_bodies(chunked_bodies());
}

/// Guards against bodies that are kept up to the limit before they are refused.
#[test]
fn a_router_withstands_bodies_far_over_the_limit() {
    check_bodies(oversize_bodies());
}

/// Guards against connections that keep all others out without a request.
#[test]
fn a_router_withstands_connections_without_a_whole_head() {
    let heads = unfinished_heads("POST /v1/chat/completions HTTP/1.1");
    let cases = heads.into_iter();
    check(cases.map(|(name, script)| case(name, MANY_CALLERS, script)));
}

/// Guards against the sum of answers and events that callers do not take.
#[test]
fn a_router_withstands_callers_that_do_not_read() {
    let request = |stream, what| whole_request(&prompt("flood-7b", stream, what, 0));
    let cases = [
        ("a large answer", only(request(false, "large answer"))),
        ("large events", only(request(true, "large events"))),
        ("small events", only(request(true, "small events"))),
    ];
    let cases = cases.into_iter();
    check(cases.map(|(name, script)| case(name, LARGE_CALLERS, script)));
}

/// Guards against the sum of complete bodies that wait for a slot or for an answer.
#[test]
fn a_router_withstands_bodies_that_wait_while_servers_are_full() {
    let cases = [
        ("servers do not answer", "flood-7b"),
        ("servers are full", "narrow-7b"),
    ];
    check(cases.into_iter().map(|(name, model)| {
        let body = prompt(model, false, "silence", UNFINISHED_BODY_BYTES);
        let script = Script {
            head: (head() + &content_length(body.len())).into_bytes(),
            block: body.into_bytes(),
            repeats: 1,
            piece: PIECE_BYTES,
            one_by_one: false,
        };
        case(name, LARGE_CALLERS, script)
    }));
}
