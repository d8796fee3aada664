//! Requests that the front refuses without a backend server.

use std::time::Duration;

use primrose_front::broker::FingerprintStatus;
use primrose_front::Limits;

use crate::fixture;
use crate::fixture::chat;
use crate::fixture::request;
use crate::fixture::KEY;

struct Case {
    name: &'static str,
    text: String,
    status: u16,
    code: &'static str,
}

#[test]
fn a_bad_request_gets_an_error_code_and_the_outcome() {
    let cases = [
        Case {
            name: "no bearer key",
            text: chat(true, 1).replace(KEY, "stolen"),
            status: 401,
            code: "unauthenticated",
        },
        Case {
            name: "unknown model",
            text: chat(true, 1).replace("\"draft\"", "\"other\""),
            status: 404,
            code: "no-route",
        },
        Case {
            name: "unknown path",
            text: request("/nowhere", "", "{}"),
            status: 404,
            code: "no-route",
        },
        Case {
            name: "body is no JSON",
            text: request("/v1/chat/completions", "", "{"),
            status: 400,
            code: "bad-request",
        },
        Case {
            name: "wrong method",
            text: chat(true, 1).replace("POST", "PUT"),
            status: 400,
            code: "bad-request",
        },
        Case {
            name: "empty idempotency key",
            text: request("/dispatch", "idempotency-key: \r\n", "{}"),
            status: 400,
            code: "bad-request",
        },
    ];
    let fixture = fixture::start(Limits::default());
    for case in cases {
        let reply = fixture::send(fixture.front.addr(), &case.text);
        assert_eq!(reply.status, case.status, "{}: {reply:?}", case.name);
        assert_eq!(
            reply.header("x-error-code"),
            Some(case.code),
            "{}",
            case.name
        );
        assert_eq!(reply.header("x-outcome"), Some("not-run"), "{}", case.name);
        assert!(reply.header("x-request-id").is_some(), "{}", case.name);
        let json: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
        assert_eq!(json["error"]["code"], case.code, "{}", case.name);
        assert_eq!(json["error"]["outcome"], "not-run", "{}", case.name);
    }
    assert!(fixture.broker.seen().is_empty());
}

#[test]
fn a_full_queue_refuses_with_a_retry_hint() {
    let fixture = fixture::start(Limits::default());
    fixture.broker.set_full(true);
    let reply = fixture::send(fixture.front.addr(), &chat(true, 1));
    assert_eq!(reply.status, 429);
    assert_eq!(reply.header("retry-after"), Some("1"));
    assert_eq!(reply.header("x-outcome"), Some("not-run"));
}

#[test]
fn a_refused_fingerprint_gets_the_poison_code() {
    let fixture = fixture::start(Limits::default());
    fixture
        .broker
        .set_fingerprint_status(FingerprintStatus::Refused(Duration::from_millis(1500)));
    let reply = fixture::send(fixture.front.addr(), &chat(true, 1));
    assert_eq!(reply.status, 422);
    assert_eq!(reply.header("x-error-code"), Some("poison"));
    assert_eq!(reply.header("retry-after"), Some("2"));
}

#[test]
fn a_draining_front_accepts_no_request() {
    let fixture = fixture::start(Limits::default());
    let addr = fixture.front.addr();
    let ready = "GET /readyz HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    assert_eq!(fixture::send(addr, ready).status, 200);
    let mut kept = fixture::open(addr, "GET /healthz HTTP/1.1\r\nhost: test\r\n\r\n");
    let mut first = [0; 1];
    std::io::Read::read_exact(&mut kept, &mut first).unwrap();
    fixture.front.drain();
    let refused = std::net::TcpStream::connect(addr);
    if let Ok(mut stream) = refused {
        // Accepted by the operating system just before the listener closed; no answer follows.
        std::io::Write::write_all(&mut stream, chat(true, 1).as_bytes()).ok();
    }
    assert!(fixture.broker.seen().is_empty());
}
