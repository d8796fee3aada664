//! Restores of the platform's store from an older copy: nothing that a gateway keeps of the state
//! before may hide what is in the store afterwards.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use primrose_soak::plan::StoreFault;
use primrose_soak::store::Store;
use serde_json::json;
use serde_json::Value;

use crate::gateway_fixture::call;
use crate::gateway_fixture::config;
use crate::gateway_fixture::reply;
use crate::gateway_fixture::signed_headers_for;
use crate::gateway_fixture::GatewayFixture;
use crate::gateway_fixture::Server;

/// Number of writes that move the store past any revision that a test has seen before.
const MANY_WRITES: u32 = 200;
/// Entry of the gateway under test in the store.
const OWN_ENTRY: &str = "primrosehall/gateways/front-a-1";
/// Entry of another gateway.
const OTHER_ENTRY: &str = "primrosehall/gateways/front-b-1";
/// Length of the leases of the other gateway, longer than a test takes.
const LEASE_TTL: Duration = Duration::from_secs(90);
/// A quarantine that is in the store when the gateway starts.
const QUARANTINE: &str = "primrosehall/quarantines/5c1e07a2";

fn start_gateway() -> GatewayFixture {
    let server =
        Server::start(|seen, stream| reply(stream, "200 OK", &signed_headers_for(seen), "done"));
    let fixture = GatewayFixture::start(&[("plain", &server)]);
    fixture.wait_until("registered", || fixture.store.value(OWN_ENTRY).is_some());
    fixture
}

fn write_often(fixture: &GatewayFixture) {
    for number in 0..MANY_WRITES {
        fixture.store.put("servers/other", &json!(number));
    }
}

struct Case {
    name: &'static str,
    /// Whether the gateway reaches the store again only after its revisions have grown.
    cut_off: bool,
    /// Whether the store gets past the revision that the gateway has seen.
    passes_revision: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "noticed at once",
        cut_off: false,
        passes_revision: false,
    },
    Case {
        name: "revisions grow before the next call",
        cut_off: false,
        passes_revision: true,
    },
    Case {
        name: "cut off until revisions have grown",
        cut_off: true,
        passes_revision: true,
    },
];

fn check_changes(case: &Case) {
    let fixture = start_gateway();
    let copy = fixture.store.copy();
    write_often(&fixture);
    fixture.store.put("op/config", &config(2));
    fixture.wait_until("saw version 2", || {
        fixture.status()["generation"] == json!(2)
    });
    let list_version = |status: &Value| status["list_version"].as_u64();
    let version_before = list_version(&fixture.status());
    if case.cut_off {
        fixture.store_endpoint.fault.set(StoreFault::Silent);
    }
    let added =
        Server::start(|seen, stream| reply(stream, "200 OK", &signed_headers_for(seen), "done"));
    fixture.store.restore(&copy);
    fixture.store.put("op/config", &config(3));
    fixture.store.put("servers/i-1", &added.entry("models"));
    if case.passes_revision {
        write_often(&fixture);
        write_often(&fixture);
    }
    if case.cut_off {
        std::thread::sleep(Duration::from_millis(1_200));
        fixture.store_endpoint.fault.set(StoreFault::Well);
    }
    fixture.wait_until(case.name, || {
        let status = fixture.status();
        let servers = status["servers"].as_array().map(Vec::len);
        status["generation"] == json!(3) && servers == Some(2)
    });
    // Other gateways compare it with theirs.
    let version = list_version(&fixture.status());
    assert!(version > version_before, "{}", case.name);
}

/// Guards against changes that are missed for good because their revisions were seen before.
#[test]
fn changes_after_a_restore_are_seen_whatever_their_revisions() {
    std::thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(|| check_changes(case));
        }
    });
}

/// Guards against a gateway that is not listed, and one that ends the lease of another.
#[test]
fn lease_from_before_a_restore_is_replaced_and_never_used_again() {
    let fixture = GatewayFixture::start_empty();
    fixture.wait_until("registered", || fixture.store.value(OWN_ENTRY).is_some());
    fixture.store_endpoint.fault.set(StoreFault::Silent);
    // The first lease is given out again.
    fixture.store.restore(&Store::default().copy());
    fixture.store.put("op/config", &config(1));
    fixture
        .store
        .put_leased(OTHER_ENTRY, b"127.0.0.2", LEASE_TTL);
    fixture.store_endpoint.fault.set(StoreFault::Well);
    fixture.wait_until("registered again", || {
        fixture.store.value(OWN_ENTRY).is_some()
    });
    let store = Arc::clone(&fixture.store);
    fixture.terminate();
    let (code, _) = fixture.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(store.value(OTHER_ENTRY).is_some(), "its lease was ended");
    assert!(store.value(OWN_ENTRY).is_none(), "its own lease goes on");
}

/// Guards against parts that crash servers again after all gateways were restarted.
#[test]
fn quarantine_that_a_restore_lost_is_written_again() {
    let fixture = GatewayFixture::start_empty();
    let copy = fixture.store.copy();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_ms = wall.expect("a time after 1970").as_millis();
    let value = json!({ "sinceMs": wall_ms, "untilMs": wall_ms + 600_000, "count": 1 });
    fixture.store.put(QUARANTINE, &value);
    // Quarantines are read a second time some seconds after the start.
    fixture.wait_until("adopted the quarantine", || {
        let (_, page) = call(fixture.control, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n");
        String::from_utf8_lossy(&page).contains("parts_quarantined 1")
    });
    fixture.store.restore(&copy);
    fixture.wait_until("wrote the quarantine again", || {
        fixture.store.value(QUARANTINE).is_some()
    });
}
