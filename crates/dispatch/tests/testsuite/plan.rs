//! Random failures, one after another and together, and what must hold during and after them.

use std::time::Duration;

use primrose_dispatch::timing::DIGEST_EVERY;
use primrose_dispatch::timing::RENEW_EVERY;
use primrose_share::GapBound;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::fleet::Account;
use crate::fleet::Fate;
use crate::fleet::Faults;
use crate::fleet::Fleet;
use crate::fleet::Order;
use crate::fleet::Shape;
use crate::fleet::FAR;
use crate::fleet::SLOT_RATE;

const SHAPE: Shape = Shape {
    zones: 3,
    routers: 3,
    servers: 2,
    slots: 3,
};
/// Largest cost: three seconds of a slot.
const MOST: f64 = 300.0;
/// Failures happen within this time.
const TROUBLE_MS: u64 = 15_000;
/// After the last failure, everything is as without failures within this time.
const RECOVERY: Duration = Duration::from_secs(12);
const IDLE: Duration = Duration::from_millis(25);
/// Cases in CI, and where they start; the environment may set others for a longer search.
const PLANS: u64 = 12;
const SEED: u64 = 20_261_204;

#[derive(Debug, Clone)]
enum Failure {
    /// Another router becomes holder.
    Holder { zone: usize, router: usize },
    /// A router dies and comes back empty.
    Restart { router: usize },
    /// Two zones are cut off from each other for a time.
    Cut { zone: usize, millis: u64 },
}

/// How the accounts call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    /// Each has work waiting at all times.
    Backlogged,
    /// At random times, at six tenths of what the fleet can serve, most of it in one zone.
    Flapping,
}

#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
    load: Load,
    faults: Faults,
    failures: Vec<(u64, Failure)>,
}

fn below(g: &mut Gen, end: u64) -> u64 {
    u64::arbitrary(g) % end
}

impl Arbitrary for Failure {
    fn arbitrary(g: &mut Gen) -> Self {
        let zone = below(g, 3) as usize;
        match below(g, 3) {
            0 => Self::Holder {
                zone,
                router: zone * SHAPE.routers + below(g, 3) as usize,
            },
            1 => Self::Restart {
                router: below(g, 9) as usize,
            },
            _ => Self::Cut {
                zone,
                millis: below(g, 8000),
            },
        }
    }
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = below(g, 6);
        let mut failures: Vec<_> = (0..count)
            .map(|_| (below(g, TROUBLE_MS), Failure::arbitrary(g)))
            .collect();
        failures.sort_by_key(|(at, _)| *at);
        // Half of the plans have sound links.
        let part = below(g, 2) as f64;
        Self {
            seed: u64::arbitrary(g),
            load: if bool::arbitrary(g) {
                Load::Backlogged
            } else {
                Load::Flapping
            },
            faults: Faults {
                loss: part * below(g, 10) as f64 / 100.0,
                double: part * below(g, 20) as f64 / 100.0,
                late: Duration::from_millis(below(g, 300)).mul_f64(part),
            },
            failures,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let mut smaller = Vec::new();
        for skip in 0..self.failures.len() {
            let mut plan = self.clone();
            plan.failures.remove(skip);
            smaller.push(plan);
        }
        if self.faults != Faults::default() {
            let mut plan = self.clone();
            plan.faults = Faults::default();
            smaller.push(plan);
        }
        Box::new(smaller.into_iter())
    }
}

fn accounts(load: Load) -> Vec<Account> {
    let cost = 20.0..MOST;
    let mut accounts = vec![
        Account::new("ward", &[0, 1, 2], 6, cost.clone()),
        Account::new("parish", &[4, 5], 3, cost.clone()),
        Account::new("temple", &[6, 7], 3, cost.clone()),
        Account::new("shrine", &[3, 8], 2, cost),
    ];
    if load == Load::Flapping {
        let served = f64::from(SHAPE.total_slots()) * SLOT_RATE / ((20.0 + MOST) / 2.0);
        for account in &mut accounts {
            let part = account.depth as f64 / 34.0;
            account.depth = 0;
            account.rate = served * 0.6 * part;
        }
    }
    accounts
}

/// Runs the troubled part; returns how many dispatchers each zone had.
fn trouble(fleet: &mut Fleet, plan: &Plan) -> [u32; SHAPE.zones] {
    let start = fleet.now;
    let mut holders = [1; SHAPE.zones];
    let mut joins = Vec::new();
    fleet.faults = plan.faults;
    for (at, failure) in &plan.failures {
        let at = start + Duration::from_millis(*at);
        join_due(fleet, &mut joins, at);
        fleet.run_until(at);
        match *failure {
            Failure::Holder { zone, router } => {
                holders[zone] += u32::from(fleet.holder(zone) != router);
                fleet.change_holder(zone, router);
            }
            Failure::Restart { router } => {
                let zone = router / SHAPE.routers;
                holders[zone] += u32::from(fleet.holder(zone) == router);
                fleet.restart(router);
            }
            Failure::Cut { zone, millis } => {
                let other = (zone + 1) % SHAPE.zones;
                fleet.set_cut(zone, other, true);
                joins.push((at + Duration::from_millis(millis), zone, other));
            }
        }
    }
    let end = start + Duration::from_millis(TROUBLE_MS);
    join_due(fleet, &mut joins, Duration::MAX);
    fleet.run_until(end);
    fleet.faults = Faults::default();
    holders
}

fn join_due(fleet: &mut Fleet, joins: &mut Vec<(Duration, usize, usize)>, until: Duration) {
    joins.sort();
    while joins.first().is_some_and(|(at, ..)| *at <= until) {
        let (at, a, b) = joins.remove(0);
        fleet.run_until(at);
        fleet.set_cut(a, b, false);
    }
}

fn bound(fleet: &Fleet) -> GapBound {
    GapBound {
        threshold: 1000,
        max_request_cost: MOST as u64,
        slots: fleet.record.pair_slots,
        rate: f64::from(SHAPE.total_slots()) * SLOT_RATE,
        delay: DIGEST_EVERY + FAR + RENEW_EVERY,
    }
}

fn holds(plan: &Plan) -> Result<(), String> {
    let mut fleet = Fleet::new(SHAPE, Order::FleetFair, plan.seed);
    fleet.run(Duration::from_secs(1));
    fleet.accounts = accounts(plan.load);
    let holders = trouble(&mut fleet, plan);
    for backend in fleet.backends.values() {
        // Each dispatcher of a zone admits up to the limit.
        let allowed = (SHAPE.slots * holders[backend.zone]) as usize;
        if backend.most > allowed {
            return Err(format!("{} on one server, allowed {allowed}", backend.most));
        }
    }
    fleet.run(RECOVERY);
    fleet.measure_anew();
    fleet.run(Duration::from_secs(8));
    check_recovered(&fleet)?;
    fleet.accounts.clear();
    fleet.run(Duration::from_secs(30));
    check_drained(&fleet)
}

fn check_recovered(fleet: &Fleet) -> Result<(), String> {
    let record = &fleet.record;
    if record.longest_idle > IDLE + FAR * 2 {
        return Err(format!(
            "slot idle beside work for {:?}",
            record.longest_idle
        ));
    }
    let most = fleet.backends.values().map(|b| b.most).max();
    if most > Some(SHAPE.slots as usize) {
        return Err(format!("{most:?} on one server after recovery"));
    }
    let bound = bound(fleet).gap() as f64;
    if record.gap > bound {
        return Err(format!("gap {} above {bound}", record.gap));
    }
    Ok(())
}

fn check_drained(fleet: &Fleet) -> Result<(), String> {
    let record = &fleet.record;
    let (waits, runs) = (record.count(Fate::Waits), record.count(Fate::Runs));
    if waits + runs > 0 {
        return Err(format!("{waits} wait and {runs} run at the end"));
    }
    for router in &fleet.routers {
        let Some(dispatcher) = &router.dispatcher else {
            continue;
        };
        let status = dispatcher.status(fleet.now);
        let busy: u32 = status.servers.iter().map(|s| s.busy).sum();
        if busy > 0 {
            return Err(format!("{busy} slots taken at the end: {status:?}"));
        }
    }
    Ok(())
}

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

#[test]
fn promises_hold_under_random_failures() {
    let plans = setting("PRIMROSE_PLANS", PLANS);
    let seed = setting("PRIMROSE_SEED", SEED);
    fn property(plan: Plan) -> Result<bool, String> {
        holds(&plan).map(|()| true)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10, seed))
        .tests(plans)
        .quickcheck(property as fn(Plan) -> Result<bool, String>);
}
