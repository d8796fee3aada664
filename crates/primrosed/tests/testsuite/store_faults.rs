//! Faults of the platform's store: the active configuration stays active, and changes made during a
//! fault are applied soon after it ends.

use std::time::Duration;
use std::time::Instant;

use primrose_soak::plan::StoreFault;
use serde_json::json;

use crate::gateway_fixture::call;
use crate::gateway_fixture::config;
use crate::gateway_fixture::reply;
use crate::gateway_fixture::request;
use crate::gateway_fixture::signed_headers_for;
use crate::gateway_fixture::GatewayFixture;
use crate::gateway_fixture::Server;
use crate::gateway_fixture::SnapshotPeer;

/// Required maximum time until a changed configuration is active.
const MAX_ACTIVATION_TIME: Duration = Duration::from_secs(3);
/// Maximum number of calls to the store during a fault: two lists with one call each per 0.05 s,
/// the minimum pause after a failure, and two calls each where the history is compacted.
const MAX_CALLS: u32 = 200;
/// Duration of a fault: longer than a watch and its response timeout.
const FAULT_DURATION: Duration = Duration::from_millis(2_500);

struct Case {
    fault: StoreFault,
    /// Whether the log must contain events for the loss and the return of the store.
    is_outage: bool,
}

const CASES: [Case; 5] = [
    Case {
        fault: StoreFault::Silent,
        is_outage: true,
    },
    Case {
        fault: StoreFault::Lost,
        is_outage: true,
    },
    Case {
        fault: StoreFault::Refusing,
        is_outage: true,
    },
    Case {
        fault: StoreFault::Garbled,
        is_outage: true,
    },
    Case {
        fault: StoreFault::Compacted,
        is_outage: false,
    },
];

fn check(case: &Case) {
    let name = case.fault;
    let server =
        Server::start(|seen, stream| reply(stream, "200 OK", &signed_headers_for(seen), "done"));
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    let before = fixture.store_endpoint.calls();
    fixture.store_endpoint.fault.set(case.fault);
    std::thread::sleep(FAULT_DURATION);
    let calls = fixture.store_endpoint.calls() - before;
    assert!(calls <= MAX_CALLS, "{name:?}: {calls} calls");
    let (line, _) = call(fixture.front, &request("GET", "again", "", ""));
    assert!(line.contains("200"), "{name:?}: {line}");
    fixture.store.put("op/config", &config(2));
    fixture.store.put("servers/i-1", &server.entry("models"));
    fixture.store_endpoint.fault.set(StoreFault::Well);
    let recovered_at = Instant::now();
    fixture.wait_until("applied the changes", || {
        let status = fixture.status();
        let servers = status["servers"].as_array().map(Vec::len);
        status["generation"] == json!(2) && servers == Some(2)
    });
    assert!(recovered_at.elapsed() < MAX_ACTIVATION_TIME, "{name:?}");
    fixture.terminate();
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{name:?}");
    for event in ["dependency_lost", "dependency_regained"] {
        assert_eq!(log.contains(event), case.is_outage, "{name:?}: {event}");
    }
}

#[test]
fn active_configuration_survives_store_faults_and_changes_follow() {
    std::thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(|| check(case));
        }
    });
}

#[test]
fn a_gateway_started_with_a_silent_store_becomes_ready_once_it_answers() {
    let server =
        Server::start(|seen, stream| reply(stream, "200 OK", &signed_headers_for(seen), "done"));
    let fixture = GatewayFixture::start_empty();
    fixture.store_endpoint.fault.set(StoreFault::Silent);
    fixture.store.put("op/config", &config(1));
    fixture.store.put("servers/i-0", &server.entry("plain"));
    std::thread::sleep(FAULT_DURATION);
    assert_eq!(fixture.status()["ready"], json!(false));
    let (line, _) = call(fixture.front, &request("GET", "again", "", ""));
    assert!(line.contains("503"), "{line}");
    fixture.store_endpoint.fault.set(StoreFault::Well);
    let recovered_at = Instant::now();
    fixture.wait_until("became ready", || fixture.status()["ready"] == json!(true));
    assert!(recovered_at.elapsed() < MAX_ACTIVATION_TIME);
}

/// Numbers of other gateways: a small fleet, the largest in which all read the tables, a large one.
const OTHER_GATEWAYS: [u32; 3] = [0, 11, 75];

fn check_lost_watch(others: u32) {
    let server =
        Server::start(|seen, stream| reply(stream, "200 OK", &signed_headers_for(seen), "done"));
    let mut fixture = GatewayFixture::start(&[("plain", &server)]);
    if others > 0 {
        fixture.announce_gateways(others);
    }
    let is_in_force = |version: u64| fixture.status()["generation"] == json!(version);
    fixture.store.put("op/config", &config(2));
    fixture.wait_until("applied version 2", || is_in_force(2));
    // The next watch is under way.
    std::thread::sleep(Duration::from_millis(200));
    fixture.store_endpoint.fault.set(StoreFault::Silent);
    fixture.store.put("op/config", &config(3));
    std::thread::sleep(Duration::from_millis(200));
    fixture.store_endpoint.fault.set(StoreFault::Well);
    let recovered_at = Instant::now();
    fixture.wait_until("applied version 3", || is_in_force(3));
    let elapsed = recovered_at.elapsed();
    assert!(
        elapsed < MAX_ACTIVATION_TIME,
        "{others} others: {elapsed:?}"
    );
}

/// Guards against tables that come into force late in a large fleet, where a watch whose answer was
/// lost went on for ten seconds.
#[test]
fn tables_are_soon_in_force_after_the_answer_to_a_watch_was_lost() {
    std::thread::scope(|scope| {
        for others in OTHER_GATEWAYS {
            scope.spawn(move || check_lost_watch(others));
        }
    });
}

/// Guards against a second wait for a dead connection: after a timeout, the next call took an idle
/// connection that had fallen silent with the first.
#[test]
fn changes_are_soon_known_after_all_connections_fell_silent() {
    let server =
        Server::start(|seen, stream| reply(stream, "200 OK", &signed_headers_for(seen), "done"));
    // Just started, the gateway has idle connections from its first calls.
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    fixture.store_links.silence_connections();
    fixture.store.put("op/config", &config(2));
    fixture.store.put("servers/i-1", &server.entry("models"));
    let silenced_at = Instant::now();
    fixture.wait_until("applied the changes", || {
        let status = fixture.status();
        let servers = status["servers"].as_array().map(Vec::len);
        status["generation"] == json!(2) && servers == Some(2)
    });
    let elapsed = silenced_at.elapsed();
    assert!(elapsed < MAX_ACTIVATION_TIME, "{elapsed:?}");
}

/// Response times of another gateway, as a gateway sees them that does not keep up.
const SNAPSHOT_DELAYS: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(1_200)];

/// Guards against old tables at a gateway that does not keep up: the fetch of a snapshot timed out
/// after 0.7 s each time, and was begun anew.
#[test]
fn tables_of_another_gateway_are_soon_in_force_though_fetching_them_is_slow() {
    for delay in SNAPSHOT_DELAYS {
        let server = Server::start(|seen, stream| {
            reply(stream, "200 OK", &signed_headers_for(seen), "done")
        });
        let mut fixture = GatewayFixture::start(&[("plain", &server)]);
        fixture.store_endpoint.fault.set(StoreFault::Refusing);
        let peer = SnapshotPeer {
            tables: config(2),
            delay,
        };
        fixture.announce_snapshot(peer);
        let announced_at = Instant::now();
        fixture.wait_until("applied version 2", || {
            fixture.status()["generation"] == json!(2)
        });
        let elapsed = announced_at.elapsed();
        assert!(elapsed < MAX_ACTIVATION_TIME, "{delay:?}: {elapsed:?}");
    }
}
