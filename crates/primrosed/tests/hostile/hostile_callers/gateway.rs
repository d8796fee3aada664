//! Hostile callers of a gateway.

use std::io::Read;
use std::net::TcpListener;
use std::net::TcpStream;

use primrose_soak::server::accept;
use primrose_soak::wire::Message;
use serde_json::json;

use super::assert_none;
use super::chunked_bodies;
use super::content_length;
use super::crowd::Script;
use super::large_bodies;
use super::only;
use super::oversize_bodies;
use super::run_alone;
use super::stopped::Stop;
use super::stopped::STOPPED_CALLERS;
use super::unfinished_heads;
use super::BodyCase;
use super::Bounds;
use super::Case;
use super::Subject;
use super::AMPLE_FDS;
use super::LARGE_CALLERS;
use super::LARGE_EVENT_BYTES;
use super::MANY_CALLERS;
use super::MAX_BODY_BYTES;
use super::PIECE_BYTES;
use super::SCARCE_FDS;
use super::STALLED_READERS;
use super::UNFINISHED_BODY_BYTES;
use crate::gateway_fixture::begin_stream;
use crate::gateway_fixture::chunk;
use crate::gateway_fixture::config;
use crate::gateway_fixture::reply;
use crate::gateway_fixture::request;
use crate::gateway_fixture::server_entry;
use crate::gateway_fixture::signed_headers_for;
use crate::gateway_fixture::GatewayFixture;
use crate::gateway_fixture::PROMPT;
use crate::gateway_texts::HostLimits;

/// Memory of a gateway under test, in megabytes.
const MEMORY_MB: u32 = 64;
/// Descriptors of a gateway that suffice for callers that send while it is stopped.
const STOPPED_FDS: u32 = 1_024;
/// Time limit of the routes. No request of a crowd may end by it while a slow machine still sends.
const TIME_LIMIT_MS: u64 = 120_000;
/// Entries in the store for each simulated server, so that the slots suffice for all callers.
const ENTRIES: usize = 32;
/// Header by which a caller asks the simulated servers for something else than a short answer.
const WANTS: &str = "x-wants";
/// Size of a large answer.
const LARGE_ANSWER_BYTES: usize = 4 << 20;

/// Answers as the caller asks for.
fn serve(seen: &Message, stream: &mut TcpStream) -> bool {
    match seen.header(WANTS) {
        Some("silence") => {
            // Returns when the gateway closes the connection.
            let _ = stream.read(&mut [0; 1]);
            false
        }
        Some("large answer") => {
            let answer = "x".repeat(LARGE_ANSWER_BYTES);
            reply(stream, "200 OK", &signed_headers_for(seen), &answer)
        }
        Some("large events") => send_events(seen, stream, LARGE_EVENT_BYTES),
        Some("small events") => send_events(seen, stream, 10),
        _ => reply(stream, "200 OK", &signed_headers_for(seen), "done"),
    }
}

/// Sends events without end.
fn send_events(seen: &Message, stream: &mut TcpStream, size: usize) -> bool {
    begin_stream(stream, seen);
    let data = "x".repeat(size);
    let mut id = 0_u64;
    loop {
        id += 1;
        if !chunk(stream, &format!("id: {id}\ndata: {data}\n\n")) {
            return false;
        }
    }
}

/// A gateway with a simulated server in each pool.
struct Gateway {
    fixture: GatewayFixture,
    /// Accepts connections and reads nothing; its service is `deaf`.
    _deaf: TcpListener,
}

impl Gateway {
    fn start(max_fds: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("its address");
        accept(listener, serve);
        let deaf = TcpListener::bind("127.0.0.1:0").expect("a port");
        let deaf_addr = deaf.local_addr().expect("its address");
        let fixture = GatewayFixture::start_with_limits(HostLimits {
            memory_mb: MEMORY_MB,
            max_fds,
        });
        fixture.store.put("op/config", &hostile_config());
        let services = [("plain", addr), ("models", addr), ("deaf", deaf_addr)];
        for (service, addr) in services {
            for number in 0..ENTRIES {
                let key = format!("servers/{service}-{number}");
                fixture.store.put(&key, &server_entry(addr, service));
            }
        }
        fixture.wait_ready(services.len() * ENTRIES);
        Self {
            fixture,
            _deaf: deaf,
        }
    }

    fn subject(&self, max_fds: u32) -> Subject {
        Subject {
            pid: self.fixture.process_id(),
            addr: self.fixture.front,
            bounds: Bounds::new(MEMORY_MB, max_fds as usize),
        }
    }
}

/// Returns a configuration with large bodies, long time limits and a service that reads nothing.
fn hostile_config() -> serde_json::Value {
    let mut config = config(1);
    config["limits"]["maxBodyBytes"] = json!(MAX_BODY_BYTES);
    let mut deaf = config["services"][1].clone();
    deaf["name"] = json!("deaf");
    let mut route = config["routes"][2].clone();
    route["name"] = json!("deaf");
    route["prefix"] = json!("/deaf/");
    route["service"] = json!("deaf");
    let services = config["services"].as_array_mut().expect("services");
    services.push(deaf);
    let routes = config["routes"].as_array_mut().expect("routes");
    routes.push(route);
    for route in routes {
        route["timeoutMs"] = json!(TIME_LIMIT_MS);
    }
    config
}

/// Returns the head of a request up to the headers that frame its body.
fn head(route: &str, headers: &str) -> String {
    let text = request("POST", route, headers, "");
    let text = text.replace(
        "Deadline-Ms: 4000",
        &format!("Deadline-Ms: {TIME_LIMIT_MS}"),
    );
    text.replace(&content_length(0), "")
}

/// Returns a request with a body of `length` bytes.
fn whole_request(route: &str, headers: &str, length: usize) -> Vec<u8> {
    let text = head(route, headers) + &content_length(length);
    let mut request = text.into_bytes();
    request.resize(request.len() + length, b'x');
    request
}

fn case(name: &'static str, callers: usize, script: Script) -> Case {
    Case {
        name,
        callers,
        script,
        ordinary: whole_request("again", "", 5),
        largest: whole_request("once", "", MAX_BODY_BYTES),
    }
}

/// Runs each case against a gateway of its own.
fn check(max_fds: u32, cases: impl IntoIterator<Item = Case>) {
    let _alone = run_alone();
    let run = |case: Case| Gateway::start(max_fds).subject(max_fds).check(&case);
    let faults: Vec<String> = cases.into_iter().flat_map(run).collect();
    assert_none(&faults);
}

fn check_bodies(cases: Vec<BodyCase>) {
    let cases = cases.into_iter();
    check(AMPLE_FDS, cases.map(|body| body_case(body, LARGE_CALLERS)));
}

/// Returns a case in which each caller sends a body.
fn body_case(body: BodyCase, callers: usize) -> Case {
    let script = Script {
        head: (head("again", "") + &body.framing).into_bytes(),
        block: body.block,
        repeats: body.repeats,
        piece: body.piece,
        one_by_one: false,
    };
    case(body.name, callers, script)
}

/// Guards against the sum of what the kernel holds for a gateway that reads too slowly.
#[test]
fn a_gateway_withstands_bodies_that_it_has_not_read() {
    let _alone = run_alone();
    let cases = || {
        let bodies = large_bodies().into_iter().chain(chunked_bodies());
        let bodies = bodies.chain(oversize_bodies());
        bodies.map(|body| body_case(body, STOPPED_CALLERS))
    };
    let after = cases().map(|case| (case, Stop::AfterHeads));
    let before = cases().take(1).map(|case| (case, Stop::BeforeConnecting));
    let run = |(case, stop): (Case, Stop)| {
        let gateway = Gateway::start(STOPPED_FDS);
        gateway.subject(STOPPED_FDS).check_stopped(&case, stop)
    };
    let faults: Vec<String> = after.chain(before).flat_map(run).collect();
    assert_none(&faults);
}

/// Guards against the sum of unfinished bodies with a length.
#[test]
fn a_gateway_withstands_large_bodies_that_stop_short() {
    check_bodies(large_bodies());
}

/// Guards against the sum of unfinished bodies in chunks, and against what each chunk costs.
#[test]
fn a_gateway_withstands_chunked_bodies_that_stop_short() {
    check_bodies(chunked_bodies());
}

/// Guards against bodies that are kept up to the limit before they are refused.
#[test]
fn a_gateway_withstands_bodies_far_over_the_limit() {
    check_bodies(oversize_bodies());
}

/// Guards against connections that hold a descriptor without a request.
#[test]
fn a_gateway_withstands_connections_without_a_whole_head() {
    let heads = unfinished_heads("POST /again/2f HTTP/1.1");
    let cases = heads.into_iter();
    check(
        SCARCE_FDS,
        cases.map(|(name, script)| case(name, MANY_CALLERS, script)),
    );
}

/// Guards against requests in progress that take the descriptors for servers and the store.
#[test]
fn a_gateway_withstands_more_connections_than_descriptors() {
    let unfinished = head("again", "") + &content_length(1_000) + "x";
    let cases = [
        ("unfinished bodies", only(unfinished)),
        ("answered requests", only(whole_request("again", "", 5))),
    ];
    let cases = cases.into_iter();
    check(
        SCARCE_FDS,
        cases.map(|(name, script)| case(name, MANY_CALLERS, script)),
    );
}

/// Guards against the sum of answers and events that callers do not take.
#[test]
fn a_gateway_withstands_callers_that_do_not_read() {
    let wants = |what: &str| format!("{WANTS}: {what}\r\n");
    let stream = |what: &str| whole_request("stream", &(PROMPT.to_owned() + &wants(what)), 5);
    let cases = [
        (
            "a large answer",
            only(whole_request("once", &wants("large answer"), 5)),
        ),
        ("large events", only(stream("large events"))),
        ("small events", only(stream("small events"))),
        (
            "large events, one caller after another",
            Script {
                one_by_one: true,
                ..only(stream("large events"))
            },
        ),
    ];
    let cases = cases.into_iter();
    check(
        AMPLE_FDS,
        cases.map(|(name, script)| case(name, STALLED_READERS, script)),
    );
}

/// Guards against the sum of complete bodies that are kept for another attempt.
#[test]
fn a_gateway_withstands_bodies_that_wait_while_servers_are_full() {
    let silence = format!("{WANTS}: silence\r\n");
    let cases = [
        ("servers do not answer", head("once", &silence)),
        ("servers do not read", head("deaf", "")),
    ];
    let cases = cases.into_iter().map(|(name, head)| {
        let script = Script {
            head: (head + &content_length(UNFINISHED_BODY_BYTES)).into_bytes(),
            block: vec![b'x'; UNFINISHED_BODY_BYTES],
            repeats: 1,
            piece: PIECE_BYTES,
            one_by_one: false,
        };
        case(name, LARGE_CALLERS, script)
    });
    check(AMPLE_FDS, cases);
}
