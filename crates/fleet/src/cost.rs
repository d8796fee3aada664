//! How long work takes on a server at the moment, as it says in its answers, and the pools whose
//! servers say so.
//!
//! The speed of a server is an average over seconds; the reports follow faster changes. All gateways
//! may read the same report, and it is soon outdated. Its weight is therefore bounded and decays, so
//! that not all of them send their requests to the server that has reported least.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use primrose_core::clock::Mono;

use crate::entry::ShortId;
use crate::length::OutputLengths;
use crate::server::Load;
use crate::speed::PeerSpeeds;
use crate::speed::ServerSpeed;

/// Age from which on a report is not used.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Unit of reports in digests, in percent.
pub const PERCENT_UNIT: u32 = 10;
/// Unit of the ages of reports in digests, in milliseconds.
pub const AGE_UNIT_MS: u32 = 50;
/// Time in which the weight of a report decays by the factor e.
const REPORT_DECAY: Duration = Duration::from_millis(600);
/// Bounds of the factor on the expected wait. A slow server sends requests to many others, a fast one
/// draws those of all gateways to itself: with 0.5, twelve gateways that had read the same report sent
/// 44 of 120 requests to one of ten servers.
const FACTOR_RANGE: (f64, f64) = (0.75, 2.0);
/// Bounds of a report, as a factor of the usual time.
const REPORT_RANGE: (f64, f64) = (0.05, 20.0);
/// Time over which the reports of a server are averaged; about that of the sums of its speed.
const MEAN_TIME: Duration = Duration::from_secs(4);
/// Longest time for which one report counts in the mean.
const MAX_REPORT_SPAN: Duration = Duration::from_millis(500);
/// Time without reports after which the mean is halfway back to the usual time.
const MEAN_LIFETIME: Duration = Duration::from_secs(10);
/// Time after the last report of a pool's servers for which this gateway publishes that they report.
/// Only reports that came from servers are published; otherwise gateways would renew them for one
/// another when the servers report no more.
const PUBLISH_TIME: Duration = Duration::from_secs(10);
/// Time after the last report, or the last digest that names the pool, for which the pool is
/// cost-aware.
const POOL_LIFETIME: Duration = Duration::from_secs(20);
/// Maximum number of pools that are known to be cost-aware.
const MAX_POOLS: usize = 64;
/// Maximum number of pools in a digest.
pub const MAX_PUBLISHED_POOLS: usize = 4;
/// Maximum number of reports that wait for the next decision; more than servers of the design size.
const MAX_PENDING: usize = 8_192;

/// Steps of other requests that cost a request as much as one running request did before steps were
/// counted: about the length of a usual stream.
const USUAL_STEPS: f64 = 30.0;
/// Bounds of the factor by steps: what requests have left is an estimate, and it is the reading of
/// prompts that binds.
const STEPS_FACTOR_RANGE: (f64, f64) = (0.2, 2.0);

/// Returns the factor on the cost of the running requests of a server for a request with an expected
/// number of steps. Each of its steps is slowed by the requests that still run then.
pub fn steps_factor(load: Load, expected: u64) -> f64 {
    // Older builds of the other gateways send no steps.
    if load.running == 0 || load.steps == 0 {
        return 1.0;
    }
    let running = f64::from(load.running);
    let shared = (running * expected as f64).min(load.steps as f64);
    (shared / (running * USUAL_STEPS)).clamp(STEPS_FACTOR_RANGE.0, STEPS_FACTOR_RANGE.1)
}

/// The latest report of a server, as digests carry it: in multiples of [`PERCENT_UNIT`] and
/// [`AGE_UNIT_MS`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkReport {
    /// Time that work takes, in percent of the usual time.
    pub percent: u32,
    /// Time since the report, in milliseconds.
    pub age_ms: u32,
}

impl WorkReport {
    /// Returns the report as it is after some more time; none if it is too old then.
    pub fn aged(self, time: Duration) -> Option<Self> {
        let more = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let age_ms = self.age_ms.saturating_add(more);
        let age_ms = age_ms.div_ceil(AGE_UNIT_MS).saturating_mul(AGE_UNIT_MS);
        let is_recent = Duration::from_millis(age_ms.into()) < MAX_REPORT_AGE;
        is_recent.then_some(Self { age_ms, ..self })
    }

    /// Returns the newer one of two reports.
    pub fn newer(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        let reports = one.into_iter().chain(other);
        reports.min_by_key(|report| report.age_ms)
    }
}

/// Reports of one server on how long work takes there.
#[derive(Debug)]
pub struct WorkTime {
    /// The latest report as a factor of the usual time, and its time.
    latest: Option<(f64, Mono)>,
    /// Time of the latest report that this gateway got from the server itself.
    own: Option<(f64, Mono)>,
    /// Mean of the reports.
    mean: f64,
}

impl Default for WorkTime {
    fn default() -> Self {
        Self {
            latest: None,
            own: None,
            mean: 1.0,
        }
    }
}

impl WorkTime {
    /// Records a report in an answer to this gateway.
    pub fn record_own(&mut self, factor: f64, now: Mono) {
        let factor = factor.clamp(REPORT_RANGE.0, REPORT_RANGE.1);
        self.own = Some((factor, now));
        self.record(factor, now);
    }

    /// Records a report that was made at `at`, unless a newer one is known.
    pub fn record(&mut self, factor: f64, at: Mono) {
        let factor = factor.clamp(REPORT_RANGE.0, REPORT_RANGE.1);
        let span = match self.latest {
            Some((_, known)) if at <= known => return,
            Some((_, known)) => at.saturating_sub(known),
            None => MAX_REPORT_SPAN,
        };
        let silence = span.saturating_sub(MAX_REPORT_SPAN);
        self.mean = 1.0 + (self.mean - 1.0) * half_life(silence, MEAN_LIFETIME);
        let span = span.min(MAX_REPORT_SPAN);
        self.mean += (1.0 - decay(span, MEAN_TIME)) * (factor - self.mean);
        self.latest = Some((factor, at));
    }

    /// Returns the factor on the times of the server: how long work takes at the moment, relative to
    /// the mean of the reports, which the speed of the server includes already.
    pub fn factor(&self, now: Mono) -> f64 {
        let Some((factor, at)) = self.latest else {
            return 1.0;
        };
        let age = now.saturating_sub(at);
        if age >= MAX_REPORT_AGE {
            return 1.0;
        }
        let relative = (factor / self.mean).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        1.0 + (relative - 1.0) * decay(age, REPORT_DECAY)
    }

    /// Returns the report to publish.
    pub fn report(&self, now: Mono) -> Option<WorkReport> {
        let (factor, at) = self.own?;
        let units = factor * 100.0 / f64::from(PERCENT_UNIT);
        let report = WorkReport {
            percent: (units.round() as u32).max(1) * PERCENT_UNIT,
            age_ms: 0,
        };
        report.aged(now.saturating_sub(at))
    }
}

/// What a gateway learns of one server for the placement by cost.
#[derive(Debug, Default)]
pub struct ServerCost {
    /// Its speed relative to the pool; one while the pool is not cost-aware.
    pub speed: ServerSpeed,
    /// How long work takes there at the moment.
    pub work_time: WorkTime,
}

impl ServerCost {
    /// Returns the factor on the usual times of the pool.
    pub fn time_factor(&self, now: Mono) -> f64 {
        self.work_time.factor(now) / self.speed.factor()
    }
}

fn decay(time: Duration, constant: Duration) -> f64 {
    (-time.as_secs_f64() / constant.as_secs_f64()).exp()
}

fn half_life(time: Duration, half: Duration) -> f64 {
    (-time.as_secs_f64() / half.as_secs_f64()).exp2()
}

/// What is known of a cost-aware pool.
#[derive(Debug, Clone, Copy)]
struct PoolReports {
    /// Time of the latest report or of the latest digest that names the pool.
    last: Mono,
    /// Time of the latest report to this gateway.
    own: Option<Mono>,
}

/// What a gateway learns for the placement by cost, apart from what it keeps with each server.
#[derive(Debug, Default)]
pub struct CostState {
    /// By the short id of the pool's name.
    pools: BTreeMap<ShortId, PoolReports>,
    /// Sums of the other gateways for speeds.
    pub speeds: PeerSpeeds,
    /// Lengths of streams.
    pub lengths: OutputLengths,
    /// Reports from digests, by server, that are not recorded with the servers yet.
    pending: HashMap<ShortId, (f64, Mono)>,
}

impl CostState {
    /// Whether the servers of a pool, by the short id of its name, report how long work takes.
    pub fn is_aware(&self, pool: ShortId, now: Mono) -> bool {
        let known = self.pools.get(&pool);
        known.is_some_and(|pool| now.saturating_sub(pool.last) < POOL_LIFETIME)
    }

    /// Returns the number of cost-aware pools.
    pub fn pool_count(&self) -> usize {
        self.pools.len()
    }

    /// Whether no pool is cost-aware.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Records a report of a server of a pool to this gateway; returns whether it is the first one.
    pub fn record_pool(&mut self, pool: ShortId, now: Mono) -> bool {
        self.note_pool(pool, now);
        let known = self.pools.get_mut(&pool);
        known.is_some_and(|known| known.own.replace(now).is_none())
    }

    /// Records that a digest names pools whose servers report.
    pub fn merge_pools(&mut self, pools: &[ShortId], now: Mono) {
        for pool in pools.iter().take(MAX_PUBLISHED_POOLS) {
            self.note_pool(*pool, now);
        }
    }

    fn note_pool(&mut self, pool: ShortId, now: Mono) {
        if let Some(known) = self.pools.get_mut(&pool) {
            known.last = known.last.max(now);
        } else if self.pools.len() < MAX_POOLS {
            let reports = PoolReports {
                last: now,
                own: None,
            };
            self.pools.insert(pool, reports);
        }
    }

    /// Returns the pools to publish.
    pub fn pools_to_publish(&self, now: Mono) -> Vec<ShortId> {
        let is_recent = |pool: &PoolReports| {
            let own = pool.own;
            own.is_some_and(|own| now.saturating_sub(own) < PUBLISH_TIME)
        };
        let recent = self.pools.iter().filter(|(_, pool)| is_recent(pool));
        recent
            .map(|(id, _)| *id)
            .take(MAX_PUBLISHED_POOLS)
            .collect()
    }

    /// Keeps a report of a digest until it is recorded with its server.
    pub fn add_pending(&mut self, server: ShortId, report: WorkReport, now: Mono) {
        let Some(report) = report.aged(Duration::ZERO) else {
            return;
        };
        let age = Duration::from_millis(report.age_ms.into());
        let new = (f64::from(report.percent) / 100.0, now.saturating_sub(age));
        let has_room = self.pending.len() < MAX_PENDING;
        match self.pending.get_mut(&server) {
            Some(known) if known.1 < new.1 => *known = new,
            None if has_room => {
                self.pending.insert(server, new);
            }
            _ => {}
        }
    }

    /// Takes the reports that are not recorded yet.
    pub fn take_pending(&mut self) -> HashMap<ShortId, (f64, Mono)> {
        std::mem::take(&mut self.pending)
    }

    /// Drops pools whose servers do not report any more.
    pub fn expire(&mut self, now: Mono) {
        self.pools
            .retain(|_, pool| now.saturating_sub(pool.last) < POOL_LIFETIME);
    }
}
