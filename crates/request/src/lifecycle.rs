//! The state machine of one request at the router that took it.
//!
//! [`Lifecycle::handle`] takes what happened and gives back what to do. The rules that it keeps:
//!
//! - A claim on the idempotency key is asked for first, before the request waits for a slot, so
//!   that no slot stands idle while the key-value service answers and a resend never queues.
//! - From [`Action::Send`] on, the request counts as possibly run, until the server itself says
//!   that it refused it. A non-idempotent request that counts so is never opened again.
//! - An idempotent request runs again elsewhere only while no part of an answer has reached the
//!   caller. The status line is held back until the first item for that reason.
//! - A broken stream is resumed at its own server; items are passed on in order, each once.
//! - `not run` is said only while the request does not count as possibly run.
//! - Each grant is reported exactly once, and the caller's answer is ended exactly once.
//!
//! A request that nobody waits for any more lives on while a non-idempotent run is under way,
//! because its outcome must still be recorded; [`Lifecycle::is_over`] tells when it can be dropped.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;

use crate::action::Action;
use crate::action::AnswerPart;
use crate::action::AttemptResult;
use crate::action::FinalResult;
use crate::action::Settlement;
use crate::event::ClaimReply;
use crate::event::Event;
use crate::event::Grant;
use crate::event::RetryDecision;
use crate::run::Run;
use crate::spec::Spec;

/// Most attempts that are given to a server for one request.
pub const MAX_ATTEMPTS: u32 = 3;
/// Most connections in a row that may break without an item before the stream is given up.
pub const MAX_BREAKS: u32 = 4;
/// Wait before the first resumption; doubles with each further one.
pub const RESUME_DELAY: Duration = Duration::from_millis(20);

/// Where the request stands.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// Not yet admitted.
    New,
    /// Waiting for the claims desk.
    Claiming,
    /// Waiting for a grant of this attempt.
    Queued(AttemptId),
    /// An attempt holds a grant.
    Running(Run),
    /// Waiting for the retry budget after this failure.
    Deciding(ErrorCode),
    /// Nothing more will be tried.
    Over,
}

/// What is known of the claim on the idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Claim {
    /// No claim is held or asked for.
    None,
    /// The claims desk has not yet answered.
    Asked,
    /// This request holds the claim.
    Held,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    pub(crate) spec: Spec,
    pub(crate) phase: Phase,
    pub(crate) claim: Claim,
    /// Number of the attempt that was registered last.
    pub(crate) attempts: u32,
    /// Attempts that were opened at a server.
    pub(crate) opened: u32,
    /// Whether an attempt was sent whose server did not refuse it.
    pub(crate) exposed: bool,
    /// The same before the current attempt was sent.
    pub(crate) exposed_before: bool,
    /// Whether the caller has seen a part of the answer.
    pub(crate) forwarded: bool,
    /// Whether items of the current attempt are held back.
    pub(crate) held: bool,
    /// Whether whole answers are no longer held back.
    pub(crate) flowing: bool,
    pub(crate) finished: bool,
    pub(crate) listening: bool,
    pub(crate) suspect: bool,
    pub(crate) avoid: Vec<ServerId>,
    /// Grants that have been reported.
    pub(crate) reported: Vec<(AttemptId, ServerId)>,
}

impl Lifecycle {
    /// Makes the machine for a request that has been read from the caller.
    pub fn new(spec: Spec) -> Self {
        Self {
            suspect: spec.suspect,
            flowing: spec.stream,
            spec,
            phase: Phase::New,
            claim: Claim::None,
            attempts: 0,
            opened: 0,
            exposed: false,
            exposed_before: false,
            forwarded: false,
            held: false,
            finished: false,
            listening: true,
            avoid: Vec::new(),
            reported: Vec::new(),
        }
    }

    /// The request.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Whether nothing more can follow but grants that arrive late.
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Over) && self.claim == Claim::None
    }

    /// The attempt and the server that the request holds a slot on.
    pub fn running(&self) -> Option<(AttemptId, &ServerId)> {
        match &self.phase {
            Phase::Running(run) => Some((run.grant.attempt, &run.grant.server)),
            _ => None,
        }
    }

    /// The attempt that waits for a grant.
    pub fn waiting(&self) -> Option<AttemptId> {
        match self.phase {
            Phase::Queued(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Takes an event and tells what to do, in order.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Start => self.start(&mut out),
            Event::Claim(reply) => self.claimed(reply, &mut out),
            Event::Granted(grant) => self.granted(grant, now, &mut out),
            Event::QueueRefused {
                attempt,
                code,
                retry_after,
            } => self.refused(attempt, code, retry_after, &mut out),
            Event::Conn { conn, event } => self.conn_event(conn, event, now, &mut out),
            Event::Retry(verdict) => self.retry(verdict, &mut out),
            Event::CallerDisconnected => self.caller_gone(now, &mut out),
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
            self.claim = Claim::Asked;
            out.push(Action::Claim);
        } else {
            self.enqueue(Duration::ZERO, out);
        }
    }

    fn claimed(&mut self, reply: ClaimReply, out: &mut Vec<Action>) {
        if self.claim != Claim::Asked {
            return;
        }
        let made = reply == ClaimReply::Made;
        self.claim = if made { Claim::Held } else { Claim::None };
        if !matches!(self.phase, Phase::Claiming) {
            // The request was given up while the desk worked; nothing was sent under the claim.
            self.close_claim(out);
            return;
        }
        match reply {
            ClaimReply::Made => self.enqueue(Duration::ZERO, out),
            ClaimReply::Done => {
                out.push(Action::Forward(AnswerPart::Stored));
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
        self.attempts += 1;
        let attempt = AttemptId {
            request: self.spec.id,
            number: self.attempts,
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
        if self.holds(&grant) {
            return;
        }
        let wanted = matches!(self.phase, Phase::Queued(attempt) if attempt == grant.attempt);
        if !wanted {
            self.report(&grant, AttemptResult::Unused, out);
            return;
        }
        if now > grant.valid_until {
            // This process was paused, and the dispatcher may have given the slot away.
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
        self.opened += 1;
        self.phase = Phase::Running(run);
    }

    /// Whether the grant is the one in use, delivered a second time.
    fn holds(&self, grant: &Grant) -> bool {
        self.running() == Some((grant.attempt, &grant.server))
    }

    /// Reports how a grant ended, once.
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

    fn refused(
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

    fn retry(&mut self, verdict: RetryDecision, out: &mut Vec<Action>) {
        let Phase::Deciding(code) = self.phase else {
            return;
        };
        match verdict {
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

    /// What can truthfully be said of a request without a whole answer.
    pub(crate) fn outcome(&self) -> Outcome {
        if self.exposed {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Ends the request for the caller and closes the claim.
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

    /// Closes a held claim of a request without a whole answer.
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
        self.listening = false;
        out.push(Action::Finish(FinalResult {
            outcome,
            code,
            retry_after,
            partial: self.forwarded,
        }));
    }
}
