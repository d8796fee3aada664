//! Servers that name the number of requests a second that they take.
//!
//! Guards against a server in need that gets more than it said it can take, and against one that
//! stays without requests after it has stopped saying so.

use std::io::Write;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::gateway_fixture::call_stream;
use crate::gateway_fixture::chunk;
use crate::gateway_fixture::reply;
use crate::gateway_fixture::request;
use crate::gateway_fixture::signed_headers_for;
use crate::gateway_fixture::GatewayFixture;
use crate::gateway_fixture::Server;
use crate::gateway_fixture::PROMPT;

/// The limit that servers name, in requests a second.
const LIMIT: f64 = 2.0;
/// Time in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);

/// Requests that a server may get within [`SPAN`]: one and a half times its limit, and five.
fn allowed() -> usize {
    (1.5 * LIMIT * SPAN.as_secs_f64()) as usize + 5
}

/// Starts a server that names its limit while `is_limited`.
fn limited_server(is_limited: &Arc<AtomicBool>) -> Server {
    let is_limited = Arc::clone(is_limited);
    Server::start(move |seen, stream| {
        let mut headers = signed_headers_for(seen);
        if is_limited.load(Ordering::SeqCst) {
            headers.push_str(&format!("Server-Limit: {LIMIT}\r\n"));
        }
        if !seen.second_word().starts_with("/stream") {
            return reply(stream, "200 OK", &headers, "done");
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).is_ok()
            && chunk(stream, "id: 1\ndata: token\n\n")
            && chunk(stream, "")
    })
}

/// Sends requests for [`SPAN`]; returns how many were answered with success and how many not.
fn send_for_span(fixture: &GatewayFixture, route: &str) -> (usize, usize) {
    let end = Instant::now() + SPAN;
    let (mut served, mut refused) = (0, 0);
    while Instant::now() < end {
        let prompt = if route == "stream" {
            // Each shared part prefers a server of its own.
            PROMPT.replace("5c1e07a2", &format!("{served:x}"))
        } else {
            String::new()
        };
        let headers = format!("{prompt}Connection: close\r\n");
        let (answer, _) = call_stream(fixture.front, &request("POST", route, &headers, "x"));
        if answer.starts_with("HTTP/1.1 200") {
            served += 1;
        } else {
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.to_lowercase().contains("retry-after"), "{answer}");
            refused += 1;
        }
        std::thread::sleep(REQUEST_PAUSE);
    }
    (served, refused)
}

#[test]
fn a_server_gets_no_more_requests_than_the_limit_it_names() {
    struct Case {
        name: &'static str,
        route: &'static str,
        pool: &'static str,
    }
    let cases = [
        Case {
            name: "streams",
            route: "stream",
            pool: "models",
        },
        Case {
            name: "plain calls",
            route: "again",
            pool: "plain",
        },
    ];
    for case in &cases {
        let is_limited = Arc::new(AtomicBool::new(true));
        let limited = limited_server(&is_limited);
        let free = limited_server(&Arc::default());
        let fixture = GatewayFixture::start(&[(case.pool, &limited), (case.pool, &free)]);
        let (_, refused) = send_for_span(&fixture, case.route);
        let count = limited.count();
        assert!(
            count <= allowed(),
            "{}: the limited server got {count} requests, {} are allowed",
            case.name,
            allowed()
        );
        assert_eq!(refused, 0, "{}: the other server takes the rest", case.name);
        assert!(count >= 4, "{}: it got only {count}", case.name);
    }
}

#[test]
fn requests_beyond_the_limits_of_all_servers_are_refused_until_they_name_none() {
    let is_limited = Arc::new(AtomicBool::new(true));
    let servers = [limited_server(&is_limited), limited_server(&is_limited)];
    let fixture = GatewayFixture::start(&[("plain", &servers[0]), ("plain", &servers[1])]);
    let (_, refused) = send_for_span(&fixture, "again");
    for server in &servers {
        let count = server.count();
        assert!(count <= allowed(), "a limited server got {count} requests");
    }
    assert!(refused > 0, "nothing was refused");
    is_limited.store(false, Ordering::SeqCst);
    // Each server's next answer names no limit any more.
    send_for_span(&fixture, "again");
    let (_, refused) = send_for_span(&fixture, "again");
    assert_eq!(refused, 0, "refused though no server names a limit");
}
