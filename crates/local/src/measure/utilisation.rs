//! How much of the slots is used while work waits, and how long a slot stays idle beside it.

use std::time::Duration;

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

/// Time until queues have filled.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time of one run.
const RUN: Duration = Duration::from_secs(15);
/// Time between two samples.
const EVERY: Duration = Duration::from_millis(5);
/// Slots of each engine.
const SLOTS: u32 = 4;
/// Callers for each slot, all in one zone.
const CALLERS_PER_SLOT: usize = 2;
/// Least share of slots that are busy while work waits.
const BUSY_SHARE: f64 = 0.98;
/// Longest time for which a slot may be idle beside waiting work, without the round trip.
const IDLE_TIME: Duration = Duration::from_millis(25);
/// One round trip between two zones over loopback, with the time between two samples.
const ROUND_TRIP: Duration = Duration::from_millis(10);
/// Seed of the callers.
const SEED: u64 = 11;
/// Lengths of answers.
const LENGTHS: Lengths = Lengths {
    short: 40,
    long: 120,
    long_every: 6,
};

/// What one run showed.
#[derive(Debug, Clone, Copy)]
struct Use {
    share: f64,
    longest_idle: Duration,
}

/// Measures utilisation with all work in one zone, beside the baselines.
pub fn utilisation(name: &str, shape: &Shape) -> Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for policy in [Policy::Fleet, Policy::FirstCome, Policy::Alone] {
        let used = measure(shape, policy)?;
        let fleet = policy == Policy::Fleet;
        let least = if fleet {
            Target::AtLeast(BUSY_SHARE)
        } else {
            Target::None
        };
        let most = (IDLE_TIME + ROUND_TRIP).as_secs_f64() * 1000.0;
        let most = if fleet {
            Target::AtMost(most)
        } else {
            Target::None
        };
        let share = format!("{name} slots busy while work waits, {policy}");
        figures.push(Figure::new(share, used.share, "share", least));
        let idle = format!("{name} longest idle beside waiting work, {policy}");
        let millis = used.longest_idle.as_secs_f64() * 1000.0;
        figures.push(Figure::new(idle, millis, "ms", most));
    }
    Ok(figures)
}

fn measure(shape: &Shape, policy: Policy) -> Result<Use> {
    let shape = Shape {
        slots: (SLOTS, SLOTS),
        policy,
        ..shape.clone()
    };
    let engines: usize = shape.zones.iter().map(|zone| zone.engines).sum();
    let deployment = Deployment::start(shape)?;
    let hot = deployment.zone_of(0).to_owned();
    let places: Vec<usize> = (0..deployment.places())
        .filter(|place| deployment.zone_of(*place) == hot)
        .collect();
    let total = engines * SLOTS as usize * CALLERS_PER_SLOT;
    let accounts = &deployment.shape().accounts;
    let mut crowds = Vec::new();
    for number in 0..total {
        crowds.push(Crowd {
            account: accounts[number % accounts.len()].name.clone(),
            router: deployment.router(places[number % places.len()]).callers(),
            callers: 1,
            lengths: LENGTHS,
        });
    }
    let load = Load::start(&deployment, &crowds, SEED)?;
    std::thread::sleep(WARM_UP);
    let samples = sample::record(&deployment, RUN, EVERY);
    drop(load.stop());
    Ok(used(&samples, total))
}

fn used(samples: &[Sample], callers: usize) -> Use {
    let slots = SLOTS as usize;
    let mut busy_time = 0.0;
    let mut slot_time = 0.0;
    let mut longest = Duration::ZERO;
    let mut idle_since = vec![None; samples.first().map_or(0, |sample| sample.busy.len())];
    for pair in samples.windows(2) {
        let (sample, next) = (&pair[0], &pair[1]);
        let running: usize = sample.busy.iter().sum();
        let waits = running < callers;
        let span = next.at.saturating_sub(sample.at).as_secs_f64();
        if waits {
            busy_time += span * running.min(slots * sample.busy.len()) as f64;
            slot_time += span * (slots * sample.busy.len()) as f64;
        }
        for (engine, busy) in sample.busy.iter().enumerate() {
            let idle = waits && *busy < slots;
            let since = idle_since[engine]
                .filter(|_| idle)
                .or(idle.then_some(sample.at));
            idle_since[engine] = since;
            if let Some(since) = since {
                longest = longest.max(sample.at.saturating_sub(since));
            }
        }
    }
    Use {
        share: busy_time / slot_time,
        longest_idle: longest,
    }
}
