//! Limits on what callers may send.

use std::io::Read;
use std::time::Duration;

use primrose_front::Limits;

use crate::fixture;

#[test]
fn a_large_body_is_refused() {
    let limits = Limits {
        body_bytes: 100,
        ..Limits::default()
    };
    let fixture = fixture::start(limits);
    let text = fixture::request("/dispatch", "", &"x".repeat(101));
    let reply = fixture::send(fixture.front.addr(), &text);
    assert_eq!(reply.status, 413);
    assert_eq!(reply.header("x-error-code"), Some("too-large"));
}

#[test]
fn a_large_head_is_refused() {
    let fixture = fixture::start(Limits::default());
    let headers = format!("x-filler: {}\r\n", "x".repeat(20 << 10));
    let text = fixture::request("/dispatch", &headers, "{}");
    let reply = fixture::send(fixture.front.addr(), &text);
    assert_eq!(reply.status, 431);
}

#[test]
fn a_caller_that_never_finishes_its_head_is_disconnected() {
    let limits = Limits {
        header_timeout: Duration::from_millis(50),
        ..Limits::default()
    };
    let fixture = fixture::start(limits);
    let mut stream = fixture::open(fixture.front.addr(), "POST /dispatch HTTP/1.1\r\nhost:");
    let mut rest = Vec::new();
    // Ends only because the front closes the connection.
    let ended = stream.read_to_end(&mut rest);
    assert!(ended.is_ok() || rest.is_empty());
    assert!(fixture.broker.seen().is_empty());
}

#[test]
fn a_caller_that_never_finishes_its_body_is_refused() {
    let limits = Limits {
        body_timeout: Duration::from_millis(50),
        ..Limits::default()
    };
    let fixture = fixture::start(limits);
    let whole = fixture::request("/dispatch", "", "0123456789");
    let reply = fixture::send(fixture.front.addr(), &whole[..whole.len() - 5]);
    assert_eq!(reply.status, 400);
    assert_eq!(reply.header("x-outcome"), Some("not-run"));
}
