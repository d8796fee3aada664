//! Behavior of a gateway towards callers and servers, including faulty servers.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::gateway_fixture::begin_stream;
use crate::gateway_fixture::call;
use crate::gateway_fixture::call_stream;
use crate::gateway_fixture::chunk;
use crate::gateway_fixture::config;
use crate::gateway_fixture::reply;
use crate::gateway_fixture::request;
use crate::gateway_fixture::signed_headers_for;
use crate::gateway_fixture::GatewayFixture;
use crate::gateway_fixture::Server;
use crate::gateway_fixture::PROMPT;

/// Returns the text of a server-sent event.
fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// Starts a plain server that answers every request correctly.
fn healthy_server() -> Server {
    Server::start(|seen, stream| reply(stream, "200 OK", &signed_headers_for(seen), "done"))
}

/// Returns the ids of the events that a caller received, in order.
fn ids(text: &str) -> Vec<u64> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.trim().parse().expect("a number")).collect()
}

#[test]
fn requests_reach_servers_with_gateway_headers_and_without_forged_ones() {
    let server = healthy_server();
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    let forged = "Primrosehall-Tenant: other\r\nPrimrosehall-Hold: 1\r\nKv-From: 1.2.3.4:5/6\r\n\
                  Primrosehall-Expect-Instance: i-9\r\nX-Own: kept\r\nConnection: X-Drop\r\n\
                  X-Drop: 1\r\n";
    let (line, body) = call(fixture.front, &request("POST", "once", forged, "order"));
    assert_eq!(
        (line.as_str(), &body[..]),
        ("HTTP/1.1 200 OK", &b"done"[..])
    );
    let seen = server.seen.lock().expect("seen")[0].clone();
    assert_eq!(seen.line.trim_end(), "POST /once/2f HTTP/1.1");
    assert_eq!(seen.body, b"order");
    assert_eq!(seen.header("host"), Some("example"));
    assert_eq!(seen.header("x-own"), Some("kept"));
    assert_eq!(seen.header("primrosehall-tenant"), Some("parish"));
    assert_eq!(seen.header("primrosehall-expect-instance"), Some("i-0"));
    let left: u64 = seen
        .header("primrosehall-deadline-ms")
        .and_then(|left| left.parse().ok())
        .expect("a deadline");
    assert!(left <= 4_000 && left > 3_000);
    for name in ["primrosehall-key", "primrosehall-hold", "kv-from", "x-drop"] {
        assert_eq!(seen.header(name), None, "{name}");
    }
}

#[test]
fn refused_requests_get_a_status_and_an_error_body() {
    struct Case {
        name: &'static str,
        request: String,
        status: &'static str,
    }
    let server = healthy_server();
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    let cases = [
        Case {
            name: "no such route",
            request: request("GET", "none", "", ""),
            status: "404",
        },
        Case {
            name: "unknown key",
            request: request("GET", "again", "", "").replace("key-1", "key-2"),
            status: "401",
        },
        Case {
            name: "no id",
            request: request("GET", "again", "", "").replace("Request-Id", "Other-Id"),
            status: "400",
        },
        Case {
            name: "a body beyond the limit",
            request: request("POST", "again", "", &"x".repeat(5_000)),
            status: "413",
        },
        Case {
            name: "a pool without servers",
            request: request("POST", "stream", PROMPT, "x"),
            status: "503",
        },
    ];
    for case in cases {
        let (line, body) = call(fixture.front, &case.request);
        assert!(line.contains(case.status), "{}: {line}", case.name);
        let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        assert!(body["error"].is_string(), "{}", case.name);
    }
    assert_eq!(server.count(), 0);
}

#[test]
fn requests_before_the_first_tables_get_503() {
    let fixture = GatewayFixture::start_empty();
    let (line, _) = call(fixture.front, &request("GET", "again", "", ""));
    assert!(line.contains("503"), "{line}");
    let ready = call(fixture.ready, "GET /api/ready HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(ready.0.contains("503"), "{}", ready.0);
}

#[test]
fn a_non_idempotent_request_with_a_lost_response_is_not_retried_and_gets_502() {
    let losing = || Server::start(|_, _| false);
    let (one, two) = (losing(), losing());
    let fixture = GatewayFixture::start(&[("plain", &one), ("plain", &two)]);
    let (line, _) = call(fixture.front, &request("POST", "once", "", "order"));
    assert!(line.contains("502"), "{line}");
    assert_eq!(one.count() + two.count(), 1);
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried_on_another_server() {
    let refusing = Server::start(|_, stream| {
        let headers = "primrosehall-not-executed: 1\r\n";
        reply(stream, "503 Service Unavailable", headers, "")
    });
    let taking = healthy_server();
    let fixture = GatewayFixture::start(&[("plain", &refusing), ("plain", &taking)]);
    for _ in 0..4 {
        let (line, _) = call(fixture.front, &request("POST", "once", "", "order"));
        assert!(line.contains("200"), "{line}");
    }
    assert_eq!(taking.count(), 4);
}

#[test]
fn a_non_idempotent_request_that_no_server_executed_gets_503() {
    let refusing = || {
        Server::start(|_, stream| {
            let headers = "primrosehall-not-executed: 1\r\n";
            reply(stream, "503 Service Unavailable", headers, "")
        })
    };
    let (one, two) = (refusing(), refusing());
    let fixture = GatewayFixture::start(&[("plain", &one), ("plain", &two)]);
    let (line, _) = call(fixture.front, &request("POST", "once", "", "order"));
    assert!(line.contains("503"), "{line}");
    assert_eq!(one.count() + two.count(), 2);
}

#[test]
fn invalid_server_responses_become_502() {
    struct Case {
        name: &'static str,
        server: Server,
    }
    let cases = [
        Case {
            name: "it is not signed",
            server: Server::start(|_, stream| reply(stream, "200 OK", "", "done")),
        },
        Case {
            name: "it is signed for another request",
            server: Server::start(|seen, stream| {
                let headers = signed_headers_for(seen).replace("r1", "r2");
                reply(stream, "200 OK", &headers, "done")
            }),
        },
        Case {
            name: "it is encoded",
            server: Server::start(|seen, stream| {
                let headers = format!("{}content-encoding: gzip\r\n", signed_headers_for(seen));
                reply(stream, "200 OK", &headers, "done")
            }),
        },
        Case {
            name: "it is truncated",
            server: Server::start(|seen, stream| {
                let headers = signed_headers_for(seen);
                let head = format!("HTTP/1.1 200 OK\r\n{headers}content-length: 9\r\n\r\ndone");
                stream.write_all(head.as_bytes()).expect("written");
                false
            }),
        },
        Case {
            name: "it is a 503 without the not-executed header",
            server: Server::start(|seen, stream| {
                reply(
                    stream,
                    "503 Service Unavailable",
                    &signed_headers_for(seen),
                    "",
                )
            }),
        },
        Case {
            name: "it is not HTTP",
            server: Server::start(|_, stream| {
                stream
                    .write_all(b"\x00\x01garbage\r\n\r\n")
                    .expect("written");
                false
            }),
        },
    ];
    for case in cases {
        let fixture = GatewayFixture::start(&[("plain", &case.server)]);
        let (line, _) = call(fixture.front, &request("POST", "once", "", "order"));
        assert!(line.contains("502"), "{}: {line}", case.name);
        assert_eq!(case.server.count(), 1, "{}", case.name);
    }
}

#[test]
fn bytes_after_a_response_never_reach_another_request() {
    let server = Server::start(|seen, stream| {
        let twice = reply(stream, "200 OK", &signed_headers_for(seen), "done");
        twice && reply(stream, "200 OK", &signed_headers_for(seen), "more")
    });
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    for number in 0..6 {
        let id = format!("n{number}");
        let text = request("GET", "again", "", "").replace("r1", &id);
        let (line, body) = call(fixture.front, &text);
        let whole = line.contains("200") && body == b"done";
        assert!(whole || line.contains("502"), "{line}");
    }
}

/// Starts a server whose stream breaks off within the third event, and that resumes after the event
/// named in `last-event-id`.
fn interrupted_stream_server(last: u64) -> Server {
    Server::start(move |seen, stream| {
        begin_stream(stream, seen);
        let from: Option<u64> = seen.header("last-event-id").and_then(|id| id.parse().ok());
        let Some(from) = from else {
            chunk(stream, &event(1));
            chunk(stream, &event(2));
            chunk(stream, "id: 3\ndata: tok");
            return false;
        };
        for id in from + 1..=last {
            chunk(stream, &event(id));
        }
        chunk(stream, "")
    })
}

#[test]
fn a_resumable_stream_continues_on_another_server() {
    let (one, two) = (interrupted_stream_server(5), interrupted_stream_server(5));
    let fixture = GatewayFixture::start(&[("models", &one), ("models", &two)]);
    let text = request("POST", "resumed", PROMPT, "x");
    let (answer, whole) = call_stream(fixture.front, &text);
    assert!(whole, "{answer}");
    assert_eq!(ids(&answer), [1, 2, 3, 4, 5]);
    assert_eq!((one.count(), two.count()), (1, 1));
}

#[test]
fn an_interrupted_stream_that_cannot_resume_ends_without_the_end_mark() {
    let (one, two) = (interrupted_stream_server(5), interrupted_stream_server(5));
    let fixture = GatewayFixture::start(&[("models", &one), ("models", &two)]);
    let text = request("POST", "stream", PROMPT, "x");
    let (answer, whole) = call_stream(fixture.front, &text);
    assert!(!whole, "{answer}");
    assert_eq!(ids(&answer), [1, 2], "only whole events are passed on");
    assert_eq!(one.count() + two.count(), 1);
}

#[test]
fn a_server_connection_closes_promptly_when_the_caller_leaves() {
    let closed = Arc::new(AtomicBool::new(false));
    let closed_flag = Arc::clone(&closed);
    let server = Server::start(move |seen, stream| {
        begin_stream(stream, seen);
        chunk(stream, &event(1));
        // The gateway sends no more data, so the read returns when it closes the connection.
        let is_closed = matches!(stream.read(&mut [0; 1]), Ok(0) | Err(_));
        closed_flag.store(is_closed, Ordering::SeqCst);
        false
    });
    let fixture = GatewayFixture::start(&[("models", &server)]);
    let mut stream = TcpStream::connect(fixture.front).expect("connected");
    let text = request("POST", "stream", PROMPT, "x");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut block = [0; 1_024];
    assert!(stream.read(&mut block).expect("the head") > 0);
    drop(stream);
    let left = Instant::now();
    fixture.wait_until("closed the connection to the server", || {
        closed.load(Ordering::SeqCst)
    });
    // The required maximum is half a second.
    assert!(left.elapsed() < Duration::from_millis(500));
}

#[test]
fn unreadable_server_entries_are_skipped_and_the_others_stay() {
    let server = healthy_server();
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    fixture.store.put_bytes("servers/garbage", &[0xff, 0, 1]);
    fixture.store.put(
        "servers/half",
        &json!({ "service": "plain", "slots": "many" }),
    );
    let mut odd = server.entry("plain");
    odd["state"] = json!("dreaming");
    fixture.store.put("servers/odd", &odd);
    fixture.store.put("op/config", &config(2));
    fixture.wait_until("applied the tables", || {
        fixture.status()["generation"] == json!(2)
    });
    let (line, _) = call(fixture.front, &request("GET", "again", "", ""));
    assert!(line.contains("200"), "{line}");
    assert_eq!(
        fixture.status()["servers"].as_array().map(Vec::len),
        Some(1)
    );
}

/// Guards against a gateway that ends, or stops to follow the list, for one odd entry in it.
#[test]
fn a_gateway_goes_on_with_any_entry_in_the_list_of_servers() {
    const NESTING: usize = 100_000;
    struct Case {
        name: &'static str,
        field: &'static str,
        value: String,
    }
    let case = |name, field, value: &str| Case {
        name,
        field,
        value: value.to_owned(),
    };
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    let cases = [
        case("nested", "extra", &nested),
        case("nested number", "slots", &nested),
        case("slots times four overflows", "slots", "1073741824"),
        case("most slots", "slots", "4294967295"),
        case("no slots", "slots", "0"),
        case("too many slots", "slots", "4294967296"),
        case("number without end", "slots", "1e999"),
        case("negative slots", "slots", "-1"),
        case("port out of range", "address", "\"127.0.0.1:70000\""),
        case("port zero", "address", "\"127.0.0.1:0\""),
        case("latest start", "born", "18446744073709551615"),
        case("latest entry", "seq", "18446744073709551615"),
        case("start out of range", "born", "18446744073709551616"),
    ];
    let server = healthy_server();
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    let other = healthy_server();
    for (number, case) in cases.iter().enumerate() {
        let mut entry = other.entry("plain");
        entry[case.field] = json!("VALUE");
        let text = entry.to_string().replace("\"VALUE\"", &case.value);
        fixture.store.put_bytes("servers/i-odd", text.as_bytes());
        let version = number as u64 + 2;
        fixture.store.put("op/config", &config(version));
        // Written after the entry, so that the list has been read up to it.
        let marker = format!("servers/marker-{number}");
        fixture.store.put(&marker, &other.entry("marker"));
        fixture.wait_until(case.name, || {
            let status = fixture.status().to_string();
            status.contains(&format!("marker-{number}"))
                && fixture.status()["generation"] == json!(version)
        });
        for _ in 0..4 {
            let (line, _) = call(fixture.front, &request("GET", "again", "", ""));
            assert!(line.contains("200"), "{}: {line}", case.name);
        }
        fixture.store.remove("servers/i-odd");
    }
}

#[test]
fn unreadable_tables_leave_the_active_ones_unchanged() {
    let server = healthy_server();
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    let mut unknown = config(2);
    unknown["routes"][0]["routeType"] = json!("telepathic");
    fixture.store.put("op/config", &unknown);
    fixture.store.put("servers/i-1", &server.entry("models"));
    fixture.wait_until("applied the later change", || {
        fixture.status()["servers"].as_array().map(Vec::len) == Some(2)
    });
    assert_eq!(fixture.status()["generation"], json!(1));
    let (line, _) = call(fixture.front, &request("GET", "again", "", ""));
    assert!(line.contains("200"), "{line}");
}

#[test]
fn shutdown_finishes_running_streams_and_exits_cleanly() {
    let server = Server::start(|seen, stream| {
        begin_stream(stream, seen);
        for id in 1..=10 {
            chunk(stream, &event(id));
            std::thread::sleep(Duration::from_millis(100));
        }
        chunk(stream, "")
    });
    let fixture = GatewayFixture::start(&[("models", &server)]);
    let front = fixture.front;
    let running = std::thread::spawn(move || {
        let text = request("POST", "stream", PROMPT, "x");
        call_stream(front, &text)
    });
    fixture.wait_until("forwarded the request", || server.count() == 1);
    fixture.terminate();
    fixture.wait_until("became unready", || {
        let ready = call(fixture.ready, "GET /api/ready HTTP/1.1\r\nhost: x\r\n\r\n");
        ready.0.contains("503")
    });
    // Callers that have not noticed the change of readiness are still served.
    let text = request("POST", "stream", PROMPT, "x");
    let (answer, whole) = call_stream(front, &text);
    assert!(whole && answer.contains("connection: close"), "{answer}");
    let (answer, whole) = running.join().expect("joined");
    assert!(whole, "{answer}");
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0));
    for name in [
        "started",
        "tables_in_force",
        "sent",
        "answered",
        "stopping",
        "stopped",
    ] {
        let entry = format!("\"event\":\"{name}\"");
        assert!(log.contains(&entry), "{name} is missing in the log:\n{log}");
    }
}

#[test]
fn a_stream_that_could_outlast_the_grace_period_is_refused() {
    // A stream of 5 s that starts 2.3 s after the signal could be cut off by the grace period of 8 s.
    let server = Server::start(|seen, stream| {
        begin_stream(stream, seen);
        for id in 1..=50 {
            if !chunk(stream, &event(id)) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        chunk(stream, "")
    });
    let fixture = GatewayFixture::start(&[("models", &server)]);
    fixture.terminate();
    std::thread::sleep(Duration::from_millis(2_300));
    let (line, _) = call(fixture.front, &request("POST", "stream", PROMPT, "x"));
    assert!(line.contains("503"), "{line}");
    assert_eq!(server.count(), 0);
    assert_eq!(fixture.wait_for_exit().0, Some(0));
}

/// Guards against the case that one gateway held four thousand idle connections and no caller could
/// connect any more.
#[test]
fn idle_connections_do_not_exhaust_the_descriptors() {
    let server = healthy_server();
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    // The settings allow 64 descriptors.
    let idle: Vec<TcpStream> = (0..200)
        .filter_map(|_| {
            let mut stream = TcpStream::connect(fixture.front).ok()?;
            let text = request("GET", "again", "", "");
            stream.write_all(text.as_bytes()).ok()?;
            let mut block = [0; 1_024];
            let length = stream.read(&mut block).ok()?;
            assert!(block[..length].starts_with(b"HTTP/1.1 200"));
            Some(stream)
        })
        .collect();
    assert_eq!(idle.len(), 200, "all were served");
    fixture.wait_until("closed idle connections", || {
        fixture.status()["callers"]
            .as_u64()
            .is_some_and(|open| open <= 16)
    });
}

#[test]
fn account_metrics_have_a_bounded_number_of_series() {
    let server = healthy_server();
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    let mut many = config(2);
    let tenant = |number: usize| {
        let name = format!("account-{number}");
        json!({ "name": name, "apiKeys": [format!("key-{number}")], "priority": 1 })
    };
    many["tenants"] = (1..=40).map(tenant).collect();
    fixture.store.put("op/config", &many);
    fixture.wait_until("applied the tables", || {
        fixture.status()["generation"] == json!(2)
    });
    for number in 1..=40 {
        let text = request("GET", "again", "", "");
        let text = text.replace("key-1", &format!("key-{number}"));
        let (line, _) = call(fixture.front, &text);
        assert!(line.contains("200"), "{line}");
    }
    let (_, text) = call(fixture.control, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n");
    let text = String::from_utf8(text).expect("text");
    let series: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("account_requests{"))
        .collect();
    assert!(series.len() <= 33, "{series:?}");
    let others = series.iter().find(|line| line.contains("others"));
    assert!(
        others.is_some_and(|line| line.ends_with(" 8")),
        "{series:?}"
    );
    for name in [
        "retry_budget_left",
        "oldest_digest_seconds",
        "follows_platform",
    ] {
        assert!(text.contains(name), "{name}");
    }
}
