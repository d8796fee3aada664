//! One accepted request until its response.
//!
//! A [`Job`] places the request on a server, runs the attempt, and retries on another server as far
//! as the route, the deadline and the retry budget allow.

use std::rc::Rc;
use std::time::Duration;

use http::request;
use http::Response;
use http::StatusCode;
use primrose_conn::RequestBody;
use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_core::id::RouteId;
use primrose_fleet::demand::AccountShare;
use primrose_fleet::entry::BuildId;
use primrose_fleet::limit::LimitCounts;
use primrose_fleet::origin::stream_id;
use primrose_fleet::AttemptOutcome;
use primrose_fleet::Decision;
use primrose_fleet::Placement;
use primrose_fleet::PlacementRequest;
use primrose_fleet::Refusal;

use crate::adapter::RequestHead;
use crate::attempt;
use crate::attempt::Failure;
use crate::attempt::ServerResponse;
use crate::body::ResponseBody;
use crate::event::Event;
use crate::event::ShareRecord;
use crate::guard::PlacementGuard;
use crate::reply::Reply;
use crate::shared::millis;
use crate::shared::RunningGuard;
use crate::shared::Shared;
use crate::stream;
use crate::stream::StreamedJob;

/// Minimum time left before the deadline for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Retry-After of a request that was tried on servers but run by none.
const RETRY_AFTER_NOT_RUN: Duration = Duration::from_millis(300);

/// An accepted request.
pub(crate) struct Job {
    pub(crate) shared: Rc<Shared>,
    pub(crate) http_head: request::Parts,
    pub(crate) body: RequestBody,
    pub(crate) request_head: RequestHead,
    pub(crate) request: PlacementRequest,
    /// Number of failed attempts whose servers may have run the request.
    pub(crate) runs: u32,
    /// When the first event or the whole response arrived.
    pub(crate) first_event_at: Option<Mono>,
    /// Counts the request as running until the job is dropped.
    pub(crate) _running: RunningGuard,
}

impl Job {
    /// Returns the time left until the deadline; none once the process is about to exit.
    pub(crate) fn remaining(&self) -> Duration {
        if self.shared.is_exiting.get() {
            return Duration::ZERO;
        }
        self.request.deadline.saturating_sub(self.shared.now())
    }

    /// Runs attempts until one succeeds or no other is allowed.
    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        loop {
            let placement = match self.decide() {
                Ok(placement) => placement,
                Err(refusal) => return self.refuse(&refusal),
            };
            let mut guard = PlacementGuard::new(&self.shared, &self.request, placement);
            let failure = match attempt::run(&self, &mut guard).await {
                Ok(ServerResponse::Complete(response)) => {
                    self.first_event_at = Some(self.shared.now());
                    self.log_answered(Some(&guard.placement), response.status(), "whole");
                    guard.finish(AttemptOutcome::Good);
                    return response;
                }
                Ok(ServerResponse::Stream(start)) => {
                    guard.record_events();
                    guard.record_progress(start.source.splitter.event_count());
                    self.first_event_at = Some(self.shared.now());
                    self.record_build(guard.placement.build);
                    let head = start.head();
                    let streamed = StreamedJob::new(self, head.status, &guard.placement);
                    let body = ResponseBody::stream(|chunks| {
                        stream::forward(streamed, guard, start, chunks)
                    });
                    return Response::from_parts(head, body);
                }
                Err(failure) => failure,
            };
            let placement = guard.placement.clone();
            guard.finish(failure.outcome);
            if !self.record_failure(&placement, &failure) {
                return self.give_up(&placement, failure);
            }
        }
    }

    /// Records which build began the stream, or continues it.
    fn record_build(&mut self, build: BuildId) {
        self.request.build = Some(build);
        let head = &self.request_head;
        let named = head
            .resumes
            .as_ref()
            .filter(|_| head.last_event_id.is_some());
        let stream = stream_id(named.unwrap_or(&head.id));
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.record_stream(stream, build, now);
    }

    /// Selects a server and logs the decision.
    pub(crate) fn decide(&self) -> Result<Placement, Box<Refusal>> {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        let decision = fleet.decide(&self.request, now);
        let generation = fleet.generation();
        let list_version = fleet.list_version();
        let size = fleet.gateway_count();
        let view_age = fleet.view_age(now);
        drop(fleet);
        match decision {
            Decision::Send(placement) => {
                self.shared.log.event(&Event::Sent {
                    request: self.request_head.id.clone(),
                    account: self.request.account.clone(),
                    route: self.request.route.name.clone(),
                    server: placement.server.clone(),
                    resumes: self.request_head.resumes.clone(),
                    tried: self.request.tried.len(),
                    predicted_ms: millis(placement.predicted),
                    waiting_tokens: placement.queued_tokens,
                    generation,
                    list_version,
                    fleet: size,
                    share: self.share_record(placement.share),
                    view_age_ms: millis(view_age),
                    limits: placement.limits.map(Into::into),
                });
                Ok(placement)
            }
            Decision::Refuse(refusal) => Err(Box::new(refusal)),
        }
    }

    /// Returns the usage and the shares of the account as they are logged.
    fn share_record(&self, share: Option<AccountShare>) -> Option<ShareRecord> {
        let tokens = self.request.prompt.map_or(0, |prompt| prompt.service());
        share.map(|share| ShareRecord::new(tokens, share))
    }

    /// Records a failed attempt; returns whether another server may be tried.
    pub(crate) fn record_failure(&mut self, placement: &Placement, failure: &Failure) -> bool {
        if failure.may_have_run {
            self.runs += 1;
        }
        self.request.tried.push(placement.server.clone());
        let allowed = self.may_retry(failure);
        let next = if allowed { "another_server" } else { "give_up" };
        metrics::counter!("attempts_failed", "outcome" => failure.outcome.to_string()).increment(1);
        let parts = self.request.parts.iter();
        self.shared.log.event(&Event::AttemptFailed {
            request: self.request_head.id.clone(),
            server: placement.server.clone(),
            parts: parts.map(|part| format!("{part:x}")).collect(),
            outcome: failure.outcome.to_string(),
            reason: failure.reason.clone(),
            may_have_run: failure.may_have_run,
            next,
            took_ms: millis(self.shared.now().saturating_sub(placement.started)),
        });
        allowed
    }

    fn may_retry(&self, failure: &Failure) -> bool {
        let route = &self.request.route;
        if self.remaining() < MIN_ATTEMPT_TIME || self.runs >= route.tries {
            return false;
        }
        if self.runs > 0 && !route.kind.is_repeatable() {
            return false;
        }
        // A server to which no connection could be made has received nothing, so the retry budget
        // is not charged. The outcome also covers a silent server, which has received the request.
        if failure.outcome == AttemptOutcome::Unreachable && !failure.may_have_run {
            return true;
        }
        self.shared.fleet.borrow_mut().try_retry(&self.request)
    }

    /// Responds to a request for which no server was selected.
    fn refuse(&self, refusal: &Refusal) -> Response<ResponseBody> {
        let reason = refusal.reason.to_string();
        if self.runs > 0 {
            return self.reply_unknown_outcome(StatusCode::BAD_GATEWAY, &reason);
        }
        let after = add_jitter(refusal.retry_after);
        let reply = Reply::not_run(reason, after);
        log_refusal(
            &self.shared,
            &RefusalRecord {
                request_head: &self.request_head,
                account: self.request.account.as_ref(),
                route: Some(&self.request.route.name),
                arrived: self.request.arrived,
                reply: &reply,
                predicted: refusal.predicted,
                allowed: refusal.allowed,
                share: self.share_record(refusal.share),
                limits: refusal.limits,
            },
        );
        reply.into_response(&self.shared, &self.request_head.id)
    }

    /// Responds to a request after its last attempt failed.
    fn give_up(&self, placement: &Placement, failure: Failure) -> Response<ResponseBody> {
        if let Some(response) = failure.response {
            let response = *response;
            self.log_answered(Some(placement), response.status(), "server_failed");
            return response;
        }
        if self.runs == 0 {
            let refusal = Refusal {
                reason: primrose_fleet::RefusalReason::RetryBudget,
                retry_after: RETRY_AFTER_NOT_RUN,
                predicted: Duration::ZERO,
                allowed: Duration::ZERO,
                share: None,
                limits: None,
            };
            return self.refuse(&refusal);
        }
        let status = if self.remaining().is_zero() {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        self.reply_unknown_outcome(status, &failure.reason)
    }

    /// Responds to a request that may have run and for which there is no response to forward.
    fn reply_unknown_outcome(&self, status: StatusCode, reason: &str) -> Response<ResponseBody> {
        self.log_answered(None, status, "outcome_unknown");
        Reply::new(status, reason).into_response(&self.shared, &self.request_head.id)
    }

    /// Logs why no server resumes a stream.
    pub(crate) fn log_not_resumed(&self, refusal: &Refusal) {
        self.shared.log.event(&Event::NotResumed {
            request: self.request_head.id.clone(),
            reason: refusal.reason.to_string(),
            predicted_ms: millis(refusal.predicted),
            allowed_ms: millis(refusal.allowed),
        });
    }

    /// Logs and counts how the request ended.
    pub(crate) fn log_answered(
        &self,
        placement: Option<&Placement>,
        status: StatusCode,
        outcome: &'static str,
    ) {
        let now = self.shared.now();
        let whole = now.saturating_sub(self.request.arrived);
        let first = self
            .first_event_at
            .map(|at| at.saturating_sub(self.request.arrived));
        metrics::counter!("requests", "outcome" => outcome).increment(1);
        let account = self.request.account.as_ref();
        self.shared.account_metrics.count(account, outcome);
        if let Some(first) = first {
            metrics::histogram!("first_seconds").record(first.as_secs_f64());
        }
        metrics::histogram!("whole_seconds").record(whole.as_secs_f64());
        self.shared.log.event(&Event::Answered {
            request: self.request_head.id.clone(),
            server: placement.map(|placement| placement.server.clone()),
            status: status.as_u16(),
            outcome,
            runs: self.runs,
            first_ms: first.map_or(0, millis),
            whole_ms: millis(whole),
        });
    }
}

/// A refusal as it is logged.
pub(crate) struct RefusalRecord<'a> {
    pub(crate) request_head: &'a RequestHead,
    pub(crate) account: Option<&'a AccountId>,
    pub(crate) route: Option<&'a RouteId>,
    pub(crate) arrived: Mono,
    pub(crate) reply: &'a Reply,
    pub(crate) predicted: Duration,
    pub(crate) allowed: Duration,
    pub(crate) share: Option<ShareRecord>,
    pub(crate) limits: Option<LimitCounts>,
}

/// Logs and counts a refusal.
pub(crate) fn log_refusal(shared: &Shared, record: &RefusalRecord<'_>) {
    let fleet = shared.fleet.borrow();
    metrics::counter!("refusals", "reason" => record.reply.reason.clone()).increment(1);
    shared.account_metrics.count(record.account, "refused");
    let now = shared.now();
    shared.log.event(&Event::Refused {
        request: record.request_head.id.clone(),
        account: record.account.cloned(),
        route: record.route.cloned(),
        resumes: record.request_head.resumes.clone(),
        status: record.reply.status.as_u16(),
        reason: record.reply.reason.clone(),
        predicted_ms: millis(record.predicted),
        allowed_ms: millis(record.allowed),
        retry_after_ms: record.reply.retry_after.map_or(0, millis),
        waited_ms: millis(now.saturating_sub(record.arrived)),
        share: record.share,
        limits: record.limits.map(Into::into),
        view_age_ms: millis(fleet.view_age(now)),
        generation: fleet.generation(),
        list_version: fleet.list_version(),
    });
}

/// Adds jitter to a Retry-After, so that refused callers do not return all at once.
fn add_jitter(after: Duration) -> Duration {
    after.mul_f64(rand::random_range(0.8..1.4))
}
