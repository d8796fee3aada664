//! What callers and servers of the platform see of a gateway, also when servers misbehave.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::platform_world::begin_stream;
use crate::platform_world::call;
use crate::platform_world::call_stream;
use crate::platform_world::chunk;
use crate::platform_world::config;
use crate::platform_world::reply;
use crate::platform_world::request;
use crate::platform_world::vouched;
use crate::platform_world::Server;
use crate::platform_world::World;
use crate::platform_world::PROMPT;

/// Text of an event.
fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// A plain server that answers well.
fn good() -> Server {
    Server::start(|seen, stream| reply(stream, "200 OK", &vouched(seen), "done"))
}

/// Ids of the events that a caller got, in order.
fn ids(text: &str) -> Vec<u64> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.trim().parse().expect("a number")).collect()
}

#[test]
fn requests_reach_servers_with_what_the_system_sets_and_nothing_else() {
    let server = good();
    let world = World::start(&[("plain", &server)]);
    let forged = "Primrosehall-Tenant: other\r\nPrimrosehall-Hold: 1\r\nKv-From: 1.2.3.4:5/6\r\n\
                  Primrosehall-Expect-Instance: i-9\r\nX-Own: kept\r\nConnection: X-Drop\r\n\
                  X-Drop: 1\r\n";
    let (line, body) = call(world.front, &request("POST", "once", forged, "order"));
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
fn refusals_of_the_gateway_say_why() {
    struct Case {
        name: &'static str,
        request: String,
        status: &'static str,
    }
    let server = good();
    let world = World::start(&[("plain", &server)]);
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
        let (line, body) = call(world.front, &case.request);
        assert!(line.contains(case.status), "{}: {line}", case.name);
        let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        assert!(body["error"].is_string(), "{}", case.name);
    }
    assert_eq!(server.count(), 0);
}

#[test]
fn before_any_tables_a_caller_is_told_to_come_back() {
    let world = World::start_empty();
    let (line, _) = call(world.front, &request("GET", "again", "", ""));
    assert!(line.contains("503"), "{line}");
    let ready = call(world.ready, "GET /api/ready HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(ready.0.contains("503"), "{}", ready.0);
}

#[test]
fn an_order_whose_answer_is_lost_is_not_sent_again_and_not_called_unrun() {
    let losing = || Server::start(|_, _| false);
    let (one, two) = (losing(), losing());
    let world = World::start(&[("plain", &one), ("plain", &two)]);
    let (line, _) = call(world.front, &request("POST", "once", "", "order"));
    assert!(line.contains("502"), "{line}");
    assert_eq!(one.count() + two.count(), 1);
}

#[test]
fn an_order_that_a_server_did_not_run_goes_to_another() {
    let refusing = Server::start(|_, stream| {
        let headers = "primrosehall-not-executed: 1\r\n";
        reply(stream, "503 Service Unavailable", headers, "")
    });
    let taking = good();
    let world = World::start(&[("plain", &refusing), ("plain", &taking)]);
    for _ in 0..4 {
        let (line, _) = call(world.front, &request("POST", "once", "", "order"));
        assert!(line.contains("200"), "{line}");
    }
    assert_eq!(taking.count(), 4);
}

#[test]
fn an_order_that_no_server_ran_may_come_back() {
    let refusing = || {
        Server::start(|_, stream| {
            let headers = "primrosehall-not-executed: 1\r\n";
            reply(stream, "503 Service Unavailable", headers, "")
        })
    };
    let (one, two) = (refusing(), refusing());
    let world = World::start(&[("plain", &one), ("plain", &two)]);
    let (line, _) = call(world.front, &request("POST", "once", "", "order"));
    assert!(line.contains("503"), "{line}");
    assert_eq!(one.count() + two.count(), 2);
}

#[test]
fn answers_that_are_not_a_servers_word_never_reach_a_caller() {
    struct Case {
        name: &'static str,
        server: Server,
    }
    let cases = [
        Case {
            name: "nobody vouches for it",
            server: Server::start(|_, stream| reply(stream, "200 OK", "", "done")),
        },
        Case {
            name: "it is to another request",
            server: Server::start(|seen, stream| {
                let headers = vouched(seen).replace("r1", "r2");
                reply(stream, "200 OK", &headers, "done")
            }),
        },
        Case {
            name: "it is encoded",
            server: Server::start(|seen, stream| {
                let headers = format!("{}content-encoding: gzip\r\n", vouched(seen));
                reply(stream, "200 OK", &headers, "done")
            }),
        },
        Case {
            name: "it is cut",
            server: Server::start(|seen, stream| {
                let headers = vouched(seen);
                let head = format!("HTTP/1.1 200 OK\r\n{headers}content-length: 9\r\n\r\ndone");
                stream.write_all(head.as_bytes()).expect("written");
                false
            }),
        },
        Case {
            name: "it promises what the server did not say",
            server: Server::start(|seen, stream| {
                reply(stream, "503 Service Unavailable", &vouched(seen), "")
            }),
        },
        Case {
            name: "it is no HTTP",
            server: Server::start(|_, stream| {
                stream
                    .write_all(b"\x00\x01garbage\r\n\r\n")
                    .expect("written");
                false
            }),
        },
    ];
    for case in cases {
        let world = World::start(&[("plain", &case.server)]);
        let (line, _) = call(world.front, &request("POST", "once", "", "order"));
        assert!(line.contains("502"), "{}: {line}", case.name);
        assert_eq!(case.server.count(), 1, "{}", case.name);
    }
}

#[test]
fn bytes_after_an_answer_belong_to_no_request() {
    let server = Server::start(|seen, stream| {
        let twice = reply(stream, "200 OK", &vouched(seen), "done");
        twice && reply(stream, "200 OK", &vouched(seen), "more")
    });
    let world = World::start(&[("plain", &server)]);
    for number in 0..6 {
        let id = format!("n{number}");
        let text = request("GET", "again", "", "").replace("r1", &id);
        let (line, body) = call(world.front, &text);
        let whole = line.contains("200") && body == b"done";
        assert!(whole || line.contains("502"), "{line}");
    }
}

/// A server whose stream stops within its third event, and goes on where it is asked to.
fn breaking(last: u64) -> Server {
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
fn a_resumable_stream_goes_on_at_another_server() {
    let (one, two) = (breaking(5), breaking(5));
    let world = World::start(&[("models", &one), ("models", &two)]);
    let text = request("POST", "resumed", PROMPT, "x");
    let (answer, whole) = call_stream(world.front, &text);
    assert!(whole, "{answer}");
    assert_eq!(ids(&answer), [1, 2, 3, 4, 5]);
    assert_eq!((one.count(), two.count()), (1, 1));
}

#[test]
fn a_stream_that_may_not_run_again_never_looks_whole() {
    let (one, two) = (breaking(5), breaking(5));
    let world = World::start(&[("models", &one), ("models", &two)]);
    let text = request("POST", "stream", PROMPT, "x");
    let (answer, whole) = call_stream(world.front, &text);
    assert!(!whole, "{answer}");
    assert_eq!(ids(&answer), [1, 2], "only whole events are passed on");
    assert_eq!(one.count() + two.count(), 1);
}

#[test]
fn a_server_is_told_at_once_that_its_caller_left() {
    let closed = Arc::new(AtomicBool::new(false));
    let sign = Arc::clone(&closed);
    let server = Server::start(move |seen, stream| {
        begin_stream(stream, seen);
        chunk(stream, &event(1));
        // The gateway sends nothing more; the read ends when it closes the connection.
        let gone = matches!(stream.read(&mut [0; 1]), Ok(0) | Err(_));
        sign.store(gone, Ordering::SeqCst);
        false
    });
    let world = World::start(&[("models", &server)]);
    let mut stream = TcpStream::connect(world.front).expect("connected");
    let text = request("POST", "stream", PROMPT, "x");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut block = [0; 1_024];
    assert!(stream.read(&mut block).expect("the head") > 0);
    drop(stream);
    let left = Instant::now();
    world.until("told the server", || closed.load(Ordering::SeqCst));
    // The users' bound is half a second.
    assert!(left.elapsed() < Duration::from_millis(500));
}

#[test]
fn an_entry_that_cannot_be_read_names_no_server_and_the_others_hold() {
    let server = good();
    let world = World::start(&[("plain", &server)]);
    world.store.put_bytes("servers/garbage", &[0xff, 0, 1]);
    world.store.put(
        "servers/half",
        &json!({ "service": "plain", "slots": "many" }),
    );
    let mut odd = server.entry("plain");
    odd["state"] = json!("dreaming");
    world.store.put("servers/odd", &odd);
    world.store.put("op/config", &config(2));
    world.until("took the tables", || {
        world.status()["generation"] == json!(2)
    });
    let (line, _) = call(world.front, &request("GET", "again", "", ""));
    assert!(line.contains("200"), "{line}");
    assert_eq!(world.status()["servers"].as_array().map(Vec::len), Some(1));
}

#[test]
fn tables_that_cannot_be_read_change_nothing() {
    let server = good();
    let world = World::start(&[("plain", &server)]);
    let mut unknown = config(2);
    unknown["routes"][0]["routeType"] = json!("telepathic");
    world.store.put("op/config", &unknown);
    world.store.put("servers/i-1", &server.entry("models"));
    world.until("saw the later change", || {
        world.status()["servers"].as_array().map(Vec::len) == Some(2)
    });
    assert_eq!(world.status()["generation"], json!(1));
    let (line, _) = call(world.front, &request("GET", "again", "", ""));
    assert!(line.contains("200"), "{line}");
}

#[test]
fn shutdown_ends_what_runs_and_takes_no_new_stream_late() {
    let server = Server::start(|seen, stream| {
        begin_stream(stream, seen);
        for id in 1..=10 {
            chunk(stream, &event(id));
            std::thread::sleep(Duration::from_millis(100));
        }
        chunk(stream, "")
    });
    let world = World::start(&[("models", &server)]);
    let front = world.front;
    let running = std::thread::spawn(move || {
        let text = request("POST", "stream", PROMPT, "x");
        call_stream(front, &text)
    });
    world.until("sent it", || server.count() == 1);
    world.terminate();
    world.until("left the rotation", || {
        let ready = call(world.ready, "GET /api/ready HTTP/1.1\r\nhost: x\r\n\r\n");
        ready.0.contains("503")
    });
    // Callers that have not noticed are still served.
    let text = request("POST", "stream", PROMPT, "x");
    let (answer, whole) = call_stream(front, &text);
    assert!(whole && answer.contains("connection: close"), "{answer}");
    let (answer, whole) = running.join().expect("joined");
    assert!(whole, "{answer}");
    let (code, log) = world.ended();
    assert_eq!(code, Some(0));
    for name in [
        "started",
        "tables_in_force",
        "sent",
        "answered",
        "stopping",
        "stopped",
    ] {
        let sign = format!("\"event\":\"{name}\"");
        assert!(log.contains(&sign), "{name} is missing in the log:\n{log}");
    }
}

/// Found by a day on which one gateway held four thousand idle connections and nobody could connect.
#[test]
fn a_stream_that_might_outlast_the_grace_is_refused_in_time() {
    // A stream of five seconds, asked for 2.3 s after the signal, would be cut at the end of eight.
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
    let world = World::start(&[("models", &server)]);
    world.terminate();
    std::thread::sleep(Duration::from_millis(2_300));
    let (line, _) = call(world.front, &request("POST", "stream", PROMPT, "x"));
    assert!(line.contains("503"), "{line}");
    assert_eq!(server.count(), 0);
    assert_eq!(world.ended().0, Some(0));
}

#[test]
fn idle_callers_do_not_use_up_the_descriptors() {
    let server = good();
    let world = World::start(&[("plain", &server)]);
    // The settings allow 64 descriptors.
    let idle: Vec<TcpStream> = (0..200)
        .filter_map(|_| {
            let mut stream = TcpStream::connect(world.front).ok()?;
            let text = request("GET", "again", "", "");
            stream.write_all(text.as_bytes()).ok()?;
            let mut block = [0; 1_024];
            let length = stream.read(&mut block).ok()?;
            assert!(block[..length].starts_with(b"HTTP/1.1 200"));
            Some(stream)
        })
        .collect();
    assert_eq!(idle.len(), 200, "all were served");
    world.until("closed what is idle", || {
        world.status()["callers"]
            .as_u64()
            .is_some_and(|open| open <= 16)
    });
}

#[test]
fn metrics_count_by_account_within_a_bound() {
    let server = good();
    let world = World::start(&[("plain", &server)]);
    let mut many = config(2);
    let tenant = |number: usize| {
        let name = format!("account-{number}");
        json!({ "name": name, "apiKeys": [format!("key-{number}")], "priority": 1 })
    };
    many["tenants"] = (1..=40).map(tenant).collect();
    world.store.put("op/config", &many);
    world.until("took the tables", || {
        world.status()["generation"] == json!(2)
    });
    for number in 1..=40 {
        let text = request("GET", "again", "", "");
        let text = text.replace("key-1", &format!("key-{number}"));
        let (line, _) = call(world.front, &text);
        assert!(line.contains("200"), "{line}");
    }
    let (_, text) = call(world.control, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n");
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
