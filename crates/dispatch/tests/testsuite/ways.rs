//! The ways that docs/design/fair-share.md weighs, side by side; printed, not checked.
//!
//! `cargo test --release -p primrose-dispatch --test testsuite ways -- --ignored --nocapture`

use std::time::Duration;

use crate::fleet::Account;
use crate::fleet::Fleet;
use crate::fleet::Order;
use crate::fleet::Shape;

const SEEDS: u64 = 3;
/// Nothing is known of costs yet, and all accounts come at once.
const COLD: Duration = Duration::from_secs(60);
const TIME: Duration = Duration::from_secs(300);

/// About the size of the auction floor's deployment.
const SHAPE: Shape = Shape {
    zones: 3,
    routers: 3,
    servers: 7,
    slots: 4,
};

/// Sixteen accounts: three large, each with one zone's routers, and small ones at one router.
fn accounts() -> Vec<Account> {
    let cost = 20.0..3000.0;
    let mut accounts = Vec::new();
    for zone in 0..3 {
        let routers = [zone * 3, zone * 3 + 1, zone * 3 + 2];
        let name = format!("large{zone}");
        accounts.push(Account::new(&name, &routers, 12 - 2 * zone, cost.clone()));
    }
    for small in 0..13 {
        // More of them in the first zone.
        let router = [0, 0, 1, 1, 2, 2, 0, 1, 3, 4, 5, 6, 8][small];
        let name = format!("small{small}");
        accounts.push(Account::new(&name, &[router], 5, cost.clone()));
    }
    accounts
}

#[test]
#[ignore = "prints figures for the design note"]
fn print_ways() {
    let ways = [
        Order::FleetFair,
        Order::Threshold(0),
        Order::Threshold(5000),
        Order::Threshold(20_000),
        Order::ZoneAlone,
        Order::RouterAlone,
        Order::Fcfs,
    ];
    for order in ways {
        for seed in 1..=SEEDS {
            let mut fleet = Fleet::new(SHAPE, order, seed);
            fleet.run(Duration::from_secs(1));
            fleet.accounts = accounts();
            fleet.run(COLD);
            let cold = fleet.record.gap;
            fleet.measure_anew();
            fleet.run(TIME);
            let record = &fleet.record;
            println!(
                "{order:?} seed {seed}: gap {cold:.0} units in the first minute, then {:.0}, \
                 pair {} slots, busy {:.2} %, longest idle {} ms, \
                 {} messages",
                record.gap,
                record.pair_slots,
                record.busy as f64 / record.wanted as f64 * 100.0,
                record.longest_idle.as_millis(),
                record.sent,
            );
        }
    }
}
