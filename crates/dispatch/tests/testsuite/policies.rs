//! Prints a comparison of the scheduling policies that docs/design/fair-share.md discusses, without
//! checking the results.
//!
//! `cargo test --release -p primrose-dispatch --test testsuite policies -- --ignored --nocapture`

use std::time::Duration;

use crate::sim::Account;
use crate::sim::Scheduling;
use crate::sim::SimFleet;
use crate::sim::Topology;

const SEEDS: u64 = 3;
/// Initial period in which costs have not been learned yet and all accounts start at once.
const COLD_START: Duration = Duration::from_secs(60);
const MEASURED_TIME: Duration = Duration::from_secs(300);

/// Roughly the size of the auction floor's deployment.
const TOPOLOGY: Topology = Topology {
    zones: 3,
    routers: 3,
    servers: 7,
    slots: 4,
};

/// Sixteen accounts: three large ones, each at all routers of one zone, and small ones at one
/// router each.
fn accounts() -> Vec<Account> {
    let cost = 20.0..3000.0;
    let mut accounts = Vec::new();
    for zone in 0..3 {
        let routers = [zone * 3, zone * 3 + 1, zone * 3 + 2];
        let name = format!("large{zone}");
        accounts.push(Account::new(&name, &routers, 12 - 2 * zone, cost.clone()));
    }
    for small in 0..13 {
        // The first zone has the most small accounts.
        let router = [0, 0, 1, 1, 2, 2, 0, 1, 3, 4, 5, 6, 8][small];
        let name = format!("small{small}");
        accounts.push(Account::new(&name, &[router], 5, cost.clone()));
    }
    accounts
}

#[test]
#[ignore = "prints figures for the design note"]
fn print_policy_comparison() {
    let policies = [
        Scheduling::FleetFair,
        Scheduling::Threshold(0),
        Scheduling::Threshold(5000),
        Scheduling::Threshold(20_000),
        Scheduling::ZoneAlone,
        Scheduling::RouterAlone,
        Scheduling::Fcfs,
    ];
    for scheduling in policies {
        for seed in 1..=SEEDS {
            let mut fleet = SimFleet::new(TOPOLOGY, scheduling, seed);
            fleet.run(Duration::from_secs(1));
            fleet.accounts = accounts();
            fleet.run(COLD_START);
            let cold = fleet.record.gap;
            fleet.reset_measurements();
            fleet.run(MEASURED_TIME);
            let record = &fleet.record;
            println!(
                "{scheduling:?} seed {seed}: gap {cold:.0} units in the first minute, then {:.0}, \
                 pair {} slots, busy {:.2} %, longest idle {} ms, \
                 {} messages",
                record.gap,
                record.max_pair_slots,
                record.busy_slot_steps as f64 / record.demanded_slot_steps as f64 * 100.0,
                record.max_idle.as_millis(),
                record.messages_sent,
            );
        }
    }
}
