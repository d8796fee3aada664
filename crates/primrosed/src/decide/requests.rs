//! Requests of this router's front: waiting, running, ended.

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
use primrose_front::broker::Inbox;
use primrose_front::broker::Report;
use primrose_front::broker::Told;
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

/// How long the front may take to start a grant.
const START_TIME: Duration = Duration::from_secs(3);
/// Retry hint of a request whose account's queue is full.
const FULL_RETRY: Duration = Duration::from_secs(1);
/// Delays of retries.
const RETRY_DELAY: BackoffConfig = BackoffConfig {
    base: Duration::from_millis(20),
    cap: Duration::from_millis(500),
};

/// A request that waits for a slot or runs.
#[derive(Debug)]
pub(super) struct Pending {
    attempt: AttemptId,
    inbox: Inbox,
    cost: Service,
    account: AccountId,
    pool: PoolId,
    /// When it began to wait; nothing once it has a slot.
    since: Option<Mono>,
    /// When it got its slot, by the wall clock.
    began: Option<UnixMillis>,
    fingerprint: Fingerprint,
}

impl Pending {
    /// Whether it has no slot yet.
    pub(super) fn waits(&self) -> bool {
        self.since.is_some()
    }
}

impl Decider {
    /// Takes what the front asks.
    pub(super) fn ask(&mut self, ask: Ask) {
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
                let verdict = self.retry_verdict(&pool, fingerprint);
                tell(&inbox, Event::Retry(verdict));
            }
            Ask::Ended(_) => {}
            Ask::Claim { .. } | Ask::Release { .. } | Ask::Settle { .. } => {
                log::error!("the deciding thread was asked for a claim");
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
            since: Some(now),
            began: None,
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
            prefixes: waiting.prefixes.iter().map(|hash| fold(*hash)).collect(),
            deadline: now + waiting.left,
        };
        self.requester_event(requester::Event::Enqueue(work), now);
    }

    fn withdraw(&mut self, attempt: AttemptId, now: Mono) {
        self.pending.remove(&attempt.request);
        self.requester_event(requester::Event::Cancel(attempt.request), now);
    }

    fn report(&mut self, report: &Report, now: Mono) {
        let used = self.used(report);
        let pending = self.pending.remove(&report.attempt.request);
        self.learn(report, pending.and_then(|pending| pending.began));
        self.observer.reporter.see(Observation::Served {
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

    /// Service that an attempt has used: what the server counted, or what the route states.
    fn used(&self, report: &Report) -> Service {
        let table = self.published.table();
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

    fn retry_verdict(&mut self, pool: &str, fingerprint: Fingerprint) -> RetryDecision {
        let standing = self.suspect_standing(fingerprint);
        if let FingerprintStatus::Refused { retry_after } = standing {
            return RetryDecision::Poisoned { retry_after };
        }
        if !self.budget(pool).try_retry() {
            return RetryDecision::Denied;
        }
        RetryDecision::Allowed {
            delay: Backoff::new(RETRY_DELAY).next_delay(&mut self.rng),
            suspect: standing == FingerprintStatus::Suspect,
        }
    }

    /// Hands a grant to its request; whatever keeps it from starting gives the slot back.
    pub(super) fn start(&mut self, run: Run, now: Mono) {
        if self.is_refused(run.attempt.request) {
            // Refused since it was registered: it must not reach another server.
            self.refuse(run.attempt.request, ErrorCode::Poison);
            self.unsent(run.attempt, now);
            return;
        }
        let began = self.unix_millis();
        self.observe_grant(&run.pool, &run.server, now);
        let addr = self.directory.addr(&run.pool, &run.server);
        let pending = self.pending.get_mut(&run.attempt.request);
        let wanted = pending.filter(|pending| pending.attempt == run.attempt);
        let (Some(pending), Some(addr)) = (wanted, addr) else {
            self.refuse(run.attempt.request, ErrorCode::ServerLost);
            self.unsent(run.attempt, now);
            return;
        };
        let granted = Event::Granted(Grant {
            attempt: run.attempt,
            server: run.server,
            addr,
            valid_until: now + START_TIME,
        });
        pending.since = None;
        pending.began = Some(began);
        if !tell(&pending.inbox, granted) {
            self.pending.remove(&run.attempt.request);
            self.unsent(run.attempt, now);
        }
    }

    fn is_refused(&self, request: RequestId) -> bool {
        let pending = self.pending.get(&request);
        let standing = pending.map(|pending| self.suspect_standing(pending.fingerprint));
        matches!(standing, Some(FingerprintStatus::Refused { .. }))
    }

    /// Ends the wait of every request with a fingerprint.
    pub(super) fn refuse_waiting(&mut self, fingerprint: Fingerprint, code: ErrorCode) {
        let now = self.clock.now();
        for request in self.waiting_with(fingerprint) {
            self.refuse(request, code);
            self.requester_event(requester::Event::Cancel(request), now);
        }
    }

    /// Lets every waiting request with a fingerprint run only apart.
    pub(super) fn suspect_waiting(&mut self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        for request in self.waiting_with(fingerprint) {
            self.requester_event(requester::Event::Suspect(request), now);
        }
    }

    fn waiting_with(&self, fingerprint: Fingerprint) -> Vec<RequestId> {
        let waits = |one: &&Pending| one.fingerprint == fingerprint && one.waits();
        let waiting = self.pending.values().filter(waits);
        waiting.map(|one| one.attempt.request).collect()
    }

    fn unsent(&mut self, attempt: AttemptId, now: Mono) {
        let finished = Finished {
            attempt,
            ending: Ending::Unsent,
            used: 0,
            first: None,
            inter: None,
        };
        self.requester_event(requester::Event::Ended(finished), now);
    }

    /// Time in milliseconds for which the account's oldest request has waited here.
    pub(super) fn oldest(&self, pool: &str, account: &str, now: Mono) -> u64 {
        let waiting = self
            .pending
            .values()
            .filter(|one| one.pool == pool && one.account == account);
        let since = waiting.filter_map(|one| one.since).min().unwrap_or(now);
        u64::try_from(now.saturating_sub(since).as_millis()).unwrap_or(u64::MAX)
    }

    /// Tells a waiting request that it is not served.
    pub(super) fn refuse(&mut self, request: RequestId, code: ErrorCode) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let full = code == ErrorCode::QueueFull;
        let refused = Event::QueueRefused {
            attempt: pending.attempt,
            code,
            retry_after: full.then_some(FULL_RETRY),
        };
        tell(&pending.inbox, refused);
    }
}

/// Puts an event into a request's inbox; `false` if the request has ended.
fn tell(inbox: &Inbox, event: Event) -> bool {
    inbox.try_send(Told::Event(event)).is_ok()
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

/// Shortens a hash for the wire.
fn fold(hash: u64) -> u32 {
    let bytes = hash.to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

fn micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}
