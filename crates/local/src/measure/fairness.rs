//! The service gap between client accounts, beside two baselines.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::cost::service;
use primrose_core::cost::Tokens;
use primrose_core::cost::OUTPUT_TOKEN_UNITS;
use primrose_core::id::AccountId;
use primrose_share::GapBound;

use crate::deployment::Deployment;
use crate::measure::figure::Figure;
use crate::measure::figure::Target;
use crate::measure::load::Crowd;
use crate::measure::load::Lengths;
use crate::measure::load::Load;
use crate::measure::sample;
use crate::measure::sample::Sample;
use crate::measure::Result;
use crate::shape::Policy;
use crate::shape::Shape;

/// Time until queues have filled and estimates have settled.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time of one run.
const RUN: Duration = Duration::from_secs(20);
/// Time between two samples.
const EVERY: Duration = Duration::from_millis(50);
/// Slots of each engine.
const SLOTS: u32 = 4;
/// Callers of a large account at each of its routers.
const LARGE_CALLERS: usize = 12;
/// Callers of a small account.
const SMALL_CALLERS: usize = 8;
/// Large accounts.
const LARGE: usize = 3;
/// Seed of the callers.
const SEED: u64 = 7;
/// Largest share of the router-alone baseline's gap that the fleet's may have.
const BASELINE_SHARE: f64 = 0.2;
/// How much longer the smallest account may wait beside a flooding neighbour.
const NEIGHBOUR_FACTOR: f64 = 1.5;
/// Lengths of answers.
const LENGTHS: Lengths = Lengths {
    short: 30,
    long: 150,
    long_every: 8,
};

/// The largest gap of a run.
#[derive(Debug, Clone)]
struct Gap {
    units: f64,
    pair: (AccountId, AccountId),
}

/// Measures the gap of the fleet and of the baselines, and the smallest account's wait.
pub fn fairness(name: &str, shape: &Shape) -> Result<Vec<Figure>> {
    let mut figures = Vec::new();
    let mut gaps = BTreeMap::new();
    for policy in [Policy::Fleet, Policy::Alone, Policy::FirstCome] {
        let gap = gap_of(shape, policy)?;
        println!(
            "# {name} {policy}: worst pair {} and {}",
            gap.pair.0, gap.pair.1
        );
        gaps.insert(policy.to_string(), gap.units);
    }
    let fleet = gaps[&Policy::Fleet.to_string()];
    let alone = gaps[&Policy::Alone.to_string()];
    let first = gaps[&Policy::FirstCome.to_string()];
    let bound = bound(shape);
    let gap = |what: &str, value, target| {
        Figure::new(
            format!("{name} service gap, {what}"),
            value,
            "units",
            target,
        )
    };
    figures.push(gap("fleet", fleet, Target::AtMost(bound)));
    figures.push(gap("router alone", alone, Target::None));
    figures.push(gap("first come", first, Target::None));
    figures.push(Figure::new(
        format!("{name} service gap, fleet over router alone"),
        fleet / alone,
        "ratio",
        Target::AtMost(BASELINE_SHARE),
    ));
    figures.push(neighbour(name, shape)?);
    Ok(figures)
}

/// Bound on the gap from its parts; see `docs/design/fair-share.md`.
fn bound(shape: &Shape) -> f64 {
    let engines: usize = shape.zones.iter().map(|zone| zone.engines).sum();
    let slots = u32::try_from(engines).unwrap_or(u32::MAX) * SLOTS;
    let largest = service(Tokens {
        input: LENGTHS.short,
        output: LENGTHS.long,
    });
    let per_token = match shape.engine.pace {
        primrose_standin::engine::Pace::Timed { token, .. } => token.as_secs_f64(),
        primrose_standin::engine::Pace::Manual => f64::INFINITY,
    };
    let rate = f64::from(slots) * OUTPUT_TOKEN_UNITS as f64 / per_token;
    GapBound {
        threshold: primrose_dispatch::policy::LENDING_THRESHOLD_UNITS,
        max_request_cost: largest,
        slots,
        rate,
        delay: Duration::from_secs(1) + primrose_dispatch::timing::DIGEST_INTERVAL,
    }
    .gap() as f64
}

fn with(shape: &Shape, policy: Policy) -> Shape {
    Shape {
        slots: (SLOTS, SLOTS),
        policy,
        ..shape.clone()
    }
}

/// Callers of all accounts: a few large ones at the routers of one zone, small ones at one router
/// each.
fn crowds(deployment: &Deployment) -> Vec<Crowd> {
    let mut crowds = Vec::new();
    let places = deployment.places();
    for (number, account) in deployment.shape().accounts.iter().enumerate() {
        let large = number < LARGE;
        let routers: Vec<usize> = if large {
            let first = deployment.zone_of(number * 3 % places).to_owned();
            (0..places)
                .filter(|place| deployment.zone_of(*place) == first)
                .collect()
        } else {
            vec![number % places]
        };
        for place in routers {
            crowds.push(Crowd {
                account: account.name.clone(),
                router: deployment.router(place).callers(),
                callers: if large { LARGE_CALLERS } else { SMALL_CALLERS },
                lengths: LENGTHS,
            });
        }
    }
    crowds
}

fn gap_of(shape: &Shape, policy: Policy) -> Result<Gap> {
    let deployment = Deployment::start(with(shape, policy))?;
    let crowds = crowds(&deployment);
    let mut outstanding: BTreeMap<AccountId, usize> = BTreeMap::new();
    for crowd in &crowds {
        *outstanding.entry(crowd.account.clone()).or_default() += crowd.callers;
    }
    let load = Load::start(&deployment, &crowds, SEED)?;
    std::thread::sleep(WARM_UP);
    let samples = sample::record(&deployment, RUN, EVERY);
    drop(load.stop());
    Ok(largest_gap(&samples, &outstanding))
}

/// Largest change of the difference between two accounts' service while both are backlogged.
fn largest_gap(samples: &[Sample], outstanding: &BTreeMap<AccountId, usize>) -> Gap {
    let accounts: Vec<&AccountId> = outstanding.keys().collect();
    let mut worst = Gap {
        units: 0.0,
        pair: (String::new(), String::new()),
    };
    for (place, one) in accounts.iter().enumerate() {
        for other in &accounts[place + 1..] {
            let units = pair_gap(samples, outstanding, one, other);
            if units > worst.units {
                let pair = ((*one).clone(), (*other).clone());
                worst = Gap { units, pair };
            }
        }
    }
    worst
}

fn pair_gap(
    samples: &[Sample],
    outstanding: &BTreeMap<AccountId, usize>,
    one: &str,
    other: &str,
) -> f64 {
    let mut worst: f64 = 0.0;
    let mut range: Option<(f64, f64)> = None;
    for sample in samples {
        let state = |account: &str| sample.accounts.get(account).copied().unwrap_or_default();
        let waits = |account: &str| state(account).running < outstanding[account];
        if !waits(one) || !waits(other) {
            range = None;
            continue;
        }
        let lead = state(one).service as f64 - state(other).service as f64;
        let (low, high) = range.unwrap_or((lead, lead));
        let (low, high) = (low.min(lead), high.max(lead));
        worst = worst.max(high - low);
        range = Some((low, high));
    }
    worst
}

/// Wait of the smallest account beside a flooding neighbour, over its wait without.
fn neighbour(name: &str, shape: &Shape) -> Result<Figure> {
    let calm = small_wait(shape, 1)?;
    let flooded = small_wait(shape, LARGE_CALLERS * 4)?;
    println!("# {name} smallest account's p95 wait: {calm:?} without, {flooded:?} beside a flood");
    Ok(Figure::new(
        format!("{name} smallest account's p95 wait, flooded over calm"),
        flooded.as_secs_f64() / calm.as_secs_f64(),
        "ratio",
        Target::AtMost(NEIGHBOUR_FACTOR),
    ))
}

/// 95th percentile of the last account's time to the first event; all accounts but the first keep
/// the pool busy, and the first has this many callers at each router.
fn small_wait(shape: &Shape, flood: usize) -> Result<Duration> {
    let deployment = Deployment::start(with(shape, Policy::Fleet))?;
    let accounts = &deployment.shape().accounts;
    let last = accounts.len() - 1;
    let mut crowds = Vec::new();
    for (number, account) in accounts.iter().enumerate() {
        let callers = match number {
            0 => flood,
            _ if number == last => 1,
            _ => SMALL_CALLERS,
        };
        let places = if number == 0 { deployment.places() } else { 1 };
        for place in 0..places {
            crowds.push(Crowd {
                account: account.name.clone(),
                router: deployment
                    .router((number + place) % deployment.places())
                    .callers(),
                callers,
                lengths: LENGTHS,
            });
        }
    }
    let load = Load::start(&deployment, &crowds, SEED)?;
    std::thread::sleep(WARM_UP);
    let begun = deployment.clock().now();
    std::thread::sleep(RUN);
    let calls = load.stop();
    let smallest = &accounts[last].name;
    let mine = calls
        .iter()
        .filter(|call| call.account == *smallest && call.begun >= begun);
    let mut waits: Vec<Duration> = mine.filter_map(|call| call.first).collect();
    Ok(percentile(&mut waits, 95))
}

/// Sorts the times and returns a percentile; zero of nothing.
pub(crate) fn percentile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort_unstable();
    let place = (times.len() * percent).div_ceil(100).saturating_sub(1);
    times.get(place).copied().unwrap_or_default()
}
