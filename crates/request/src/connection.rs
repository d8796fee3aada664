//! Handling of events on the connection to a backend server.

use std::mem::replace;

use primrose_core::clock::Mono;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;

use crate::action::Action;
use crate::action::AttemptResult;
use crate::action::ResponsePart;
use crate::action::Settlement;
use crate::event::ConnEvent;
use crate::event::ConnId;
use crate::event::FailureStage;
use crate::event::Seq;
use crate::lifecycle::Claim;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::Phase;
use crate::lifecycle::MAX_ATTEMPTS;
use crate::lifecycle::MAX_CONSECUTIVE_BREAKS;
use crate::lifecycle::RESUME_DELAY;
use crate::run::ItemOrder;
use crate::run::Run;

impl Lifecycle {
    /// Handles an event of a connection; drops it if the connection is not the one in use.
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
        run.last_event_at = now;
        if run.probing {
            self.on_probe_result(run, event, out);
            return;
        }
        match event {
            ConnEvent::Connected => self.on_connected(run, out),
            ConnEvent::Head { status } => self.on_head(run, status),
            ConnEvent::Item { seq } => self.on_item(run, seq, out),
            ConnEvent::HoldLimit => self.on_hold_limit(run, out),
            ConnEvent::BodyEnd => self.on_body_end(run, out),
            ConnEvent::Failed(stage) => self.on_failed(run, stage, out),
            ConnEvent::Resumed => self.on_resumed(run),
            ConnEvent::ResumeRefused => self.attempt_failed(&run, AttemptResult::Broken, out),
            ConnEvent::ServerLost => self.attempt_failed(&run, AttemptResult::ServerLost, out),
        }
    }

    fn on_connected(&mut self, mut run: Run, out: &mut Vec<Action>) {
        if !run.sent {
            run.sent = true;
            self.may_have_run_before = self.may_have_run;
            self.may_have_run = true;
            out.push(Action::Send { conn: run.conn });
        }
        self.phase = Phase::Running(run);
    }

    fn on_head(&mut self, mut run: Run, status: u16) {
        if run.sent && run.status.is_none() {
            run.status = Some(status);
        }
        self.phase = Phase::Running(run);
    }

    fn on_resumed(&mut self, mut run: Run) {
        run.resuming = false;
        self.phase = Phase::Running(run);
    }

    fn on_item(&mut self, mut run: Run, seq: Seq, out: &mut Vec<Action>) {
        let Some(status) = run.status.filter(|_| !run.resuming) else {
            // A server that sends items before it starts or resumes the response violates the
            // protocol.
            self.connection_broken(run, out);
            return;
        };
        match run.record_item(seq) {
            ItemOrder::Repeat => {}
            ItemOrder::Next => self.forward_or_hold(status, seq, out),
            ItemOrder::Gap => {
                self.connection_broken(run, out);
                return;
            }
        }
        self.phase = Phase::Running(run);
    }

    /// Forwards an item, or holds it while the response may still be discarded.
    fn forward_or_hold(&mut self, status: u16, seq: Seq, out: &mut Vec<Action>) {
        if !self.caller_listening || !self.pass_through {
            self.holds_items = true;
            out.push(Action::Hold { seq });
            return;
        }
        self.forward_head(status, out);
        out.push(Action::Forward(ResponsePart::Item { seq }));
    }

    fn forward_head(&mut self, status: u16, out: &mut Vec<Action>) {
        if !self.forwarded {
            self.forwarded = true;
            out.push(Action::Forward(ResponsePart::Head { status }));
        }
    }

    fn forward_held(&mut self, out: &mut Vec<Action>) {
        if self.holds_items {
            self.holds_items = false;
            out.push(Action::Forward(ResponsePart::Held));
        }
    }

    fn on_hold_limit(&mut self, run: Run, out: &mut Vec<Action>) {
        if let Some(status) = run.status.filter(|_| self.caller_listening) {
            self.pass_through = true;
            self.forward_head(status, out);
            self.forward_held(out);
        }
        self.phase = Phase::Running(run);
    }

    fn on_body_end(&mut self, run: Run, out: &mut Vec<Action>) {
        let Some(status) = run.status.filter(|_| !run.resuming) else {
            self.connection_broken(run, out);
            return;
        };
        if self.caller_listening {
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

    fn on_failed(&mut self, run: Run, stage: FailureStage, out: &mut Vec<Action>) {
        let response_started = run.status.is_some();
        match stage {
            FailureStage::AfterSend => self.connection_broken(run, out),
            // A failure to resume leaves the run at the server as it was.
            _ if response_started => self.connection_broken(run, out),
            FailureStage::BeforeSend => {
                self.attempt_not_run(run, stage, AttemptResult::Unreachable, out)
            }
            FailureStage::RefusedNotRun => {
                self.attempt_not_run(run, stage, AttemptResult::Refused, out)
            }
        }
    }

    /// Ends an attempt that certainly did not run.
    fn attempt_not_run(
        &mut self,
        run: Run,
        stage: FailureStage,
        result: AttemptResult,
        out: &mut Vec<Action>,
    ) {
        if run.sent {
            self.may_have_run = self.may_have_run_before;
        }
        self.report(&run.grant, result, out);
        self.avoid.push(run.grant.server.clone());
        let code = match stage {
            FailureStage::RefusedNotRun => ErrorCode::ServerRefused,
            _ => ErrorCode::ServerLost,
        };
        self.request_retry(&run, stage, code, out);
    }

    /// Handles a broken connection: resumes the stream, or gives the attempt up.
    fn connection_broken(&mut self, mut run: Run, out: &mut Vec<Action>) {
        let resumable = self.spec.can_resume() && run.status.is_some();
        if !resumable || run.consecutive_breaks >= MAX_CONSECUTIVE_BREAKS {
            self.give_up(run, out);
            return;
        }
        out.push(Action::Disconnect { conn: run.conn });
        let delay = RESUME_DELAY * 2_u32.pow(run.consecutive_breaks);
        run.reconnect();
        out.push(Action::Resume {
            conn: run.conn,
            server: run.grant.server.clone(),
            addr: run.grant.addr,
            after: run.last_seq,
            delay,
        });
        self.phase = Phase::Running(run);
    }

    /// Gives up an attempt whose response broke off, and probes whether it crashed the server.
    fn give_up(&mut self, run: Run, out: &mut Vec<Action>) {
        out.push(Action::Cancel { conn: run.conn });
        if !run.sent {
            self.attempt_failed(&run, AttemptResult::Broken, out);
            return;
        }
        if !self.may_resend() {
            // The caller does not have to wait for the probe.
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

    fn on_probe_result(&mut self, run: Run, event: ConnEvent, out: &mut Vec<Action>) {
        let result = match event {
            ConnEvent::Connected => AttemptResult::Broken,
            ConnEvent::Failed(_) | ConnEvent::ServerLost => AttemptResult::ServerLost,
            _ => {
                self.phase = Phase::Running(run);
                return;
            }
        };
        out.push(Action::Disconnect { conn: run.conn });
        self.attempt_failed(&run, result, out);
    }

    /// Returns whether another attempt may send the request although this one may have run it.
    fn may_resend(&self) -> bool {
        self.spec.route.idempotent && !self.forwarded && !self.finished
    }

    /// Ends an attempt whose response can no longer be completed.
    fn attempt_failed(&mut self, run: &Run, result: AttemptResult, out: &mut Vec<Action>) {
        self.report(&run.grant, result, out);
        self.discard_held(out);
        let stage = if run.sent {
            FailureStage::AfterSend
        } else {
            FailureStage::BeforeSend
        };
        if run.sent && !self.may_resend() {
            self.end(Outcome::Unknown, Some(ErrorCode::ServerLost), None, out);
            return;
        }
        self.avoid.push(run.grant.server.clone());
        self.request_retry(run, stage, ErrorCode::ServerLost, out);
    }

    pub(crate) fn discard_held(&mut self, out: &mut Vec<Action>) {
        if self.holds_items {
            self.holds_items = false;
            out.push(Action::DropHeld);
        }
    }

    fn request_retry(
        &mut self,
        run: &Run,
        stage: FailureStage,
        code: ErrorCode,
        out: &mut Vec<Action>,
    ) {
        if self.finished || self.opened_attempts >= MAX_ATTEMPTS {
            self.end(self.outcome(), Some(code), None, out);
            return;
        }
        self.phase = Phase::AwaitingRetry(code);
        out.push(Action::RequestRetry {
            attempt: run.grant.attempt,
            stage,
        });
    }
}
