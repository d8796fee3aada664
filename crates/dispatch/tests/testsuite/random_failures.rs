//! Invariants during and after random failures, single and combined.

use std::time::Duration;

use primrose_dispatch::timing::DIGEST_INTERVAL;
use primrose_dispatch::timing::RENEWAL_INTERVAL;
use primrose_share::GapBound;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::sim::Account;
use crate::sim::LinkFaults;
use crate::sim::RequestState;
use crate::sim::Scheduling;
use crate::sim::SimFleet;
use crate::sim::Topology;
use crate::sim::INTER_ZONE_DELAY;
use crate::sim::SLOT_RATE;

const TOPOLOGY: Topology = Topology {
    zones: 3,
    routers: 3,
    servers: 2,
    slots: 3,
};
/// Maximum cost of a request in units: three seconds of a slot.
const MAX_COST: f64 = 300.0;
/// Period in which failures are injected, in milliseconds.
const FAILURE_PERIOD_MS: u64 = 15_000;
/// Time after the last failure within which the fleet must have recovered.
const RECOVERY: Duration = Duration::from_secs(12);
const MAX_IDLE: Duration = Duration::from_millis(25);
/// Default number of cases and seed, as in CI; environment variables override them for longer runs.
const DEFAULT_CASES: u64 = 12;
const DEFAULT_SEED: u64 = 20_261_204;

#[derive(Debug, Clone)]
enum Failure {
    /// Another router becomes the holder.
    Holder { zone: usize, router: usize },
    /// A router restarts and loses its state.
    Restart { router: usize },
    /// Two zones are partitioned for a time.
    Partition { zone: usize, millis: u64 },
}

/// Request pattern of the accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    /// Every account always has requests waiting.
    Backlogged,
    /// Requests arrive at random at six tenths of the fleet's capacity, most of them in one zone.
    Fluctuating,
}

#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
    load: Load,
    faults: LinkFaults,
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
                router: zone * TOPOLOGY.routers + below(g, 3) as usize,
            },
            1 => Self::Restart {
                router: below(g, 9) as usize,
            },
            _ => Self::Partition {
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
            .map(|_| (below(g, FAILURE_PERIOD_MS), Failure::arbitrary(g)))
            .collect();
        failures.sort_by_key(|(at, _)| *at);
        // Half of the plans have no link faults.
        let part = below(g, 2) as f64;
        Self {
            seed: u64::arbitrary(g),
            load: if bool::arbitrary(g) {
                Load::Backlogged
            } else {
                Load::Fluctuating
            },
            faults: LinkFaults {
                loss: part * below(g, 10) as f64 / 100.0,
                duplication: part * below(g, 20) as f64 / 100.0,
                max_delay: Duration::from_millis(below(g, 300)).mul_f64(part),
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
        if self.faults != LinkFaults::default() {
            let mut plan = self.clone();
            plan.faults = LinkFaults::default();
            smaller.push(plan);
        }
        Box::new(smaller.into_iter())
    }
}

fn accounts(load: Load) -> Vec<Account> {
    let cost = 20.0..MAX_COST;
    let mut accounts = vec![
        Account::new("ward", &[0, 1, 2], 6, cost.clone()),
        Account::new("parish", &[4, 5], 3, cost.clone()),
        Account::new("temple", &[6, 7], 3, cost.clone()),
        Account::new("shrine", &[3, 8], 2, cost),
    ];
    if load == Load::Fluctuating {
        let served = f64::from(TOPOLOGY.total_slots()) * SLOT_RATE / ((20.0 + MAX_COST) / 2.0);
        for account in &mut accounts {
            let part = account.backlog as f64 / 34.0;
            account.backlog = 0;
            account.rate = served * 0.6 * part;
        }
    }
    accounts
}

/// Runs the failures of a plan; returns the number of dispatchers that each zone had.
fn inject_failures(fleet: &mut SimFleet, plan: &Plan) -> [u32; TOPOLOGY.zones] {
    let start = fleet.now;
    let mut holders = [1; TOPOLOGY.zones];
    let mut heals = Vec::new();
    fleet.faults = plan.faults;
    for (at, failure) in &plan.failures {
        let at = start + Duration::from_millis(*at);
        heal_due(fleet, &mut heals, at);
        fleet.run_until(at);
        match *failure {
            Failure::Holder { zone, router } => {
                holders[zone] += u32::from(fleet.holder(zone) != router);
                fleet.change_holder(zone, router);
            }
            Failure::Restart { router } => {
                let zone = router / TOPOLOGY.routers;
                holders[zone] += u32::from(fleet.holder(zone) == router);
                fleet.restart(router);
            }
            Failure::Partition { zone, millis } => {
                let other = (zone + 1) % TOPOLOGY.zones;
                fleet.set_partitioned(zone, other, true);
                heals.push((at + Duration::from_millis(millis), zone, other));
            }
        }
    }
    let end = start + Duration::from_millis(FAILURE_PERIOD_MS);
    heal_due(fleet, &mut heals, Duration::MAX);
    fleet.run_until(end);
    fleet.faults = LinkFaults::default();
    holders
}

fn heal_due(fleet: &mut SimFleet, heals: &mut Vec<(Duration, usize, usize)>, until: Duration) {
    heals.sort();
    while heals.first().is_some_and(|(at, ..)| *at <= until) {
        let (at, a, b) = heals.remove(0);
        fleet.run_until(at);
        fleet.set_partitioned(a, b, false);
    }
}

fn bound(fleet: &SimFleet) -> GapBound {
    GapBound {
        threshold: 1000,
        max_request_cost: MAX_COST as u64,
        slots: fleet.record.max_pair_slots,
        rate: f64::from(TOPOLOGY.total_slots()) * SLOT_RATE,
        delay: DIGEST_INTERVAL + INTER_ZONE_DELAY + RENEWAL_INTERVAL,
    }
}

fn check_plan(plan: &Plan) -> Result<(), String> {
    let mut fleet = SimFleet::new(TOPOLOGY, Scheduling::FleetFair, plan.seed);
    fleet.run(Duration::from_secs(1));
    fleet.accounts = accounts(plan.load);
    let holders = inject_failures(&mut fleet, plan);
    for backend in fleet.backends.values() {
        // Each of a zone's dispatchers admits up to the limit.
        let allowed = (TOPOLOGY.slots * holders[backend.zone]) as usize;
        if backend.max_jobs > allowed {
            return Err(format!(
                "{} attempts on one server, {allowed} allowed",
                backend.max_jobs
            ));
        }
    }
    fleet.run(RECOVERY);
    fleet.reset_measurements();
    fleet.run(Duration::from_secs(8));
    check_recovered(&fleet)?;
    fleet.accounts.clear();
    fleet.run(Duration::from_secs(30));
    check_drained(&fleet)
}

fn check_recovered(fleet: &SimFleet) -> Result<(), String> {
    let record = &fleet.record;
    if record.max_idle > MAX_IDLE + INTER_ZONE_DELAY * 2 {
        return Err(format!(
            "slot idle for {:?} while requests wait",
            record.max_idle
        ));
    }
    let max_jobs = fleet.backends.values().map(|b| b.max_jobs).max();
    if max_jobs > Some(TOPOLOGY.slots as usize) {
        return Err(format!(
            "{max_jobs:?} attempts on one server after recovery"
        ));
    }
    let bound = bound(fleet).gap() as f64;
    if record.gap > bound {
        return Err(format!("gap {} above {bound}", record.gap));
    }
    Ok(())
}

fn check_drained(fleet: &SimFleet) -> Result<(), String> {
    let record = &fleet.record;
    let (waits, runs) = (
        record.count(RequestState::Waiting),
        record.count(RequestState::Running),
    );
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
fn invariants_hold_under_random_failures() {
    let plans = setting("PRIMROSE_PLANS", DEFAULT_CASES);
    let seed = setting("PRIMROSE_SEED", DEFAULT_SEED);
    fn property(plan: Plan) -> Result<bool, String> {
        check_plan(&plan).map(|()| true)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10, seed))
        .tests(plans)
        .quickcheck(property as fn(Plan) -> Result<bool, String>);
}
