//! Requests that come late in the grace period of a planned stop.
//!
//! Guards against requests, among them ones that may not be repeated, that a gateway takes and cuts at
//! its exit without an answer.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use primrose_soak::wire::read_message;
use serde_json::json;

use crate::gateway_fixture::config;
use crate::gateway_fixture::reply;
use crate::gateway_fixture::request;
use crate::gateway_fixture::signed_headers_for;
use crate::gateway_fixture::GatewayFixture;
use crate::gateway_fixture::Server;
use crate::gateway_fixture::TIMEOUT;

/// Time limit of the routes, longer than the grace period of 8 s.
const LONG_LIMIT_MS: u64 = 12_000;
/// Deadline of callers whose requests end within the grace period.
const SHORT_DEADLINE_MS: u64 = 1_500;

struct Case {
    name: &'static str,
    route: &'static str,
    deadline_ms: u64,
    /// When the head is sent, after the signal.
    at: Duration,
    /// Time from the head to the body.
    body_after: Duration,
    /// Time that the server takes.
    takes: Duration,
    status: &'static str,
}

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

const CASES: [Case; 7] = [
    Case {
        name: "an order soon after the signal",
        route: "once",
        deadline_ms: LONG_LIMIT_MS,
        at: ms(500),
        body_after: ms(0),
        takes: ms(1_000),
        status: "200",
    },
    Case {
        name: "an order that outlasts the grace period",
        route: "once",
        deadline_ms: LONG_LIMIT_MS,
        at: ms(1_000),
        body_after: ms(0),
        takes: ms(10_000),
        status: "504",
    },
    Case {
        name: "a lookup that outlasts the grace period",
        route: "again",
        deadline_ms: LONG_LIMIT_MS,
        at: ms(1_000),
        body_after: ms(0),
        takes: ms(10_000),
        status: "504",
    },
    Case {
        name: "an order that may outlast the rest of the grace period",
        route: "once",
        deadline_ms: LONG_LIMIT_MS,
        at: ms(4_500),
        body_after: ms(0),
        takes: ms(5_000),
        status: "503",
    },
    Case {
        name: "an order whose body takes until then",
        route: "once",
        deadline_ms: LONG_LIMIT_MS,
        at: ms(500),
        body_after: ms(4_000),
        takes: ms(5_000),
        status: "503",
    },
    Case {
        name: "a short order late in the grace period",
        route: "once",
        deadline_ms: SHORT_DEADLINE_MS,
        at: ms(4_500),
        body_after: ms(0),
        takes: ms(1_000),
        status: "200",
    },
    Case {
        name: "a short order in the last moments",
        route: "once",
        deadline_ms: SHORT_DEADLINE_MS,
        at: ms(6_800),
        body_after: ms(0),
        takes: ms(1_200),
        status: "503",
    },
];

/// Sends the request of a case at its time; returns the status line, empty if no answer came.
fn send(case: &Case, number: usize, front: SocketAddr, signaled: Instant) -> String {
    let time = case.takes.as_millis();
    let text = request("POST", case.route, &format!("X-Time: {time}\r\n"), "body");
    let text = text.replace("r1", &format!("n{number}"));
    let text = text.replace("Ms: 4000", &format!("Ms: {}", case.deadline_ms));
    let (head, body) = text.split_at(text.len() - "body".len());
    std::thread::sleep(case.at.saturating_sub(signaled.elapsed()));
    let mut stream = TcpStream::connect(front).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    stream.write_all(head.as_bytes()).expect("sent");
    std::thread::sleep(case.body_after);
    stream.write_all(body.as_bytes()).expect("sent");
    let answer = read_message(&mut BufReader::new(stream));
    answer.map_or(String::new(), |answer| answer.line)
}

#[test]
fn late_requests_of_a_planned_stop_are_answered() {
    let server = Server::start(|seen, stream| {
        let time = seen.header("x-time").and_then(|text| text.parse().ok());
        let end = Instant::now() + ms(time.unwrap_or(0));
        let _ = stream.set_read_timeout(Some(ms(20)));
        while Instant::now() < end {
            // The gateway closes the connection of a request that it gives up.
            if matches!(stream.read(&mut [0; 1]), Ok(0)) {
                return false;
            }
        }
        let _ = stream.set_read_timeout(None);
        reply(stream, "200 OK", &signed_headers_for(seen), "done")
    });
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    let mut tables = config(2);
    for route in tables["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(LONG_LIMIT_MS);
    }
    fixture.store.put("op/config", &tables);
    fixture.wait_until("applied the tables", || {
        fixture.status()["generation"] == json!(2)
    });
    fixture.terminate();
    let signaled = Instant::now();
    let front = fixture.front;
    let lines = std::thread::scope(|scope| {
        let calls = CASES.each_ref().map(|case| {
            let number = CASES.iter().position(|known| known.name == case.name);
            let number = number.unwrap_or_default();
            scope.spawn(move || send(case, number, front, signaled))
        });
        calls.map(|call| call.join().expect("a call"))
    });
    assert_eq!(fixture.wait_for_exit().0, Some(0));
    let wrong: Vec<_> = CASES
        .iter()
        .zip(&lines)
        .filter(|(case, line)| !line.contains(case.status))
        .map(|(case, line)| (case.name, line))
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    let run = server.seen.lock().expect("seen");
    let run: Vec<&str> = run
        .iter()
        .filter_map(|seen| seen.header("x-time"))
        .collect();
    assert_eq!(run.len(), 4, "refused requests have not run: {run:?}");
}
