//! Placement of requests: choice of a server, and accounting of the outcomes.

use std::time::Duration;

use primrose_core::clock::Mono;

use super::poison::suspects;
use super::AttemptOutcome;
use super::Decision;
use super::Fleet;
use super::Placement;
use super::PlacementRequest;
use super::Refusal;
use super::RefusalReason;
use crate::cost::steps_factor;
use crate::entry::short_id;
use crate::entry::ShortId;
use crate::place;
use crate::place::Candidate;
use crate::place::Choice;
use crate::server::Load;
use crate::server::Server;
use crate::server::ServerChange;

/// Time of a plain call (a request without a prompt), assumed before the first one.
pub(super) const INITIAL_CALL_TIME: Duration = Duration::from_millis(30);
/// Number of calls over which a pool's mean call time is smoothed.
const CALL_TIME_SAMPLES: u32 = 20;
/// Shortest and longest Retry-After of a refusal.
pub(super) const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(120), Duration::from_millis(2_000));
/// Retry-After when a pool has no server: about the time until one is back.
const RETRY_AFTER_NO_SERVER: Duration = Duration::from_millis(1_000);
/// Retry-After when all servers of a pool are in evacuated zones, which operators put back into use.
const RETRY_AFTER_EVACUATED: Duration = Duration::from_millis(2_000);
/// Longest Retry-After for a request that crashes servers.
const RETRY_AFTER_CRASHES: Duration = Duration::from_secs(60);

impl Fleet {
    /// Decides whether and where to send a request; the load of the chosen server includes it from
    /// then on.
    pub fn decide(&mut self, request: &PlacementRequest, now: Mono) -> Decision {
        let is_first_attempt = request.tried.is_empty();
        let (account, service) = charged(request);
        if is_first_attempt {
            let pool = self.pool(&request.pool);
            pool.budget.record_attempt();
            pool.arrivals.add(1, now);
            if let Some(account) = account {
                self.demand.record_request(account, service, now);
            }
        }
        if self.crashes.is_refused(request.fingerprint) {
            return refuse(RefusalReason::CrashesServers, RETRY_AFTER_CRASHES);
        }
        if let Some(left) = self.poison.refused_for(&suspects(request), now) {
            return refuse(RefusalReason::CrashesServers, left.min(RETRY_AFTER_CRASHES));
        }
        self.apply_reports();
        let candidates = self.candidates(request, now);
        if candidates.is_empty() {
            return self.refuse_without_candidates(request, now);
        }
        let limits = self.limits_of(&candidates, now);
        match self.decide_among(request, &candidates, now) {
            Decision::Send(placement) => Decision::Send(Placement {
                limits,
                ..placement
            }),
            Decision::Refuse(refusal) => Decision::Refuse(Refusal { limits, ..refusal }),
        }
    }

    /// Decides on a request that some servers could run.
    fn decide_among(
        &mut self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        now: Mono,
    ) -> Decision {
        let is_first_attempt = request.tried.is_empty();
        if !candidates.iter().any(|candidate| candidate.within_limit) {
            let wait = self.wait_for_limits(candidates, now);
            let (least, most) = RETRY_AFTER_RANGE;
            let wait = wait.clamp(least, most);
            return self.refuse_full(request, RefusalReason::ServerLimits, wait, now);
        }
        let Some(choice) = self.choose(request, candidates, now) else {
            let wait = RETRY_AFTER_RANGE.0 * 2;
            return self.refuse_full(request, RefusalReason::NoRoom, wait, now);
        };
        let mut share = None;
        if is_first_attempt {
            share = self.account_share(request, now);
            let refusal = self.admit(request, choice, share, now);
            let refusal = refusal.filter(|_| !self.may_resume(request, choice, now));
            if let Some(refusal) = refusal {
                self.record_missed(request, share, refusal.reason, now);
                return Decision::Refuse(Refusal { share, ..refusal });
            }
            let (account, service) = charged(request);
            if let Some(account) = account {
                if request.is_continuation() {
                    self.demand.record_resumed(account, service, share, now);
                } else {
                    self.demand.record_sent(account, service, share, now);
                }
            }
        }
        let chosen = candidates[choice.index];
        let queued_tokens = chosen.load.reading + choice.uncached_tokens;
        match self.charge(request, chosen.short_id, choice, queued_tokens, now) {
            Some(placement) => Decision::Send(Placement { share, ..placement }),
            None => refuse(RefusalReason::NoServer, RETRY_AFTER_NO_SERVER),
        }
    }

    /// Refuses a request because no server can take it now.
    fn refuse_full(
        &mut self,
        request: &PlacementRequest,
        reason: RefusalReason,
        retry_after: Duration,
        now: Mono,
    ) -> Decision {
        if request.tried.is_empty() {
            let share = self.account_share(request, now);
            self.record_missed(request, share, reason, now);
        }
        refuse(reason, retry_after)
    }

    /// Takes a retry from the budget of the request's pool; returns whether there was one left.
    pub fn try_retry(&mut self, request: &PlacementRequest) -> bool {
        self.pool(&request.pool).budget.try_retry()
    }

    /// Whether another server can take a request from a server that may be silent.
    pub fn can_move(
        &mut self,
        request: &PlacementRequest,
        placement: &Placement,
        now: Mono,
    ) -> bool {
        if self.pool(&request.pool).budget.available() == 0 {
            return false;
        }
        let current = placement.server.as_str();
        let cold = &mut self.limits.cold;
        let servers = self.servers.iter();
        let mut others = servers
            .filter(|server| is_eligible(server, request, now) && server.entry.id != current)
            .filter(|server| cold.wait(server.short_id, now) == Some(Duration::ZERO));
        let evacuations = &self.evacuations;
        others.any(|server| {
            let is_tried = request.tried.contains(&server.entry.id);
            !is_tried && !evacuations.contains(server.zone)
        })
    }

    /// Records events of a stream.
    pub fn record_events(
        &mut self,
        request: &PlacementRequest,
        placement: &mut Placement,
        now: Mono,
    ) {
        match placement.first_event_at {
            None => {
                if let Some(prompt) = &request.prompt {
                    self.demand.record_begun(prompt.service(), now);
                }
                self.record_first_event(placement, now);
            }
            Some(began) => self.record_survival(request, placement, began, now),
        }
    }

    fn record_first_event(&mut self, placement: &mut Placement, now: Mono) {
        placement.first_event_at = Some(now);
        let elapsed = now.saturating_sub(placement.started);
        let is_cost_aware = self.is_cost_aware(&placement.pool, now);
        let pool = self.pool(&placement.pool);
        let predicted = pool.prefill.predict(placement.queued_tokens);
        pool.prefill.observe(placement.queued_tokens, elapsed);
        let uncached = Load {
            reading: placement.load.reading,
            ..Load::default()
        };
        if let Some(server) = self.server_of(placement) {
            server.local_load.remove(uncached);
            server.slowness.observe(elapsed, predicted);
            if is_cost_aware {
                server.cost.speed.observe(elapsed, predicted, now);
            }
            server.last_activity = Some(now);
        }
        placement.load.reading = 0;
    }

    /// Records that data was received from a server.
    pub fn record_activity(&mut self, placement: &Placement, now: Mono) {
        if let Some(server) = self.server_of(placement) {
            server.last_activity = Some(now);
        }
    }

    /// Returns when a server last sent data to any of this gateway's requests; none if it never
    /// did, or is not known any more.
    pub fn last_activity(&self, placement: &Placement) -> Option<Mono> {
        let server = self.servers.get(&placement.server)?;
        let is_same = server.entry.born_ms == placement.born_ms;
        server.last_activity.filter(|_| is_same)
    }

    /// Records the outcome of a request at a server, and removes its load.
    pub fn finish_attempt(
        &mut self,
        request: &PlacementRequest,
        placement: &Placement,
        outcome: AttemptOutcome,
        now: Mono,
    ) {
        if outcome == AttemptOutcome::Good && request.prompt.is_none() {
            let elapsed = now.saturating_sub(placement.started);
            let pool = self.pool(&placement.pool);
            let mean = pool.call_time * (CALL_TIME_SAMPLES - 1) + elapsed;
            pool.call_time = mean / CALL_TIME_SAMPLES;
        }
        match outcome {
            AttemptOutcome::Broken => {
                self.crashes.record_broken(request.fingerprint, now);
                self.record_break(request, placement, now);
                self.record_cold_break(placement, now);
            }
            AttemptOutcome::Good => {
                self.record_length(request, placement, now);
                self.crashes.record_success(request.fingerprint, now);
                if placement.end_certain {
                    let began = placement.first_event_at.unwrap_or(placement.started);
                    self.record_survival_of(request, began);
                } else {
                    // The server may have crashed between two events.
                    self.record_break(request, placement, now);
                }
            }
            _ => {}
        }
        let Some(server) = self.server_of(placement) else {
            return;
        };
        server.local_load.remove(placement.load);
        match outcome {
            AttemptOutcome::Good => server.health.record_success(now),
            AttemptOutcome::Failed | AttemptOutcome::Broken => server.health.record_failure(now),
            AttemptOutcome::Unreachable => server.health.record_unreachable(now),
            AttemptOutcome::NotRun => {
                // A server that sheds load is reachable, but others are preferred for the next
                // requests.
                server.health.record_failure(now);
                server.health.record_reachable();
            }
            AttemptOutcome::GivenUp => {}
        }
    }

    pub(super) fn server_of(&mut self, placement: &Placement) -> Option<&mut Server> {
        let server = self.servers.get_mut(&placement.server)?;
        (server.entry.born_ms == placement.born_ms).then_some(server)
    }

    /// Returns the servers that may run the request.
    fn candidates(&mut self, request: &PlacementRequest, now: Mono) -> Vec<Candidate> {
        let memory = self.catalog.as_ref().and_then(|catalog| {
            let pool = catalog.tables().pools.get(&request.pool)?;
            pool.engine.map(|engine| engine.memory)
        });
        let is_cost_aware = self.is_cost_aware(&request.pool, now);
        let expected = self.expected_steps(request, now);
        let mut candidates = Vec::with_capacity(self.servers.iter().size_hint().0);
        for server in self.servers.iter_mut() {
            let entry = &server.entry;
            if !is_eligible(server, request, now) || request.tried.contains(&entry.id) {
                continue;
            }
            if self.evacuations.contains(server.zone) {
                continue;
            }
            let mut load = server.local_load;
            let mut counts = server.health.counts(now);
            if let Some((peer_load, peer_counts)) = self.peer_sums.get(&server.short_id) {
                load.add(*peer_load);
                counts.good += peer_counts.good;
                counts.failed += peer_counts.failed;
            }
            let (slowness, time_factor, speed_weight) = if is_cost_aware {
                let factor = server.cost.time_factor(now);
                let steps = expected.map_or(1.0, |expected| steps_factor(load, expected));
                (factor, factor * steps, server.cost.speed.weight())
            } else {
                (server.slowness.factor(), 1.0, 1.0)
            };
            candidates.push(Candidate {
                short_id: server.short_id,
                load,
                slots: entry.slots,
                memory: memory.unwrap_or(u64::MAX),
                same_zone: entry.zone == self.config.zone,
                failure_rate: counts.failure_rate(),
                slowness,
                within_limit: true,
                weight: 1.0,
                speed_weight,
                time_factor,
            });
        }
        self.apply_limits(request, &mut candidates, now);
        candidates
    }

    fn refuse_without_candidates(&self, request: &PlacementRequest, now: Mono) -> Decision {
        let servers = self.servers.iter().filter(|server| {
            let is_tried = request.tried.contains(&server.entry.id);
            may_run(server, request) && !is_tried && !self.is_evacuated(server)
        });
        if self.is_pool_evacuated(request) {
            return refuse(RefusalReason::ZoneEvacuated, RETRY_AFTER_EVACUATED);
        }
        let declined = servers.map(|server| server.health.declined_time(now));
        let declined = declined.filter(|time| !time.is_zero()).min();
        match (declined, request.build) {
            // Another gateway may be able to send to them before.
            (Some(time), _) => {
                let after = time.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_NO_SERVER);
                refuse(RefusalReason::Declined, after)
            }
            (None, Some(_)) => refuse(RefusalReason::NoServerOfBuild, RETRY_AFTER_NO_SERVER),
            (None, None) => refuse(RefusalReason::NoServer, RETRY_AFTER_NO_SERVER),
        }
    }

    /// Records that a server wants no requests of this gateway for some time.
    pub fn record_declined(&mut self, placement: &Placement, time: Duration, now: Mono) {
        if let Some(server) = self.server_of(placement) {
            server.health.record_declined(time, now);
        }
    }

    /// Records that a server said that it leaves; returns the changes that this causes.
    pub fn record_leaving(&mut self, placement: &Placement, now: Mono) -> Vec<ServerChange> {
        self.servers.merge_leaving(&[placement.short_id], now)
    }

    fn choose(
        &mut self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        now: Mono,
    ) -> Option<Choice> {
        match &request.prompt {
            Some(prompt) => {
                self.pool(&request.pool);
                let prefill = &self.pools[&request.pool].prefill;
                place::place_prompt(prompt, candidates, &self.prefix_cache, prefill, now)
            }
            None => {
                let call_time = self.pool(&request.pool).call_time;
                place::place_call(candidates, call_time)
            }
        }
    }

    fn charge(
        &mut self,
        request: &PlacementRequest,
        server: ShortId,
        choice: Choice,
        queued_tokens: u64,
        now: Mono,
    ) -> Option<Placement> {
        let expected_steps = self.expected_steps(request, now).unwrap_or_default();
        let server = self.servers.by_short_id_mut(server)?;
        let load = Load {
            reading: choice.uncached_tokens,
            memory: request.prompt.as_ref().map_or(0, place::memory_demand),
            running: 1,
            steps: expected_steps,
        };
        server.local_load.add(load);
        self.limits.record_sent(server.short_id, now);
        server.health.claim_probe(now);
        if let Some(prompt) = &request.prompt {
            self.prefix_cache
                .record(prompt.shared, server.short_id, now);
        }
        Some(Placement {
            server: server.entry.id.clone(),
            born_ms: server.entry.born_ms,
            addr: server.entry.addr,
            build: server.build,
            short_id: server.short_id,
            load,
            predicted: choice.wait,
            queued_tokens,
            started: now,
            end_certain: true,
            pool: request.pool.clone(),
            first_event_at: None,
            expected_steps,
            events: 0,
            survived: false,
            share: None,
            limits: None,
        })
    }
}

/// Returns the account that is charged for a request, if callers have accounts, and the tokens.
fn charged(request: &PlacementRequest) -> (Option<ShortId>, u64) {
    let service = request.prompt.map_or(0, |prompt| prompt.service());
    (request.account.as_deref().map(short_id), service)
}

/// Whether a server may run a request, apart from earlier attempts at it.
fn is_eligible(server: &Server, request: &PlacementRequest, now: Mono) -> bool {
    may_run(server, request) && !server.health.is_paused(now)
}

/// Whether a server is of the right kind for a request, and is not about to leave.
pub(super) fn may_run(server: &Server, request: &PlacementRequest) -> bool {
    server.entry.pool == request.pool
        && server.accepts_requests()
        && request.build.is_none_or(|build| build == server.build)
}

fn refuse(reason: RefusalReason, retry_after: Duration) -> Decision {
    Decision::Refuse(Refusal {
        reason,
        retry_after,
        predicted: Duration::ZERO,
        allowed: Duration::ZERO,
        share: None,
        limits: None,
    })
}
