//! State machine of one request at the router that received it.
//!
//! [`Lifecycle::handle`] takes an event and returns the actions to carry out. It keeps these rules:
//!
//! - The idempotency key is claimed before the request queues for a slot, so that no slot is idle
//!   while the key-value service replies, and so that a resend of the request never queues.
//! - From [`Action::Send`] on, the request is treated as possibly run, until the server itself
//!   reports that it refused it. A non-idempotent request in that state gets no further attempt.
//! - An idempotent request is retried on another server only while no part of a response has
//!   reached the caller. For that reason the status line is held back until the first item.
//! - A broken stream is resumed at its own server; items are forwarded in order, each once.
//! - `not run` is reported only while the request is not treated as possibly run.
//! - Each grant is reported exactly once, and the caller's response is ended exactly once.
//!
//! A non-idempotent run continues after the caller has disconnected or was given an error, because
//! its outcome must still be recorded. [`Lifecycle::is_over`] tells when the state can be dropped.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;

use crate::action::Action;
use crate::action::AttemptResult;
use crate::action::FinalResult;
use crate::action::ResponsePart;
use crate::action::Settlement;
use crate::event::ClaimReply;
use crate::event::Event;
use crate::event::Grant;
use crate::event::RetryDecision;
use crate::run::Run;
use crate::spec::Spec;

/// Maximum number of attempts of one request, over all servers, for which a connection is opened.
pub const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of consecutive connections that may break without an item before the stream is
/// given up.
pub const MAX_CONSECUTIVE_BREAKS: u32 = 4;
/// Delay before the first connection that resumes a stream; doubles with each consecutive one.
pub const RESUME_DELAY: Duration = Duration::from_millis(20);

/// Phase of the request.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// Not yet admitted.
    New,
    /// Waiting for the reply to the claim.
    Claiming,
    /// Waiting for a grant of this attempt.
    Queued(AttemptId),
    /// An attempt holds a grant.
    Running(Run),
    /// Waiting for the retry decision after a failure with this code.
    AwaitingRetry(ErrorCode),
    /// No further attempt will be made.
    Over,
}

/// State of the claim on the idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Claim {
    /// No claim is held or requested.
    None,
    /// The claim is requested; the reply has not arrived.
    Requested,
    /// This request holds the claim.
    Held,
}

/// State machine of one request.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    pub(crate) spec: Spec,
    pub(crate) phase: Phase,
    pub(crate) claim: Claim,
    /// Number of the attempt that was registered last.
    pub(crate) last_attempt: u32,
    /// Number of attempts for which a connection was opened, over all servers.
    pub(crate) opened_attempts: u32,
    /// Whether an attempt was sent that its server did not refuse.
    pub(crate) may_have_run: bool,
    /// Value of `may_have_run` before the current attempt was sent.
    pub(crate) may_have_run_before: bool,
    /// Whether part of the response has been forwarded to the caller.
    pub(crate) forwarded: bool,
    /// Whether any items of the current attempt are held.
    pub(crate) holds_items: bool,
    /// Whether items are forwarded as they arrive, instead of being held until the response is
    /// complete.
    pub(crate) pass_through: bool,
    /// Whether the response to the caller has been ended.
    pub(crate) finished: bool,
    /// Whether the caller is connected and its response has not been ended.
    pub(crate) caller_listening: bool,
    /// Whether the next attempt must run alone on the server reserved for suspects.
    pub(crate) suspect: bool,
    /// Servers on which earlier attempts failed.
    pub(crate) avoid: Vec<ServerId>,
    /// Attempt and server of each reported grant.
    pub(crate) reported: Vec<(AttemptId, ServerId)>,
}

impl Lifecycle {
    /// Creates the state machine of a request that has been read from the caller.
    pub fn new(spec: Spec) -> Self {
        Self {
            suspect: spec.suspect,
            pass_through: spec.stream,
            spec,
            phase: Phase::New,
            claim: Claim::None,
            last_attempt: 0,
            opened_attempts: 0,
            may_have_run: false,
            may_have_run_before: false,
            forwarded: false,
            holds_items: false,
            finished: false,
            caller_listening: true,
            avoid: Vec::new(),
            reported: Vec::new(),
        }
    }

    /// Returns the description of the request.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns whether the state can be dropped: only late grants can still arrive.
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Over) && self.claim == Claim::None
    }

    /// Returns the attempt that holds a grant, and its server.
    pub fn running(&self) -> Option<(AttemptId, &ServerId)> {
        match &self.phase {
            Phase::Running(run) => Some((run.grant.attempt, &run.grant.server)),
            _ => None,
        }
    }

    /// Returns the attempt that waits for a grant.
    pub fn waiting(&self) -> Option<AttemptId> {
        match self.phase {
            Phase::Queued(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Start => self.start(&mut out),
            Event::Claim(reply) => self.claim_replied(reply, &mut out),
            Event::Granted(grant) => self.granted(grant, now, &mut out),
            Event::QueueRefused {
                attempt,
                code,
                retry_after,
            } => self.queue_refused(attempt, code, retry_after, &mut out),
            Event::Conn { conn, event } => self.conn_event(conn, event, now, &mut out),
            Event::Retry(decision) => self.retry_decided(decision, &mut out),
            Event::CallerDisconnected => self.caller_disconnected(now, &mut out),
            Event::Deadline => self.deadline(now, &mut out),
            Event::RunLimit => self.run_limit(now, &mut out),
            Event::Shutdown => self.stop(Some(ErrorCode::ShuttingDown), now, &mut out),
        }
        out
    }

    fn start(&mut self, out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::New) {
            return;
        }
        if self.spec.needs_claim() {
            self.phase = Phase::Claiming;
            self.claim = Claim::Requested;
            out.push(Action::Claim);
        } else {
            self.enqueue(Duration::ZERO, out);
        }
    }

    fn claim_replied(&mut self, reply: ClaimReply, out: &mut Vec<Action>) {
        if self.claim != Claim::Requested {
            return;
        }
        let made = reply == ClaimReply::Made;
        self.claim = if made { Claim::Held } else { Claim::None };
        if !matches!(self.phase, Phase::Claiming) {
            // The request ended before the reply arrived; nothing was sent under the claim.
            self.close_claim(out);
            return;
        }
        match reply {
            ClaimReply::Made => self.enqueue(Duration::ZERO, out),
            ClaimReply::Done => {
                out.push(Action::Forward(ResponsePart::Stored));
                self.end(Outcome::Done, None, None, out);
            }
            ClaimReply::Busy => self.end(Outcome::Unknown, Some(ErrorCode::InProgress), None, out),
            ClaimReply::Unknown => {
                self.end(Outcome::Unknown, Some(ErrorCode::OutcomeUnknown), None, out);
            }
            ClaimReply::NotRun => self.end(Outcome::NotRun, Some(ErrorCode::KeyClosed), None, out),
            ClaimReply::Conflict => {
                self.end(Outcome::NotRun, Some(ErrorCode::KeyReused), None, out)
            }
            ClaimReply::Unavailable { retry_after } => {
                let code = Some(ErrorCode::ClaimsUnavailable);
                self.end(Outcome::NotRun, code, Some(retry_after), out);
            }
        }
    }

    /// Registers a new attempt with the dispatcher.
    fn enqueue(&mut self, delay: Duration, out: &mut Vec<Action>) {
        self.last_attempt += 1;
        let attempt = AttemptId {
            request: self.spec.id,
            number: self.last_attempt,
        };
        self.phase = Phase::Queued(attempt);
        out.push(Action::Enqueue {
            attempt,
            delay,
            suspect: self.suspect,
            avoid: self.avoid.clone(),
        });
    }

    fn granted(&mut self, grant: Grant, now: Mono, out: &mut Vec<Action>) {
        if self.is_duplicate(&grant) {
            return;
        }
        let expected = matches!(self.phase, Phase::Queued(attempt) if attempt == grant.attempt);
        if !expected {
            self.report(&grant, AttemptResult::Unused, out);
            return;
        }
        if now > grant.valid_until {
            // The grant expired, for example while this process was paused, and the dispatcher
            // may have granted the slot to another attempt.
            self.report(&grant, AttemptResult::Unused, out);
            self.enqueue(Duration::ZERO, out);
            return;
        }
        let run = Run::new(grant);
        out.push(Action::Open {
            conn: run.conn,
            server: run.grant.server.clone(),
            addr: run.grant.addr,
        });
        self.opened_attempts += 1;
        self.phase = Phase::Running(run);
    }

    /// Returns whether the grant is a duplicate of the one in use.
    fn is_duplicate(&self, grant: &Grant) -> bool {
        self.running() == Some((grant.attempt, &grant.server))
    }

    /// Reports the result of a grant, unless it has been reported.
    pub(crate) fn report(&mut self, grant: &Grant, result: AttemptResult, out: &mut Vec<Action>) {
        let key = (grant.attempt, grant.server.clone());
        if self.reported.contains(&key) {
            return;
        }
        out.push(Action::Report {
            attempt: grant.attempt,
            server: grant.server.clone(),
            result,
        });
        self.reported.push(key);
    }

    fn queue_refused(
        &mut self,
        attempt: AttemptId,
        code: ErrorCode,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        if matches!(self.phase, Phase::Queued(waiting) if waiting == attempt) {
            self.end(self.outcome(), Some(code), retry_after, out);
        }
    }

    fn retry_decided(&mut self, decision: RetryDecision, out: &mut Vec<Action>) {
        let Phase::AwaitingRetry(code) = self.phase else {
            return;
        };
        match decision {
            RetryDecision::Allowed { delay, suspect } => {
                self.suspect = suspect;
                self.enqueue(delay, out);
            }
            RetryDecision::Denied => self.end(self.outcome(), Some(code), None, out),
            RetryDecision::Poisoned { retry_after } => {
                let code = Some(ErrorCode::Poison);
                self.end(self.outcome(), code, Some(retry_after), out);
            }
        }
    }

    /// Returns the outcome of a request without a complete response.
    pub(crate) fn outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Closes the claim and ends the response to the caller.
    pub(crate) fn end(
        &mut self,
        outcome: Outcome,
        code: Option<ErrorCode>,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.phase = Phase::Over;
        self.close_claim(out);
        self.finish(outcome, code, retry_after, out);
    }

    /// Closes the claim, if one is held, of a request without a complete response.
    fn close_claim(&mut self, out: &mut Vec<Action>) {
        if self.claim != Claim::Held {
            return;
        }
        self.claim = Claim::None;
        out.push(match self.outcome() {
            Outcome::NotRun => Action::ReleaseClaim,
            _ => Action::Settle(Settlement::Unknown),
        });
    }

    /// Ends the response to the caller, unless it has been ended.
    pub(crate) fn finish(
        &mut self,
        outcome: Outcome,
        code: Option<ErrorCode>,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        if self.finished {
            return;
        }
        self.finished = true;
        self.caller_listening = false;
        out.push(Action::Finish(FinalResult {
            outcome,
            code,
            retry_after,
            partial: self.forwarded,
        }));
    }
}
