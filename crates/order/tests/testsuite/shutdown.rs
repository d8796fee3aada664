//! Graceful shutdown of a process: it releases its keys, then its lease.

use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_order::Action;
use primrose_store::store::Store;

use crate::fleet::Fleet;
use crate::servers::violations;

/// Time in which an order is sent, but its load does not end.
const SEND_TIME: Duration = Duration::from_secs(10);
/// Time in which the servers reach their desired state.
const SETTLE: Duration = Duration::from_secs(600);

struct Case {
    name: &'static str,
    checks: bool,
    /// Whether the keys are released before the lease.
    releases_keys: bool,
}

const CASES: [Case; 4] = [
    Case {
        name: "checks, releases keys",
        checks: true,
        releases_keys: true,
    },
    Case {
        name: "checks, keeps keys",
        checks: true,
        releases_keys: false,
    },
    Case {
        name: "does not check, releases keys",
        checks: false,
        releases_keys: true,
    },
    Case {
        name: "does not check, keeps keys",
        checks: false,
        releases_keys: false,
    },
];

#[test]
fn after_a_graceful_shutdown_nothing_is_held_and_another_process_takes_over() {
    for case in CASES {
        let mut fleet = Fleet::new(2, &[case.checks]);
        fleet.set_desired(0, "2", "");
        fleet.run(SEND_TIME);
        assert_eq!(fleet.servers.sent().len(), 1, "{}", case.name);
        fleet.clear_targets(0);
        if case.releases_keys {
            fleet.run_process(0);
        }
        assert_eq!(
            fleet.processes[0].writer.is_empty(),
            case.releases_keys,
            "{}",
            case.name
        );
        let now = fleet.clock.now();
        let process = &mut fleet.processes[0];
        let action = process.writer.release_lease(now).expect("a lease was held");
        let Action::RevokeLease { lease } = action.clone() else {
            panic!("{}: {action:?}", case.name);
        };
        process.executor.perform(action);
        assert!(fleet.store.renew(&lease).is_err(), "{}", case.name);
        let writer = &mut fleet.processes[0].writer;
        assert!(writer.is_empty(), "{}", case.name);
        assert_eq!(writer.release_lease(now), None);
        for entry in fleet.store.list("").unwrap() {
            assert_eq!(entry.lease, None, "{}: {}", case.name, entry.key);
        }
        fleet.set_desired(1, "3", "");
        fleet.run(SETTLE);
        assert_eq!(fleet.versions(), ["3"], "{}", case.name);
        let found = violations(&fleet.servers.sent());
        assert!(found.is_empty(), "{}: {found:?}", case.name);
    }
}
