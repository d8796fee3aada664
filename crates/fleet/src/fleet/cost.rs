//! Placement by cost: speeds of servers, and what they report of their load.

use primrose_core::clock::Mono;
use primrose_core::id::PoolId;

use super::Fleet;
use super::Placement;
use super::PlacementRequest;
use crate::cost::WorkReport;
use crate::digest::Digest;
use crate::digest::STEPS_UNIT;
use crate::entry::short_id;
use crate::length::LengthKey;
use crate::server::Load;

/// Percent of the usual time at which work takes as long as usual.
const USUAL_PERCENT: f64 = 100.0;
/// A stream that is longer than expected is taken to have this fraction of its expected length left.
const OVERDUE_FRACTION: u64 = 8;

impl Fleet {
    /// Records how long an answer says that work takes on its server, in percent of the usual time;
    /// none if it does not say so. Returns whether it is the first of the pool's servers that does.
    pub fn record_work_time(
        &mut self,
        placement: &Placement,
        percent: Option<f64>,
        now: Mono,
    ) -> bool {
        let percent = percent.filter(|percent| percent.is_finite() && *percent >= 0.0);
        let Some(percent) = percent.filter(|_| self.config.place_by_cost) else {
            return false;
        };
        let Some(server) = self.server_of(placement) else {
            return false;
        };
        server
            .cost
            .work_time
            .record_own(percent / USUAL_PERCENT, now);
        self.cost.record_pool(short_id(&placement.pool), now)
    }

    /// Records how many events of a stream have arrived at this attempt.
    pub fn record_progress(&mut self, placement: &mut Placement, events: u64) {
        placement.events = events;
        let expected = placement.expected_steps;
        let least = (expected / OVERDUE_FRACTION).max(1);
        let left = expected.saturating_sub(events).max(least);
        let steps = placement.load.steps;
        if expected == 0 || left + STEPS_UNIT > steps {
            return;
        }
        if let Some(server) = self.server_of(placement) {
            let load = &mut server.local_load;
            load.steps = load.steps.saturating_sub(steps - left);
            placement.load.steps = left;
        }
    }

    /// Records the length of a stream that has ended, if it began at this attempt.
    pub(super) fn record_length(
        &mut self,
        request: &PlacementRequest,
        placement: &Placement,
        now: Mono,
    ) {
        let is_whole = request.build.is_none() && placement.events > 0;
        if is_whole && self.is_cost_aware(&request.pool, now) {
            let (events, hint) = (placement.events, request.length_hint);
            let lengths = &mut self.cost.lengths;
            lengths.record(length_key(request), events, hint, now);
        }
    }

    /// Returns the number of steps that a request for a model of a cost-aware pool is expected to
    /// take.
    pub(super) fn expected_steps(&self, request: &PlacementRequest, now: Mono) -> Option<u64> {
        let prompt = request.prompt.as_ref()?;
        if !self.is_cost_aware(&request.pool, now) {
            return None;
        }
        let lengths = &self.cost.lengths;
        let limit = prompt.output_tokens;
        Some(lengths.expected(length_key(request), request.length_hint, limit))
    }

    /// Returns the number of accounts and routes whose lengths of streams are known.
    pub fn known_lengths(&self) -> usize {
        self.cost.lengths.count()
    }

    /// Returns the number of pools whose servers report how long work takes.
    pub fn cost_aware_pools(&self) -> usize {
        self.cost.pool_count()
    }

    /// Whether requests for a pool are placed by cost.
    pub(super) fn is_cost_aware(&self, pool: &str, now: Mono) -> bool {
        !self.cost.is_empty() && self.cost.is_aware(short_id(pool), now)
    }

    /// Records the reports that came with digests. One pass over all servers for several digests costs
    /// less than a search for each row.
    pub(super) fn apply_reports(&mut self) {
        let reports = self.cost.take_pending();
        if reports.is_empty() {
            return;
        }
        for server in self.servers.iter_mut() {
            if let Some((factor, at)) = reports.get(&server.short_id) {
                server.cost.work_time.record(*factor, *at);
            }
        }
    }

    /// Merges what a digest says of pools and servers besides loads.
    pub(super) fn merge_cost(&mut self, digest: &Digest, now: Mono) {
        if !self.config.place_by_cost {
            return;
        }
        self.cost.merge_pools(&digest.cost_pools, now);
        for row in &digest.servers {
            if let Some(report) = row.report {
                self.cost.add_pending(row.server, report, now);
            }
        }
    }

    /// Computes the speeds of servers anew.
    pub(super) fn update_speeds(&mut self, now: Mono) {
        self.cost.expire(now);
        if self.cost.is_empty() {
            return;
        }
        let mut pool: Option<(PoolId, bool, f64)> = None;
        for server in self.servers.iter_mut() {
            let name = &server.entry.pool;
            if pool.as_ref().is_none_or(|(known, ..)| known != name) {
                let is_aware = self.cost.is_aware(short_id(name), now);
                let prefill = self.pools.get(name).map(|pool| pool.prefill.mean_ms());
                pool = Some((name.clone(), is_aware, prefill.unwrap_or_default()));
            }
            if let Some((_, true, mean_ms)) = pool {
                let sums = self.cost.speeds.get(server.short_id);
                server.cost.speed.update(sums, mean_ms, now);
            }
        }
    }
}

fn length_key(request: &PlacementRequest) -> LengthKey {
    let account = request.account.as_deref().map(short_id);
    (account, short_id(&request.route.name))
}

/// Returns a load with the steps in units of digests.
pub(super) fn published_load(load: Load) -> Load {
    let units = load.steps.div_ceil(STEPS_UNIT);
    Load {
        steps: units * STEPS_UNIT,
        ..load
    }
}

/// Returns the report of a digest as it is when it is forwarded.
pub(super) fn forwarded(
    report: Option<WorkReport>,
    received: Mono,
    now: Mono,
) -> Option<WorkReport> {
    report?.aged(now.saturating_sub(received))
}
