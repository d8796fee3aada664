//! Handles the calls of this router's front: queued, running and ended requests.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::cost::service;
use primrose_core::cost::Service;
use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AccountId;
use primrose_core::id::AttemptId;
use primrose_core::id::PoolId;
use primrose_core::id::RequestId;
use primrose_core::outcome::ErrorCode;
use primrose_core::table::PoolKind;
use primrose_dispatch::message::millis;
use primrose_dispatch::message::Ending;
use primrose_dispatch::message::Finished;
use primrose_dispatch::requester;
use primrose_dispatch::requester::PendingRequest;
use primrose_dispatch::requester::Run;
use primrose_front::broker::Ask;
use primrose_front::broker::BrokerReply;
use primrose_front::broker::Inbox;
use primrose_front::broker::Report;
use primrose_front::broker::Waiting;
use primrose_report::observation::Observation;
use primrose_request::AttemptResult;
use primrose_request::Event;
use primrose_request::Grant;
use primrose_request::RetryDecision;
use primrose_retry::Backoff;
use primrose_retry::BackoffConfig;
use primrose_retry::Budget;
use primrose_retry::BudgetConfig;
use primrose_suspect::FingerprintStatus;

use crate::decide::suspects::UnixMillis;
use crate::decide::Decider;

/// Time in which the front must use a grant.
const GRANT_START_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry-after hint of a request that is refused because its account's queue is full.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Backoff between the attempts of a request.
const RETRY_BACKOFF: BackoffConfig = BackoffConfig {
    base: Duration::from_millis(20),
    cap: Duration::from_millis(500),
};

/// A request that waits for a slot or is running.
#[derive(Debug)]
pub(super) struct Pending {
    attempt: AttemptId,
    inbox: Inbox,
    cost: Service,
    account: AccountId,
    pool: PoolId,
    /// When the request began to wait; `None` once it has a slot.
    waiting_since: Option<Mono>,
    /// Wall-clock time at which the request got its slot.
    started_at: Option<UnixMillis>,
    fingerprint: Fingerprint,
}

impl Pending {
    /// Whether the request has no slot yet.
    pub(super) fn is_waiting(&self) -> bool {
        self.waiting_since.is_some()
    }
}

impl Decider {
    /// Handles a call of the front.
    pub(super) fn handle_ask(&mut self, ask: Ask) {
        let now = self.clock.now();
        match ask {
            Ask::Enqueue { waiting, inbox } => self.enqueue(waiting, inbox, now),
            Ask::Withdraw { attempt, .. } => self.withdraw(attempt, now),
            Ask::Progress {
                attempt, tokens, ..
            } => {
                let used = service(tokens);
                let event = requester::Event::Progress { attempt, used };
                self.requester_event(event, now);
            }
            Ask::Report(report) => self.report(&report, now),
            Ask::Retry {
                pool,
                inbox,
                fingerprint,
                ..
            } => {
                let decision = self.retry_decision(&pool, fingerprint);
                send_event(&inbox, Event::Retry(decision));
            }
            Ask::Ended(_) => {}
            Ask::Claim { .. } | Ask::Release { .. } | Ask::Settle { .. } => {
                log::error!("the deciding thread received a claim request");
            }
        }
    }

    fn enqueue(&mut self, waiting: Waiting, inbox: Inbox, now: Mono) {
        if waiting.attempt.number == 1 {
            self.budget(&waiting.pool).record_attempt();
        }
        let cost = waiting.hint.unwrap_or(waiting.cost);
        let pending = Pending {
            attempt: waiting.attempt,
            inbox,
            cost,
            account: waiting.account.clone(),
            pool: waiting.pool.clone(),
            waiting_since: Some(now),
            started_at: None,
            fingerprint: waiting.fingerprint,
        };
        self.pending.insert(waiting.attempt.request, pending);
        let work = PendingRequest {
            request: waiting.attempt.request,
            number: waiting.attempt.number,
            account: waiting.account,
            route: waiting.route,
            pool: waiting.pool,
            cost,
            bytes: waiting.bytes,
            suspect: waiting.suspect,
            prefixes: waiting
                .prefixes
                .iter()
                .map(|hash| truncate_hash(*hash))
                .collect(),
            deadline: now + waiting.left,
        };
        self.requester_event(requester::Event::Enqueue(work), now);
    }

    fn withdraw(&mut self, attempt: AttemptId, now: Mono) {
        self.pending.remove(&attempt.request);
        self.requester_event(requester::Event::Cancel(attempt.request), now);
    }

    fn report(&mut self, report: &Report, now: Mono) {
        let used = self.used_service(report);
        let pending = self.pending.remove(&report.attempt.request);
        self.record_attempt_end(report, pending.and_then(|pending| pending.started_at));
        self.observer.reporter.observe(Observation::Served {
            pool: report.pool.clone(),
            account: report.account.clone(),
            service: used,
        });
        let finished = Finished {
            attempt: report.attempt,
            ending: ending(report.result),
            used,
            first: report.first_token.map(millis),
            inter: report.inter_token.map(micros),
        };
        self.requester_event(requester::Event::Ended(finished), now);
    }

    /// Returns the service that an attempt used: the tokens that the server counted, or for plain
    /// pools the cost that the route states.
    fn used_service(&self, report: &Report) -> Service {
        let table = self.snapshots.table();
        let kind = table.pools.get(&report.pool).map(|pool| pool.kind);
        let ran = matches!(report.result, AttemptResult::Done | AttemptResult::Broken);
        match kind {
            Some(PoolKind::Plain) if ran => {
                let pending = self.pending.get(&report.attempt.request);
                pending.map_or(0, |pending| pending.cost)
            }
            _ => service(report.tokens),
        }
    }

    fn budget(&mut self, pool: &str) -> &mut Budget {
        let budgets = &mut self.budgets;
        budgets
            .entry(pool.to_owned())
            .or_insert_with(|| Budget::new(BudgetConfig::default()))
    }

    fn retry_decision(&mut self, pool: &str, fingerprint: Fingerprint) -> RetryDecision {
        let status = self.suspect_status(fingerprint);
        if let FingerprintStatus::Refused { retry_after } = status {
            return RetryDecision::Poisoned { retry_after };
        }
        if !self.budget(pool).try_retry() {
            return RetryDecision::Denied;
        }
        RetryDecision::Allowed {
            delay: Backoff::new(RETRY_BACKOFF).next_delay(&mut self.rng),
            suspect: status == FingerprintStatus::Suspect,
        }
    }

    /// Passes a grant to its request, or releases the slot if the request cannot start.
    pub(super) fn start(&mut self, run: Run, now: Mono) {
        if self.is_refused(run.attempt.request) {
            // Refused after the request was queued: it must not reach another server.
            self.refuse(run.attempt.request, ErrorCode::Poison);
            self.release_unused(run.attempt, now);
            return;
        }
        let started_at = self.unix_millis();
        self.observe_grant(&run.pool, &run.server, now);
        let addr = self.directory.addr(&run.pool, &run.server);
        let pending = self.pending.get_mut(&run.attempt.request);
        let current = pending.filter(|pending| pending.attempt == run.attempt);
        let (Some(pending), Some(addr)) = (current, addr) else {
            self.refuse(run.attempt.request, ErrorCode::ServerLost);
            self.release_unused(run.attempt, now);
            return;
        };
        let granted = Event::Granted(Grant {
            attempt: run.attempt,
            server: run.server,
            addr,
            valid_until: now + GRANT_START_TIMEOUT,
        });
        pending.waiting_since = None;
        pending.started_at = Some(started_at);
        if !send_event(&pending.inbox, granted) {
            self.pending.remove(&run.attempt.request);
            self.release_unused(run.attempt, now);
        }
    }

    fn is_refused(&self, request: RequestId) -> bool {
        let pending = self.pending.get(&request);
        let status = pending.map(|pending| self.suspect_status(pending.fingerprint));
        matches!(status, Some(FingerprintStatus::Refused { .. }))
    }

    /// Refuses every waiting request with a fingerprint.
    pub(super) fn refuse_waiting(&mut self, fingerprint: Fingerprint, code: ErrorCode) {
        let now = self.clock.now();
        for request in self.waiting_with(fingerprint) {
            self.refuse(request, code);
            self.requester_event(requester::Event::Cancel(request), now);
        }
    }

    /// Marks every waiting request with a fingerprint as suspect, so that it runs only apart.
    pub(super) fn suspect_waiting(&mut self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        for request in self.waiting_with(fingerprint) {
            self.requester_event(requester::Event::Suspect(request), now);
        }
    }

    fn waiting_with(&self, fingerprint: Fingerprint) -> Vec<RequestId> {
        let is_waiting =
            |pending: &&Pending| pending.fingerprint == fingerprint && pending.is_waiting();
        let waiting = self.pending.values().filter(is_waiting);
        waiting.map(|pending| pending.attempt.request).collect()
    }

    fn release_unused(&mut self, attempt: AttemptId, now: Mono) {
        let finished = Finished {
            attempt,
            ending: Ending::Unsent,
            used: 0,
            first: None,
            inter: None,
        };
        self.requester_event(requester::Event::Ended(finished), now);
    }

    /// Returns how long the oldest waiting request of an account has waited, in milliseconds.
    pub(super) fn oldest_wait_millis(&self, pool: &str, account: &str, now: Mono) -> u64 {
        let waiting = self
            .pending
            .values()
            .filter(|pending| pending.pool == pool && pending.account == account);
        let waiting_since = waiting
            .filter_map(|pending| pending.waiting_since)
            .min()
            .unwrap_or(now);
        u64::try_from(now.saturating_sub(waiting_since).as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends a waiting request with an error code.
    pub(super) fn refuse(&mut self, request: RequestId, code: ErrorCode) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let full = code == ErrorCode::QueueFull;
        let refused = Event::QueueRefused {
            attempt: pending.attempt,
            code,
            retry_after: full.then_some(QUEUE_FULL_RETRY_AFTER),
        };
        send_event(&pending.inbox, refused);
    }
}

/// Sends an event to a request; returns `false` if the request has ended or its inbox is full.
fn send_event(inbox: &Inbox, event: Event) -> bool {
    inbox.try_send(BrokerReply::Event(event)).is_ok()
}

fn ending(result: AttemptResult) -> Ending {
    match result {
        AttemptResult::Unused => Ending::Unsent,
        AttemptResult::Done => Ending::Done,
        AttemptResult::Refused => Ending::Refused,
        AttemptResult::Unreachable | AttemptResult::ServerLost => Ending::Lost,
        AttemptResult::Broken => Ending::Failed,
        AttemptResult::Cancelled | AttemptResult::Abandoned => Ending::Cancelled,
    }
}

/// Truncates a hash to its low 32 bits for the wire.
fn truncate_hash(hash: u64) -> u32 {
    let bytes = hash.to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

fn micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}
