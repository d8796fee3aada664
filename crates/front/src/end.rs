//! Passes the answer on to the caller, and ends attempts and requests.

use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;
use primrose_request::AttemptResult;
use primrose_request::FinalResult;
use primrose_request::ResponsePart;

use crate::broker::Ask;
use crate::broker::Ended;
use crate::broker::Report;
use crate::drive::Driver;
use crate::finish;
use crate::hold;
use crate::pass::Pass;
use crate::reply;
use crate::reply::Failure;

impl Driver {
    pub(crate) fn forward(&mut self, part: ResponsePart) {
        match part {
            ResponsePart::Head { status } => self.answer.set_head(status),
            ResponsePart::Item { .. } => self.answer.release_latest(),
            ResponsePart::Held => self.answer.release_held(),
            ResponsePart::Stored => {
                if let Some(stored) = self.stored.take() {
                    finish::answer_stored(&mut self.caller, self.job.spec.id, stored);
                }
            }
        }
    }

    /// Sends what the lifecycle has let go, unless the answer is known to be whole by now.
    pub(crate) async fn flush(&mut self) {
        let parts = std::mem::take(&mut self.answer.ready);
        if parts.is_empty() {
            return;
        }
        if let Some(head) = self.answer.head.take() {
            let pass = self.pass();
            self.caller.begin(self.job.spec.id, &head, pass.as_deref());
        }
        for part in parts {
            if !self.caller.part(part, self.shared.limits.write_time).await {
                self.answer.unread = true;
                return;
            }
        }
    }

    pub(crate) async fn report(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        result: AttemptResult,
    ) {
        let spec = &self.job.spec;
        let report = Report {
            attempt,
            pool: self.job.pool.name.clone(),
            server,
            account: spec.account.clone(),
            route: spec.route.name.clone(),
            fingerprint: spec.fingerprint,
            result,
            server_down: self.server_down(result).await,
            tokens: self.meter.tokens(),
            first_token: self.meter.first_token(),
            inter_token: self.meter.inter_token(),
            token_gaps: self.meter.token_gaps(),
        };
        self.deliver(Ask::Report(report)).await;
    }

    /// Whether the server's process is gone, after an attempt that broke.
    async fn server_down(&mut self, result: AttemptResult) -> bool {
        // An engine that no longer knows the stream has lost its state.
        let forgotten = std::mem::take(&mut self.stream_lost);
        let broken = matches!(result, AttemptResult::Broken | AttemptResult::ServerLost);
        match self.addr {
            Some(addr) if broken => {
                forgotten || self.shared.connections.refuses_connections(addr).await
            }
            _ => false,
        }
    }

    /// Pass by which the caller can go on with the stream through another router.
    fn pass(&self) -> Option<String> {
        let (attempt, _) = self.life.running()?;
        let addr = self.addr.filter(|_| self.answer.streams())?;
        let pass = Pass { attempt, addr };
        Some(self.shared.passes.seal(pass, &self.job.spec.account))
    }

    pub(crate) async fn finish(&mut self, verdict: FinalResult) {
        self.record(&verdict);
        match verdict.code {
            None => self.finish_whole().await,
            Some(code) => self.finish_error(verdict, code).await,
        }
        self.caller.leave();
    }

    async fn finish_whole(&mut self) {
        let id = self.job.spec.id;
        if let Some(head) = self.answer.head.take() {
            let mut parts = std::mem::take(&mut self.answer.ready);
            if self.answer.streams() {
                parts.push(hold::stream_end());
            }
            self.caller.answer_whole(id, &head, parts.concat().into());
            return;
        }
        self.flush().await;
        let limit = self.shared.limits.write_time;
        if self.answer.streams() {
            self.caller.part(hold::stream_end(), limit).await;
        }
        self.caller.end(limit).await;
    }

    async fn finish_error(&mut self, verdict: FinalResult, code: ErrorCode) {
        let id = self.job.spec.id;
        let failure = Failure::new(verdict.outcome, code, verdict.retry_after);
        self.flush().await;
        if !verdict.partial {
            self.caller.answer(reply::error(id, &failure));
            return;
        }
        // Without an event to carry the error, the body is cut: leaving without an end does that.
        if self.answer.streams() {
            let limit = self.shared.limits.write_time;
            let event = hold::stream_error(&reply::error_json(id, &failure));
            self.caller.part(event, limit).await;
            self.caller.end(limit).await;
        }
    }

    /// Notes the end of the request for the log, the metrics and the sums of the day.
    fn record(&mut self, verdict: &FinalResult) {
        let spec = &self.job.spec;
        let took = self.meter.ended(self.shared.clock.now());
        let ended = Ended {
            request: spec.id,
            account: spec.account.clone(),
            route: spec.route.name.clone(),
            pool: self.job.pool.name.clone(),
            idempotent: spec.route.idempotent,
            outcome: verdict.outcome,
            code: verdict.code,
            caller_gone: self.caller_left,
            first_part: self.meter.first_part(),
            took,
        };
        finish::count(&ended);
        // The sums of the day can do without one request; the caller cannot wait for them.
        let _ = self.shared.broker.ask(Ask::Ended(ended));
    }
}
