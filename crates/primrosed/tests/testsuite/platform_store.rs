//! Faults of the platform's store: what is in force stays in force, and what changed meanwhile is
//! taken over soon after.

use std::time::Duration;
use std::time::Instant;

use primrose_soak::plan::StoreFault;
use serde_json::json;

use crate::platform_world::call;
use crate::platform_world::config;
use crate::platform_world::reply;
use crate::platform_world::request;
use crate::platform_world::vouched;
use crate::platform_world::Server;
use crate::platform_world::World;

/// The users' bound on the time until a configuration is in force.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Most calls to a store in trouble meanwhile: two lists at a call each 0.05 s, which is the
/// shortest pause after a failure, and two calls a time where the history is forgotten.
const MOST_CALLS: u32 = 200;
/// How long a fault lasts: longer than a watch and all it is given to answer.
const FAULT_TIME: Duration = Duration::from_millis(2_500);

struct Case {
    fault: StoreFault,
    /// Whether the log has to say that the store was lost and is back.
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
    let server = Server::start(|seen, stream| reply(stream, "200 OK", &vouched(seen), "done"));
    let world = World::start(&[("plain", &server)]);
    let before = world.door.calls();
    world.door.fault.set(case.fault);
    std::thread::sleep(FAULT_TIME);
    let calls = world.door.calls() - before;
    assert!(calls <= MOST_CALLS, "{name:?}: {calls} calls");
    let (line, _) = call(world.front, &request("GET", "again", "", ""));
    assert!(line.contains("200"), "{name:?}: {line}");
    world.store.put("op/config", &config(2));
    world.store.put("servers/i-1", &server.entry("models"));
    world.door.fault.set(StoreFault::Well);
    let healed = Instant::now();
    world.until("took over what changed", || {
        let status = world.status();
        let servers = status["servers"].as_array().map(Vec::len);
        status["generation"] == json!(2) && servers == Some(2)
    });
    assert!(healed.elapsed() < IN_FORCE, "{name:?}");
    world.terminate();
    let (code, log) = world.ended();
    assert_eq!(code, Some(0), "{name:?}");
    for event in ["dependency_lost", "dependency_regained"] {
        assert_eq!(log.contains(event), case.is_outage, "{name:?}: {event}");
    }
}

#[test]
fn what_is_in_force_outlives_each_fault_and_changes_follow() {
    std::thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(|| check(case));
        }
    });
}

#[test]
fn a_gateway_that_starts_before_a_silent_store_becomes_ready_when_it_speaks() {
    let server = Server::start(|seen, stream| reply(stream, "200 OK", &vouched(seen), "done"));
    let world = World::start_empty();
    world.door.fault.set(StoreFault::Silent);
    world.store.put("op/config", &config(1));
    world.store.put("servers/i-0", &server.entry("plain"));
    std::thread::sleep(FAULT_TIME);
    assert_eq!(world.status()["ready"], json!(false));
    let (line, _) = call(world.front, &request("GET", "again", "", ""));
    assert!(line.contains("503"), "{line}");
    world.door.fault.set(StoreFault::Well);
    let healed = Instant::now();
    world.until("became ready", || world.status()["ready"] == json!(true));
    assert!(healed.elapsed() < IN_FORCE);
}
