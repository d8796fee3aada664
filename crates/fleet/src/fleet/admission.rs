//! Taking requests in: place, admit, account, learn.

use std::time::Duration;

use primrose_core::clock::Mono;

use super::AttemptOutcome;
use super::Decision;
use super::Fleet;
use super::Placement;
use super::PlacementRequest;
use super::Refusal;
use super::RefusalReason;
use crate::demand::Standing;
use crate::entry::short_id;
use crate::entry::ShortId;
use crate::place;
use crate::place::Candidate;
use crate::place::Choice;
use crate::server::Load;

/// Time of a plain call before any was seen.
pub(super) const CALL_TIME_AT_START: Duration = Duration::from_millis(30);
/// Weight of the newest call in a pool's mean time.
const CALL_TIME_GAIN: u32 = 20;
/// Part of the objective that the wait of an account within its share may take. The rest covers
/// what arrives at the server from other gateways before it is told.
const WAIT_SHARE: f64 = 0.85;
/// The same for an account that is owed no more: it leaves the rest of the wait to the others.
const WAIT_SHARE_EVEN: f64 = 0.6;
/// The same for an account that has had far more than others who want it too: it is served while
/// servers have room.
const WAIT_SHARE_BEYOND: f64 = 0.25;
/// How much more that is, as part of an even share. Between even and this the wait falls by
/// degrees: with one step, all accounts beyond get in proportion to what they ask. Least spans
/// below a half of an even share, and most worth, over the loads of `uneven_asks` (emulate).
const EXCESS_MOST: f64 = 0.5;
/// Part of the objective that a request may wait which is late already. Where callers come back
/// late in numbers, a longer wait fills servers with late requests, and then all are late.
const WAIT_SHARE_LATE: f64 = 0.6;
/// Part of the time left that it may wait at most.
const LEFT_SHARE: f64 = 0.4;
/// Longest wait for a plain call, as part of the time left: a late answer is still worth having.
const CALL_SHARE: f64 = 0.5;
/// Shortest and longest time after which a refused caller is asked to come back.
const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(120), Duration::from_millis(2_000));
/// Retry-After where a pool has no server: about the time in which one comes back.
const RETRY_NO_SERVER: Duration = Duration::from_millis(1_000);
/// Retry-After for a request that crashes servers.
const RETRY_CRASHES: Duration = Duration::from_secs(60);

impl Fleet {
    /// Decides on a request; a server that is chosen is charged with it at once.
    pub fn decide(&mut self, ask: &PlacementRequest, now: Mono) -> Decision {
        let first = ask.tried.is_empty();
        let service = ask.prompt.map_or(0, |prompt| prompt.service());
        let account = ask.account.as_deref().map(short_id);
        if first {
            self.pool(&ask.pool).budget.record_attempt();
            if let Some(account) = account {
                self.demand.ask(account, service, now);
            }
        }
        if self.crashes.is_refused(ask.fingerprint) {
            return refuse(RefusalReason::CrashesServers, RETRY_CRASHES);
        }
        let view = self.view(ask, now);
        if view.is_empty() {
            return refuse(RefusalReason::NoServer, RETRY_NO_SERVER);
        }
        let Some(choice) = self.choose(ask, &view, now) else {
            return refuse(RefusalReason::NoRoom, RETRY_AFTER.0 * 2);
        };
        if first {
            if let Some(refusal) = self.admit(ask, choice, account, service, now) {
                return Decision::Refuse(refusal);
            }
            if let Some(account) = account {
                self.demand.grant(account, service, now);
            }
        }
        let chosen = view[choice.index];
        let queued_tokens = chosen.load.reading + choice.reading;
        match self.charge(ask, chosen.short_id, choice, queued_tokens, now) {
            Some(work) => Decision::Send(work),
            None => refuse(RefusalReason::NoServer, RETRY_NO_SERVER),
        }
    }

    /// Whether a request may be sent to one more server, which draws on the budget of the fleet.
    pub fn try_retry(&mut self, ask: &PlacementRequest) -> bool {
        self.pool(&ask.pool).budget.try_retry()
    }

    /// Records the first event of a stream.
    pub fn record_first_event(&mut self, work: &mut Placement, now: Mono) {
        if work.first_seen {
            return;
        }
        work.first_seen = true;
        let took = now.saturating_sub(work.started);
        let pool = self.pool(&work.pool);
        let predicted = pool.pace.predict(work.queued_tokens);
        pool.pace.observe(work.queued_tokens, took);
        let read = Load {
            reading: work.load.reading,
            ..Load::default()
        };
        if let Some(server) = self.server_of(work) {
            server.own.remove(read);
            server.slowness.observe(took, predicted);
            server.heard = Some(now);
        }
        work.load.reading = 0;
    }

    /// Records that something was read from a server.
    pub fn record_activity(&mut self, work: &Placement, now: Mono) {
        if let Some(server) = self.server_of(work) {
            server.heard = Some(now);
        }
    }

    /// Whether a server has been silent to all of this gateway's requests since `since`.
    pub fn is_silent(&mut self, work: &Placement, since: Mono) -> bool {
        match self.server_of(work) {
            Some(server) => server.heard.is_none_or(|heard| heard < since),
            None => true,
        }
    }

    /// Records the end of a request at a server.
    pub fn finish_attempt(
        &mut self,
        ask: &PlacementRequest,
        work: &Placement,
        ended: AttemptOutcome,
        now: Mono,
    ) {
        if ended == AttemptOutcome::Good && ask.prompt.is_none() {
            let took = now.saturating_sub(work.started);
            let pool = self.pool(&work.pool);
            let mean = pool.call_time * (CALL_TIME_GAIN - 1) + took;
            pool.call_time = mean / CALL_TIME_GAIN;
        }
        match ended {
            AttemptOutcome::Broken => self.crashes.broke(ask.fingerprint, now),
            AttemptOutcome::Good => self.crashes.ended_well(ask.fingerprint, now),
            _ => {}
        }
        let Some(server) = self.server_of(work) else {
            return;
        };
        server.own.remove(work.load);
        match ended {
            AttemptOutcome::Good => server.health.succeeded(now),
            AttemptOutcome::Failed | AttemptOutcome::Broken => server.health.failed(now),
            AttemptOutcome::Unreachable => server.health.unreachable(now),
            AttemptOutcome::NotRun => {
                // A server that sheds is no place for the next request, though it can be reached.
                server.health.failed(now);
                server.health.reached();
            }
            AttemptOutcome::GivenUp => {}
        }
    }

    fn server_of(&mut self, work: &Placement) -> Option<&mut crate::server::Server> {
        let server = self.servers.get_mut(&work.server)?;
        (server.entry.born_ms == work.born_ms).then_some(server)
    }

    /// Servers that may take the request.
    fn view(&mut self, ask: &PlacementRequest, now: Mono) -> Vec<Candidate> {
        let memory = self.catalog.as_ref().and_then(|catalog| {
            let pool = catalog.tables().pools.get(&ask.pool)?;
            pool.engine.map(|engine| engine.memory)
        });
        let mut view = Vec::new();
        for server in self.servers.iter_mut() {
            let entry = &server.entry;
            if entry.pool != ask.pool || !server.takes_new() || server.health.is_paused(now) {
                continue;
            }
            if ask.tried.contains(&entry.id) {
                continue;
            }
            let mut load = server.own;
            let mut counts = server.health.counts(now);
            if let Some((other, seen)) = self.others.get(&server.short_id) {
                load.add(*other);
                counts.good += seen.good;
                counts.failed += seen.failed;
            }
            view.push(Candidate {
                short_id: server.short_id,
                load,
                slots: entry.slots,
                memory: memory.unwrap_or(u64::MAX),
                near: entry.zone == self.config.zone,
                failures: counts.failure_share(),
                slowness: server.slowness.factor(),
            });
        }
        view
    }

    fn choose(&mut self, ask: &PlacementRequest, view: &[Candidate], now: Mono) -> Option<Choice> {
        match &ask.prompt {
            Some(prompt) => {
                self.pool(&ask.pool);
                let pace = &self.pools[&ask.pool].pace;
                place::place_prompt(prompt, view, &self.kept, pace, now)
            }
            None => {
                let work = self.pool(&ask.pool).call_time;
                place::place_call(view, work)
            }
        }
    }

    /// Returns why a new request is not accepted, if it is not.
    fn admit(
        &mut self,
        ask: &PlacementRequest,
        choice: Choice,
        account: Option<ShortId>,
        service: u64,
        now: Mono,
    ) -> Option<Refusal> {
        let left = ask.deadline.saturating_sub(now);
        let spent = now.saturating_sub(ask.arrived);
        if ask.prompt.is_none() {
            let allowed = left.mul_f64(CALL_SHARE);
            return too_long(RefusalReason::Overload, choice.wait, allowed);
        }
        let objective = ask.route.objective.saturating_sub(spent);
        if objective.is_zero() {
            let allowed = ask.route.objective.mul_f64(WAIT_SHARE_LATE);
            let allowed = allowed.min(left.mul_f64(LEFT_SHARE));
            return too_long(RefusalReason::Overload, choice.wait, allowed);
        }
        let standing = account.map_or(Standing::Within, |account| {
            self.standing(account, service, now)
        });
        let (reason, share) = match standing {
            Standing::Within => (RefusalReason::Overload, WAIT_SHARE),
            Standing::Even => (RefusalReason::Overload, WAIT_SHARE_EVEN),
            Standing::Beyond { excess } => (RefusalReason::OverShare, share_beyond(excess)),
        };
        too_long(reason, choice.wait, objective.mul_f64(share))
    }

    fn standing(&mut self, account: ShortId, service: u64, now: Mono) -> Standing {
        let catalog = self.catalog.as_ref();
        match catalog.and_then(|catalog| catalog.tables().limits.token_rate) {
            Some(rate) => self.demand.standing(account, service, rate, now),
            None => Standing::Within,
        }
    }

    fn charge(
        &mut self,
        ask: &PlacementRequest,
        server: ShortId,
        choice: Choice,
        queued_tokens: u64,
        now: Mono,
    ) -> Option<Placement> {
        let server = self.servers.by_short_id_mut(server)?;
        let load = Load {
            reading: choice.reading,
            memory: ask.prompt.as_ref().map_or(0, place::memory_of),
            running: 1,
        };
        server.own.add(load);
        server.health.claim_probe(now);
        if let Some(prompt) = &ask.prompt {
            self.kept.record(prompt.shared, server.short_id, now);
        }
        Some(Placement {
            server: server.entry.id.clone(),
            born_ms: server.entry.born_ms,
            addr: server.entry.addr,
            load,
            predicted: choice.wait,
            queued_tokens,
            started: now,
            pool: ask.pool.clone(),
            first_seen: false,
        })
    }
}

/// Returns the part of the objective that may be waited by an account beyond an even share: the
/// further beyond, the less.
fn share_beyond(excess: f64) -> f64 {
    let part = (excess / EXCESS_MOST).min(1.0);
    WAIT_SHARE_EVEN + (WAIT_SHARE_BEYOND - WAIT_SHARE_EVEN) * part
}

fn refuse(reason: RefusalReason, retry_after: Duration) -> Decision {
    Decision::Refuse(Refusal {
        reason,
        retry_after,
        predicted: Duration::ZERO,
        allowed: Duration::ZERO,
    })
}

fn too_long(reason: RefusalReason, predicted: Duration, allowed: Duration) -> Option<Refusal> {
    if predicted <= allowed {
        return None;
    }
    let excess = predicted.saturating_sub(allowed);
    Some(Refusal {
        reason,
        retry_after: excess.clamp(RETRY_AFTER.0, RETRY_AFTER.1),
        predicted,
        allowed,
    })
}
