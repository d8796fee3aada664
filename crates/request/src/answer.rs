//! What the lifecycle makes of events on the connection to a backend server.

use std::mem::replace;

use primrose_core::clock::Mono;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;

use crate::action::Action;
use crate::action::AnswerPart;
use crate::action::AttemptResult;
use crate::action::Settlement;
use crate::event::ConnEvent;
use crate::event::ConnId;
use crate::event::FailureStage;
use crate::event::Seq;
use crate::lifecycle::Claim;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::Phase;
use crate::lifecycle::MAX_ATTEMPTS;
use crate::lifecycle::MAX_BREAKS;
use crate::lifecycle::RESUME_DELAY;
use crate::run::Order;
use crate::run::Run;

impl Lifecycle {
    /// Takes an event of a connection; drops it if the connection is not the one in use.
    pub(crate) fn conn_event(
        &mut self,
        conn: ConnId,
        event: ConnEvent,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        let current = matches!(&self.phase, Phase::Running(run) if run.conn == conn);
        if !current {
            return;
        }
        let Phase::Running(mut run) = replace(&mut self.phase, Phase::Over) else {
            return;
        };
        run.heard = now;
        if run.probing {
            self.probed(run, event, out);
            return;
        }
        match event {
            ConnEvent::Connected => self.connected(run, out),
            ConnEvent::Head { status } => self.head(run, status),
            ConnEvent::Item { seq } => self.item(run, seq, out),
            ConnEvent::HoldLimit => self.hold_limit(run, out),
            ConnEvent::BodyEnd => self.body_end(run, out),
            ConnEvent::Failed(stage) => self.failed(run, stage, out),
            ConnEvent::Resumed => self.resumed(run),
            ConnEvent::ResumeRefused => self.lost(&run, AttemptResult::Broken, out),
            ConnEvent::ServerLost => self.lost(&run, AttemptResult::ServerLost, out),
        }
    }

    fn connected(&mut self, mut run: Run, out: &mut Vec<Action>) {
        if !run.sent {
            run.sent = true;
            self.exposed_before = self.exposed;
            self.exposed = true;
            out.push(Action::Send { conn: run.conn });
        }
        self.phase = Phase::Running(run);
    }

    fn head(&mut self, mut run: Run, status: u16) {
        if run.sent && run.status.is_none() {
            run.status = Some(status);
        }
        self.phase = Phase::Running(run);
    }

    fn resumed(&mut self, mut run: Run) {
        run.resuming = false;
        self.phase = Phase::Running(run);
    }

    fn item(&mut self, mut run: Run, seq: Seq, out: &mut Vec<Action>) {
        let Some(status) = run.status.filter(|_| !run.resuming) else {
            // A server that sends items before it answers breaks the protocol.
            self.broken(run, out);
            return;
        };
        match run.accept(seq) {
            Order::Repeat => {}
            Order::Next => self.pass_on(status, seq, out),
            Order::Gap => {
                self.broken(run, out);
                return;
            }
        }
        self.phase = Phase::Running(run);
    }

    /// Forwards an item, or holds it while the answer may still be thrown away.
    fn pass_on(&mut self, status: u16, seq: Seq, out: &mut Vec<Action>) {
        if !self.listening || !self.flowing {
            self.held = true;
            out.push(Action::Hold { seq });
            return;
        }
        self.forward_head(status, out);
        out.push(Action::Forward(AnswerPart::Item { seq }));
    }

    fn forward_head(&mut self, status: u16, out: &mut Vec<Action>) {
        if !self.forwarded {
            self.forwarded = true;
            out.push(Action::Forward(AnswerPart::Head { status }));
        }
    }

    fn forward_held(&mut self, out: &mut Vec<Action>) {
        if self.held {
            self.held = false;
            out.push(Action::Forward(AnswerPart::Held));
        }
    }

    fn hold_limit(&mut self, run: Run, out: &mut Vec<Action>) {
        if let Some(status) = run.status.filter(|_| self.listening) {
            self.flowing = true;
            self.forward_head(status, out);
            self.forward_held(out);
        }
        self.phase = Phase::Running(run);
    }

    fn body_end(&mut self, run: Run, out: &mut Vec<Action>) {
        let Some(status) = run.status.filter(|_| !run.resuming) else {
            self.broken(run, out);
            return;
        };
        if self.listening {
            self.forward_head(status, out);
            self.forward_held(out);
        }
        self.report(&run.grant, AttemptResult::Done, out);
        if self.claim == Claim::Held {
            self.claim = Claim::None;
            out.push(Action::Settle(Settlement::Done { status }));
        }
        self.finish(Outcome::Done, None, None, out);
    }

    fn failed(&mut self, run: Run, stage: FailureStage, out: &mut Vec<Action>) {
        let begun = run.status.is_some();
        match stage {
            FailureStage::AfterSend => self.broken(run, out),
            // A resumption that did not get through leaves the run at the server as it was.
            _ if begun => self.broken(run, out),
            FailureStage::BeforeSend => self.not_run(run, stage, AttemptResult::Unreachable, out),
            FailureStage::RefusedNotRun => self.not_run(run, stage, AttemptResult::Refused, out),
        }
    }

    /// Ends an attempt that surely did not run.
    fn not_run(
        &mut self,
        run: Run,
        stage: FailureStage,
        result: AttemptResult,
        out: &mut Vec<Action>,
    ) {
        if run.sent {
            self.exposed = self.exposed_before;
        }
        self.report(&run.grant, result, out);
        self.avoid.push(run.grant.server.clone());
        let code = match stage {
            FailureStage::RefusedNotRun => ErrorCode::ServerRefused,
            _ => ErrorCode::ServerLost,
        };
        self.ask_retry(&run, stage, code, out);
    }

    /// Goes on after a connection broke: resumes the stream, or gives the attempt up.
    fn broken(&mut self, mut run: Run, out: &mut Vec<Action>) {
        let resumable = self.spec.can_resume() && run.status.is_some();
        if !resumable || run.breaks >= MAX_BREAKS {
            self.give_up(run, out);
            return;
        }
        out.push(Action::Disconnect { conn: run.conn });
        let delay = RESUME_DELAY * 2_u32.pow(run.breaks);
        run.reconnect();
        out.push(Action::Resume {
            conn: run.conn,
            server: run.grant.server.clone(),
            addr: run.grant.addr,
            after: run.last,
            delay,
        });
        self.phase = Phase::Running(run);
    }

    /// Gives up an attempt whose answer broke off, and finds out whether the server died of it.
    fn give_up(&mut self, run: Run, out: &mut Vec<Action>) {
        out.push(Action::Cancel { conn: run.conn });
        if !run.sent {
            self.lost(&run, AttemptResult::Broken, out);
            return;
        }
        if !self.may_repeat() {
            // The caller need not wait for the probe.
            self.end(Outcome::Unknown, Some(ErrorCode::ServerLost), None, out);
        }
        self.probe(run, out);
    }

    pub(crate) fn probe(&mut self, mut run: Run, out: &mut Vec<Action>) {
        run.probe();
        out.push(Action::Probe {
            conn: run.conn,
            server: run.grant.server.clone(),
            addr: run.grant.addr,
        });
        self.phase = Phase::Running(run);
    }

    fn probed(&mut self, run: Run, event: ConnEvent, out: &mut Vec<Action>) {
        let result = match event {
            ConnEvent::Connected => AttemptResult::Broken,
            ConnEvent::Failed(_) | ConnEvent::ServerLost => AttemptResult::ServerLost,
            _ => {
                self.phase = Phase::Running(run);
                return;
            }
        };
        out.push(Action::Disconnect { conn: run.conn });
        self.lost(&run, result, out);
    }

    /// Whether a further attempt may send the request, though this one may have run it.
    fn may_repeat(&self) -> bool {
        self.spec.route.idempotent && !self.forwarded && !self.finished
    }

    /// Ends an attempt whose answer will never be whole.
    fn lost(&mut self, run: &Run, result: AttemptResult, out: &mut Vec<Action>) {
        self.report(&run.grant, result, out);
        self.drop_held(out);
        let stage = if run.sent {
            FailureStage::AfterSend
        } else {
            FailureStage::BeforeSend
        };
        if run.sent && !self.may_repeat() {
            self.end(Outcome::Unknown, Some(ErrorCode::ServerLost), None, out);
            return;
        }
        self.avoid.push(run.grant.server.clone());
        self.ask_retry(run, stage, ErrorCode::ServerLost, out);
    }

    pub(crate) fn drop_held(&mut self, out: &mut Vec<Action>) {
        if self.held {
            self.held = false;
            out.push(Action::DropHeld);
        }
    }

    fn ask_retry(
        &mut self,
        run: &Run,
        stage: FailureStage,
        code: ErrorCode,
        out: &mut Vec<Action>,
    ) {
        if self.finished || self.opened >= MAX_ATTEMPTS {
            self.end(self.outcome(), Some(code), None, out);
            return;
        }
        self.phase = Phase::Deciding(code);
        out.push(Action::RequestRetry {
            attempt: run.grant.attempt,
            stage,
        });
    }
}
