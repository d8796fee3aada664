//! Cancellation of a request by its caller, by a time limit or by the router's shutdown.

use std::mem::replace;

use primrose_core::clock::Mono;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;

use crate::action::Action;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::Phase;

impl Lifecycle {
    pub(crate) fn caller_disconnected(&mut self, now: Mono, out: &mut Vec<Action>) {
        self.caller_listening = false;
        if self.must_record_outcome() {
            return;
        }
        if self.in_doubt() {
            self.end_in_doubt(None, out);
        } else {
            self.stop(None, now, out);
        }
    }

    pub(crate) fn deadline(&mut self, now: Mono, out: &mut Vec<Action>) {
        let code = match &self.phase {
            Phase::Running(run) if run.sent => ErrorCode::Timeout,
            _ => ErrorCode::Deadline,
        };
        if self.must_record_outcome() {
            // The run continues, so that its outcome can be recorded for a resend of the request.
            self.finish(Outcome::Unknown, Some(code), None, out);
        } else if self.in_doubt() {
            self.end_in_doubt(Some(code), out);
        } else {
            self.stop(Some(code), now, out);
        }
    }

    pub(crate) fn run_limit(&mut self, now: Mono, out: &mut Vec<Action>) {
        if self.running().is_some() {
            self.stop(Some(ErrorCode::Timeout), now, out);
        }
    }

    /// Returns whether the response has broken off and the cause is not yet known.
    fn in_doubt(&self) -> bool {
        matches!(&self.phase, Phase::Running(run) if run.in_doubt())
    }

    /// Ends the request for its caller, but still probes whether it crashed its server.
    ///
    /// The result of the attempt must be reported to the dispatcher in any case, because the caller
    /// may send the request again at once through another router.
    fn end_in_doubt(&mut self, code: Option<ErrorCode>, out: &mut Vec<Action>) {
        let Phase::Running(run) = replace(&mut self.phase, Phase::Over) else {
            return;
        };
        self.discard_held(out);
        self.end(Outcome::Unknown, code, None, out);
        if run.probing {
            self.phase = Phase::Running(run);
            return;
        }
        out.push(Action::Cancel { conn: run.conn });
        self.probe(run, out);
    }

    /// Returns whether the current run must continue until its outcome can be recorded.
    fn must_record_outcome(&self) -> bool {
        match &self.phase {
            Phase::Running(run) => run.sent && !self.spec.route.idempotent,
            _ => false,
        }
    }

    /// Withdraws or cancels the current attempt and ends the request.
    pub(crate) fn stop(&mut self, code: Option<ErrorCode>, now: Mono, out: &mut Vec<Action>) {
        match replace(&mut self.phase, Phase::Over) {
            Phase::Queued(attempt) => out.push(Action::Withdraw { attempt }),
            Phase::Running(run) => {
                out.push(Action::Cancel { conn: run.conn });
                self.report(&run.grant, run.result_if_cancelled(now), out);
                self.discard_held(out);
            }
            Phase::New | Phase::Claiming | Phase::AwaitingRetry(_) => {}
            Phase::Over => return,
        }
        self.end(self.outcome(), code, None, out);
    }
}
