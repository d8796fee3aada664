//! Servers that say in their answers that they leave, or for how long they want no requests.
//!
//! Guards against requests to a server that has said so to this gateway, before or without any word of
//! it in the platform's list.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::gateway_fixture::call;
use crate::gateway_fixture::reply;
use crate::gateway_fixture::request;
use crate::gateway_fixture::signed_headers_for;
use crate::gateway_fixture::GatewayFixture;
use crate::gateway_fixture::Server;

/// Requests that are sent after the first answer of the server.
const REQUESTS: usize = 40;
/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a server wants no requests, as it says in seconds.
const DECLINED_TIME: Duration = Duration::from_millis(1_500);
/// Requests that may reach a server while it wants none: those that were under way.
const MAX_DECLINED: usize = 2;

/// A server that answers every request like `answer`, beside one without wishes.
fn start(answer: fn(&str) -> (&'static str, String)) -> (GatewayFixture, Server, Server) {
    let with_wishes = Server::start(move |seen, stream| {
        let (status, headers) = answer(&signed_headers_for(seen));
        reply(stream, status, &headers, "done")
    });
    let other =
        Server::start(|seen, stream| reply(stream, "200 OK", &signed_headers_for(seen), "done"));
    let servers = [("plain", &with_wishes), ("plain", &other)];
    let fixture = GatewayFixture::start(&servers);
    (fixture, with_wishes, other)
}

/// Sends requests until the server has received one.
fn reach(fixture: &GatewayFixture, server: &Server) {
    fixture.wait_until("reached the server", || {
        call(fixture.front, &request("GET", "again", "", ""));
        server.count() > 0
    });
}

#[test]
fn a_server_that_says_it_leaves_gets_no_more_requests() {
    struct Case {
        name: &'static str,
        answer: fn(&str) -> (&'static str, String),
    }
    let cases = [
        Case {
            name: "answered",
            answer: |signed| ("200 OK", format!("{signed}Server-Leaving: 1\r\n")),
        },
        Case {
            name: "failed",
            answer: |signed| {
                let headers = format!("{signed}Server-Leaving: 1\r\n");
                ("500 Internal Server Error", headers)
            },
        },
        Case {
            name: "refused",
            answer: |signed| {
                let headers =
                    format!("{signed}Server-Leaving: 1\r\nPrimrosehall-Not-Executed: true\r\n");
                ("503 Service Unavailable", headers)
            },
        },
    ];
    for Case { name, answer } in cases {
        let (fixture, leaving, other) = start(answer);
        reach(&fixture, &leaving);
        let before = leaving.count();
        for _ in 0..REQUESTS {
            let (line, _) = call(fixture.front, &request("GET", "again", "", ""));
            assert!(line.contains("200"), "{name}: {line}");
        }
        assert_eq!(leaving.count(), before, "{name}");
        assert!(other.count() >= REQUESTS, "{name}");
    }
}

#[test]
fn a_server_that_declines_gets_no_requests_for_the_time_that_it_names() {
    let (fixture, declining, _other) = start(|signed| {
        let headers = format!("{signed}Retry-After: 1.5\r\nPrimrosehall-Not-Executed: true\r\n");
        ("503 Service Unavailable", headers)
    });
    reach(&fixture, &declining);
    let (since, before) = (Instant::now(), declining.count());
    while since.elapsed() < DECLINED_TIME - REQUEST_PAUSE * 5 {
        let (line, _) = call(fixture.front, &request("GET", "again", "", ""));
        assert!(line.contains("200"), "{line}");
        std::thread::sleep(REQUEST_PAUSE);
    }
    let sent = declining.count() - before;
    assert!(sent <= MAX_DECLINED, "{sent} requests");
    // It is used again afterwards.
    fixture.wait_until("used the server again", || {
        call(fixture.front, &request("GET", "again", "", ""));
        declining.count() > before + sent
    });
}

/// Guards against an answer to another request that ends the pause: it says nothing about the wish.
#[test]
fn good_answers_to_earlier_requests_do_not_end_the_pause() {
    let number = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&number);
    let server = Server::start(move |seen, stream| {
        let signed = signed_headers_for(seen);
        if counter.fetch_add(1, Ordering::SeqCst) == 0 {
            std::thread::sleep(Duration::from_millis(300));
            return reply(stream, "200 OK", &signed, "done");
        }
        let headers = format!("{signed}Retry-After: 5\r\nPrimrosehall-Not-Executed: true\r\n");
        reply(stream, "503 Service Unavailable", &headers, "done")
    });
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    let front = fixture.front;
    let first = std::thread::spawn(move || call(front, &request("GET", "again", "", "")));
    fixture.wait_until("sent the first request", || server.count() == 1);
    let (line, _) = call(front, &request("GET", "again", "", ""));
    assert!(line.contains("503"), "{line}");
    let (line, _) = first.join().expect("the first call ends");
    assert!(line.contains("200"), "{line}");
    let before = server.count();
    for _ in 0..REQUESTS {
        let (line, _) = call(front, &request("GET", "again", "", ""));
        assert!(line.contains("503"), "{line}");
    }
    assert_eq!(server.count(), before);
}
