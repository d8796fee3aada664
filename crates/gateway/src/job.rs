//! One request, from its acceptance to its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request;
use http::Response;
use http::StatusCode;
use primrose_core::clock::Mono;
use primrose_fleet::AttemptOutcome;
use primrose_fleet::Decision;
use primrose_fleet::Placement;
use primrose_fleet::PlacementRequest;
use primrose_fleet::Refusal;
use tokio::sync::mpsc;

use crate::attempt;
use crate::attempt::Failure;
use crate::attempt::Got;
use crate::body::OutBody;
use crate::border::Call;
use crate::event::Event;
use crate::hold::Hold;
use crate::reply::Reply;
use crate::shared::millis;
use crate::shared::Running;
use crate::shared::Shared;
use crate::stream;

/// Parts of a stream that may wait for a slow caller before its server is held back.
const PARTS_WAITING: usize = 32;
/// Time that must be left for a request to be sent to one more server.
const WORTH_SENDING: Duration = Duration::from_millis(30);
/// Retry-After of a request that no server ran, though some were asked.
const RETRY_UNRUN: Duration = Duration::from_millis(300);

/// A request that was accepted.
pub(crate) struct Job {
    pub(crate) shared: Rc<Shared>,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) call: Call,
    pub(crate) request: PlacementRequest,
    /// Servers that may have run it.
    pub(crate) runs: u32,
    /// When the first event or the answer came.
    pub(crate) first: Option<Mono>,
    /// Counts the request as running until the job is dropped.
    pub(crate) _running: Running,
}

impl Job {
    /// Time that is left for the request.
    pub(crate) fn left(&self) -> Duration {
        self.request.deadline.saturating_sub(self.shared.now())
    }

    /// Sends the request to servers until one answers or nothing more can be done.
    pub(crate) async fn run(mut self) -> Response<OutBody> {
        loop {
            let placement = match self.decide() {
                Ok(placement) => placement,
                Err(refusal) => return self.refused(refusal),
            };
            let mut hold = Hold::new(&self.shared, &self.request, placement);
            let failure = match attempt::answer(&self, &mut hold).await {
                Ok(Got::Whole(response)) => {
                    self.first = Some(self.shared.now());
                    self.log_answered(Some(&hold.placement), response.status(), "whole");
                    hold.end(AttemptOutcome::Good);
                    return response;
                }
                Ok(Got::Stream(opened)) => {
                    hold.first_event();
                    self.first = Some(self.shared.now());
                    let (parts, body) = mpsc::channel(PARTS_WAITING);
                    let response = Response::from_parts(opened.head(), OutBody::Parts(body));
                    tokio::task::spawn_local(stream::pump(self, hold, opened, parts));
                    return response;
                }
                Err(failure) => failure,
            };
            let placement = hold.placement.clone();
            hold.end(failure.ended);
            if !self.goes_on(&placement, &failure) {
                return self.give_up(&placement, failure);
            }
        }
    }

    /// Picks a server and logs the decision.
    pub(crate) fn decide(&self) -> Result<Placement, Refusal> {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        let decision = fleet.decide(&self.request, now);
        let generation = fleet.generation();
        let list_version = fleet.list_version();
        let size = fleet.gateway_count();
        drop(fleet);
        match decision {
            Decision::Send(placement) => {
                self.shared.log.event(&Event::Sent {
                    request: self.call.id.clone(),
                    account: self.request.account.clone(),
                    route: self.request.route.name.clone(),
                    server: placement.server.clone(),
                    tried: self.request.tried.len(),
                    predicted_ms: millis(placement.predicted),
                    waiting_tokens: placement.queued_tokens,
                    generation,
                    list_version,
                    fleet: size,
                });
                Ok(placement)
            }
            Decision::Refuse(refusal) => Err(refusal),
        }
    }

    /// Records a failed attempt; returns whether another server may be asked.
    pub(crate) fn goes_on(&mut self, placement: &Placement, failure: &Failure) -> bool {
        if failure.may_have_run {
            self.runs += 1;
        }
        self.request.tried.push(placement.server.clone());
        let allowed = self.may_repeat(failure);
        let next = if allowed { "another_server" } else { "give_up" };
        metrics::counter!("attempts_failed", "outcome" => failure.ended.to_string()).increment(1);
        self.shared.log.event(&Event::AttemptFailed {
            request: self.call.id.clone(),
            server: placement.server.clone(),
            outcome: failure.ended.to_string(),
            reason: failure.reason.clone(),
            may_have_run: failure.may_have_run,
            next,
            took_ms: millis(self.shared.now().saturating_sub(placement.started)),
        });
        allowed
    }

    fn may_repeat(&self, failure: &Failure) -> bool {
        let route = &self.request.route;
        if self.left() < WORTH_SENDING || self.runs >= route.tries {
            return false;
        }
        if self.runs > 0 && !route.kind.is_repeatable() {
            return false;
        }
        // A server that could not be reached got nothing, so the budget is not drawn on.
        if failure.ended == AttemptOutcome::Unreachable {
            return true;
        }
        self.shared.fleet.borrow_mut().try_retry(&self.request)
    }

    /// Answers a request that no server is asked for.
    fn refused(&self, refusal: Refusal) -> Response<OutBody> {
        let reason = refusal.reason.to_string();
        if self.runs > 0 {
            return self.fail(StatusCode::BAD_GATEWAY, &reason);
        }
        let after = spread(refusal.retry_after);
        let reply = Reply::not_run(reason, after);
        log_refusal(
            &self.shared,
            &Refused {
                call: &self.call,
                request: Some(&self.request),
                reply: &reply,
                predicted: refusal.predicted,
                allowed: refusal.allowed,
            },
        );
        reply.into_response(&self.shared, &self.call.id)
    }

    /// Answers a request after its last attempt failed.
    fn give_up(&self, placement: &Placement, failure: Failure) -> Response<OutBody> {
        if let Some(response) = failure.answer {
            let response = *response;
            self.log_answered(Some(placement), response.status(), "server_failed");
            return response;
        }
        if self.runs == 0 {
            let refusal = Refusal {
                reason: primrose_fleet::RefusalReason::RetryBudget,
                retry_after: RETRY_UNRUN,
                predicted: Duration::ZERO,
                allowed: Duration::ZERO,
            };
            return self.refused(refusal);
        }
        let status = if self.left().is_zero() {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        self.fail(status, &failure.reason)
    }

    /// Answers a request of which nobody knows whether it ran, or whose run failed.
    fn fail(&self, status: StatusCode, reason: &str) -> Response<OutBody> {
        self.log_answered(None, status, "outcome_unknown");
        Reply::new(status, reason).into_response(&self.shared, &self.call.id)
    }

    /// Logs why no server goes on with a stream.
    pub(crate) fn log_not_resumed(&self, refusal: Refusal) {
        self.shared.log.event(&Event::NotResumed {
            request: self.call.id.clone(),
            reason: refusal.reason.to_string(),
            predicted_ms: millis(refusal.predicted),
            allowed_ms: millis(refusal.allowed),
        });
    }

    /// Logs how the request ended.
    pub(crate) fn log_answered(
        &self,
        placement: Option<&Placement>,
        status: StatusCode,
        outcome: &'static str,
    ) {
        let now = self.shared.now();
        let whole = now.saturating_sub(self.request.arrived);
        let first = self.first.map(|at| at.saturating_sub(self.request.arrived));
        metrics::counter!("requests", "outcome" => outcome).increment(1);
        let account = self.request.account.as_ref();
        self.shared.accounts.count(account, outcome);
        if let Some(first) = first {
            metrics::histogram!("first_seconds").record(first.as_secs_f64());
        }
        metrics::histogram!("whole_seconds").record(whole.as_secs_f64());
        self.shared.log.event(&Event::Answered {
            request: self.call.id.clone(),
            server: placement.map(|placement| placement.server.clone()),
            status: status.as_u16(),
            outcome,
            runs: self.runs,
            first_ms: first.map_or(0, millis),
            whole_ms: millis(whole),
        });
    }
}

/// A refusal, for the log.
pub(crate) struct Refused<'a> {
    pub(crate) call: &'a Call,
    pub(crate) request: Option<&'a PlacementRequest>,
    pub(crate) reply: &'a Reply,
    pub(crate) predicted: Duration,
    pub(crate) allowed: Duration,
}

/// Logs and counts a refusal.
pub(crate) fn log_refusal(shared: &Shared, refused: &Refused<'_>) {
    let fleet = shared.fleet.borrow();
    metrics::counter!("refusals", "reason" => refused.reply.reason.clone()).increment(1);
    let account = refused.request.and_then(|request| request.account.as_ref());
    shared.accounts.count(account, "refused");
    shared.log.event(&Event::Refused {
        request: refused.call.id.clone(),
        account: refused.request.and_then(|request| request.account.clone()),
        route: refused.request.map(|request| request.route.name.clone()),
        status: refused.reply.status.as_u16(),
        reason: refused.reply.reason.clone(),
        predicted_ms: millis(refused.predicted),
        allowed_ms: millis(refused.allowed),
        retry_after_ms: refused.reply.retry_after.map_or(0, millis),
        generation: fleet.generation(),
        list_version: fleet.list_version(),
    });
}

/// Spreads the return of refused callers, so that they do not come as one wave.
fn spread(after: Duration) -> Duration {
    after.mul_f64(rand::random_range(0.8..1.4))
}
