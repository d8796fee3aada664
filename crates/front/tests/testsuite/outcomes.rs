//! Orders to plain services: the reported outcome compared with the service's own record.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use primrose_front::broker::BrokerReply;
use primrose_front::broker::StoredAnswer;
use primrose_front::Limits;
use primrose_request::ClaimReply;
use primrose_request::Event;
use primrose_request::FailureStage;
use primrose_request::Settlement;
use primrose_standin::plain::Plain;
use primrose_standin::plain::PlainConfig;
use primrose_standin::plain::PlainFault;
use primrose_standin::runtime::Runtime;

use crate::fixture;
use crate::fixture::Seen;

struct Case {
    name: &'static str,
    faults: Vec<Option<PlainFault>>,
    status: u16,
    outcome: &'static str,
    runs: usize,
    settled: Option<Settlement>,
}

#[test]
fn the_outcome_of_an_order_matches_what_ran() {
    let cases = [
        Case {
            name: "served",
            faults: vec![],
            status: 200,
            outcome: "done",
            runs: 1,
            settled: Some(Settlement::Done { status: 200 }),
        },
        Case {
            name: "reply lost",
            faults: vec![Some(PlainFault::LoseReply)],
            status: 502,
            outcome: "unknown",
            runs: 1,
            settled: Some(Settlement::Unknown),
        },
        Case {
            name: "refused once, then served",
            faults: vec![Some(PlainFault::Refuse)],
            status: 200,
            outcome: "done",
            runs: 1,
            settled: Some(Settlement::Done { status: 200 }),
        },
        Case {
            name: "dropped before it ran, which the router cannot know",
            faults: vec![Some(PlainFault::Drop)],
            status: 502,
            outcome: "unknown",
            runs: 0,
            settled: Some(Settlement::Unknown),
        },
        Case {
            name: "always refused",
            faults: vec![Some(PlainFault::Refuse); 3],
            status: 502,
            outcome: "not-run",
            runs: 0,
            settled: None,
        },
    ];
    let runtime = Runtime::new().unwrap();
    for case in cases {
        let plain = Plain::start(&runtime, PlainConfig::default()).unwrap();
        let fixture = fixture::start(Limits::default());
        plain.plan(case.faults);
        for _ in 0..3 {
            fixture.broker.grant(plain.addr());
        }
        let text = fixture::request("/dispatch", "idempotency-key: order-7\r\n", "{\"vans\":1}");
        let reply = fixture::send(fixture.front.addr(), &text);
        assert_eq!(reply.status, case.status, "{}: {reply:?}", case.name);
        assert_eq!(
            reply.header("x-outcome"),
            Some(case.outcome),
            "{}",
            case.name
        );
        assert_eq!(plain.runs_of("order-7"), case.runs, "{}", case.name);
        fixture.broker.wait(|seen| matches!(seen, Seen::Ended(_)));
        let seen = fixture.broker.seen();
        let settled = seen.iter().find_map(|seen| match seen {
            Seen::Settle(settlement) => Some(*settlement),
            _ => None,
        });
        assert_eq!(settled, case.settled, "{}", case.name);
        assert_eq!(
            seen.contains(&Seen::Release),
            case.settled.is_none(),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_repeated_request_gets_the_stored_answer() {
    let fixture = fixture::start(Limits::default());
    fixture
        .broker
        .plan_claim_reply(BrokerReply::Stored(StoredAnswer {
            status: 201,
            content_type: "application/json".to_owned(),
            body: Some(Bytes::from_static(b"{\"van\":4}")),
        }));
    let text = fixture::request("/dispatch", "idempotency-key: order-7\r\n", "{}");
    let reply = fixture::send(fixture.front.addr(), &text);
    assert_eq!(reply.status, 201);
    assert_eq!(reply.body, "{\"van\":4}");
    assert_eq!(reply.header("x-outcome"), Some("done"));
}

#[test]
fn a_refused_claim_gets_its_error_code_and_outcome() {
    struct Case {
        reply: ClaimReply,
        status: u16,
        outcome: &'static str,
        code: &'static str,
    }
    let cases = [
        Case {
            reply: ClaimReply::Unavailable {
                retry_after: Duration::from_secs(3),
            },
            status: 503,
            outcome: "not-run",
            code: "claims-unavailable",
        },
        Case {
            reply: ClaimReply::Conflict,
            status: 422,
            outcome: "not-run",
            code: "key-reused",
        },
        Case {
            reply: ClaimReply::Busy,
            status: 409,
            outcome: "unknown",
            code: "in-progress",
        },
        Case {
            reply: ClaimReply::Unknown,
            status: 409,
            outcome: "unknown",
            code: "outcome-unknown",
        },
    ];
    let fixture = fixture::start(Limits::default());
    for case in cases {
        fixture
            .broker
            .plan_claim_reply(BrokerReply::Event(Event::Claim(case.reply)));
        let text = fixture::request("/dispatch", "idempotency-key: order-7\r\n", "{}");
        let reply = fixture::send(fixture.front.addr(), &text);
        assert_eq!(reply.status, case.status, "{}", case.code);
        assert_eq!(
            reply.header("x-outcome"),
            Some(case.outcome),
            "{}",
            case.code
        );
        assert_eq!(reply.header("x-error-code"), Some(case.code));
    }
}

/// A server that answers the first request on a connection, and then writes a refusal.
fn refuse_second(refusal_of: Option<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let mut block = [0; 4_096];
                for number in 0.. {
                    if !matches!(stream.read(&mut block), Ok(length) if length > 0) {
                        return;
                    }
                    let named = refusal_of.map(|id| format!("x-attempt-id: {id}\r\n"));
                    let named = named.unwrap_or_default();
                    let text = if number == 0 {
                        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".to_owned()
                    } else {
                        format!(
                            "HTTP/1.1 503 Busy\r\nx-not-run: true\r\n{named}content-length: 0\r\n\r\n"
                        )
                    };
                    stream.write_all(text.as_bytes()).unwrap();
                }
            });
        }
    });
    addr
}

/// Guards against "not run" for a request that may run: a faulty server writes the refusal of an
/// earlier request again, on a kept connection.
#[test]
fn a_refusal_that_may_be_that_of_an_earlier_request_proves_nothing() {
    for refusal_of in [None, Some("7")] {
        let addr = refuse_second(refusal_of);
        let fixture = fixture::start(Limits::default());
        fixture.broker.grant(addr);
        let text = fixture::chat(false, 3);
        let first = fixture::send(fixture.front.addr(), &text);
        assert_eq!(first.status, 200, "{first:?}");
        fixture.broker.grant(addr);
        fixture::send(fixture.front.addr(), &text);
        let refused = Seen::Retry(FailureStage::RefusedNotRun);
        let seen = fixture.broker.seen();
        assert!(!seen.contains(&refused), "{refusal_of:?}: {seen:?}");
        let failed = Seen::Retry(FailureStage::AfterSend);
        assert!(seen.contains(&failed), "{refusal_of:?}: {seen:?}");
    }
}

/// A server that sends half of an answer, which ends with its connection, and then the rest or
/// nothing: a process that crashes listens no more.
fn answer_without_length(crashes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut block = [0; 4_096];
        assert!(stream.read(&mut block).unwrap() > 0);
        let first = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"van\"";
        stream.write_all(first.as_bytes()).unwrap();
        if crashes {
            drop(listener);
            return;
        }
        stream.write_all(b":4}").unwrap();
        drop(stream);
        // The next connection is that of the test's end.
        let _ = listener.accept();
        std::thread::sleep(fixture::TIMEOUT);
    });
    addr
}

/// Guards against "done" for an answer that a crash has cut short.
#[test]
fn an_answer_that_ends_in_a_crash_of_its_server_is_not_complete() {
    struct Case {
        name: &'static str,
        crashes: bool,
        settled: Settlement,
    }
    let cases = [
        Case {
            name: "the server goes on",
            crashes: false,
            settled: Settlement::Done { status: 200 },
        },
        Case {
            name: "the server has crashed",
            crashes: true,
            settled: Settlement::Unknown,
        },
    ];
    for case in cases {
        let fixture = fixture::start(Limits::default());
        fixture.broker.grant(answer_without_length(case.crashes));
        let text = fixture::request("/dispatch", "idempotency-key: order-7\r\n", "{}");
        fixture::send(fixture.front.addr(), &text);
        fixture.broker.wait(|seen| matches!(seen, Seen::Ended(_)));
        let settled = Seen::Settle(case.settled);
        let seen = fixture.broker.seen();
        assert!(seen.contains(&settled), "{}: {seen:?}", case.name);
    }
}

/// A server that writes the same answer to each request, and closes the connection.
fn answer_always(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut block = [0; 4_096];
            if matches!(stream.read(&mut block), Ok(length) if length > 0) {
                let _ = stream.write_all(answer.as_bytes());
            }
        }
    });
    addr
}

/// Guards against "done" or "not run" for an order whose answer has a status that is none, or no final
/// one, or that has not all of its head or body.
#[test]
fn an_answer_with_an_unusable_head_leaves_the_outcome_unknown() {
    const CASES: [&str; 10] = [
        "HTTP/1.1 000 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 099 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        "HTTP/1.1 600 Odd\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 600 Odd\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n",
        "HTTP/1.0 200 OK\r\ncontent-length: 900\r\n\r\n{\"van\"",
        "HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{\"van\"",
    ];
    for case in CASES {
        let fixture = fixture::start(Limits::default());
        fixture.broker.grant(answer_always(case));
        let text = fixture::request("/dispatch", "idempotency-key: order-7\r\n", "{}");
        fixture::send(fixture.front.addr(), &text);
        fixture.broker.wait(|seen| matches!(seen, Seen::Ended(_)));
        let seen = fixture.broker.seen();
        let unknown = Seen::Settle(Settlement::Unknown);
        assert!(seen.contains(&unknown), "{case:?}: {seen:?}");
    }
}
