//! Ends of a request that come from outside: the caller, the clock, the router's shutdown.

use std::mem::replace;

use primrose_core::clock::Mono;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;

use crate::action::Action;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::Phase;

impl Lifecycle {
    pub(crate) fn caller_gone(&mut self, now: Mono, out: &mut Vec<Action>) {
        self.listening = false;
        if self.must_settle() {
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
        if self.must_settle() {
            // The run goes on, so that its outcome can be recorded for a resend.
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

    /// Whether the answer has broken off and it is not yet known why.
    fn in_doubt(&self) -> bool {
        matches!(&self.phase, Phase::Running(run) if run.in_doubt())
    }

    /// Ends a request in doubt for its caller, and still finds out whether the server died of it:
    /// the caller may send it again at once, through another router.
    fn end_in_doubt(&mut self, code: Option<ErrorCode>, out: &mut Vec<Action>) {
        let Phase::Running(run) = replace(&mut self.phase, Phase::Over) else {
            return;
        };
        self.drop_held(out);
        self.end(Outcome::Unknown, code, None, out);
        if run.probing {
            self.phase = Phase::Running(run);
            return;
        }
        out.push(Action::Cancel { conn: run.conn });
        self.probe(run, out);
    }

    /// Whether a run is under way whose outcome has to be recorded.
    fn must_settle(&self) -> bool {
        match &self.phase {
            Phase::Running(run) => run.sent && !self.spec.route.idempotent,
            _ => false,
        }
    }

    /// Gives up whatever is under way and ends the request.
    pub(crate) fn stop(&mut self, code: Option<ErrorCode>, now: Mono, out: &mut Vec<Action>) {
        match replace(&mut self.phase, Phase::Over) {
            Phase::Queued(attempt) => out.push(Action::Withdraw { attempt }),
            Phase::Running(run) => {
                out.push(Action::Cancel { conn: run.conn });
                self.report(&run.grant, run.given_up(now), out);
                self.drop_held(out);
            }
            Phase::New | Phase::Claiming | Phase::Deciding(_) => {}
            Phase::Over => return,
        }
        self.end(self.outcome(), code, None, out);
    }
}
