//! Forwards the answer to the caller, reports attempts and finishes requests.

use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;
use primrose_request::AttemptResult;
use primrose_request::FinalResult;
use primrose_request::ResponsePart;

use crate::broker::Ask;
use crate::broker::Ended;
use crate::broker::Report;
use crate::buffer;
use crate::drive::Driver;
use crate::finish;
use crate::reply;
use crate::reply::Failure;
use crate::resume_token::ResumeToken;

impl Driver {
    /// Releases a part of the answer that the lifecycle forwards to the caller.
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

    /// Sends the parts that the lifecycle has released, preceded by the head if it is still unsent.
    ///
    /// An answer that completes in the same step has already been sent by `finish_whole`.
    pub(crate) async fn flush(&mut self) {
        let parts = std::mem::take(&mut self.answer.ready);
        if parts.is_empty() {
            return;
        }
        if let Some(head) = self.answer.head.take() {
            let token = self.resume_token();
            self.caller
                .start_stream(self.job.spec.id, &head, token.as_deref());
        }
        for part in parts {
            if !self
                .caller
                .send_part(part, self.shared.limits.write_timeout)
                .await
            {
                self.answer.caller_stopped_reading = true;
                return;
            }
        }
    }

    /// Reports the end of an attempt to the dispatcher.
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
        self.submit_with_retry(Ask::Report(report)).await;
    }

    /// Returns whether the server's process is down after an attempt that failed.
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

    /// Returns the token with which the caller can resume the stream through another router.
    fn resume_token(&self) -> Option<String> {
        let (attempt, _) = self.lifecycle.running()?;
        let addr = self.addr.filter(|_| self.answer.is_stream())?;
        let token = ResumeToken { attempt, addr };
        Some(self.shared.token_key.sign(token, &self.job.spec.account))
    }

    /// Completes the answer to the caller and records the end of the request.
    pub(crate) async fn finish(&mut self, verdict: FinalResult) {
        self.record(&verdict);
        match verdict.code {
            None => self.finish_whole().await,
            Some(code) => self.finish_error(verdict, code).await,
        }
        self.caller.detach();
    }

    async fn finish_whole(&mut self) {
        let id = self.job.spec.id;
        if let Some(head) = self.answer.head.take() {
            let mut parts = std::mem::take(&mut self.answer.ready);
            if self.answer.is_stream() {
                parts.push(buffer::stream_end());
            }
            let body = self.answer.join(&parts);
            self.caller.answer_whole(id, &head, body);
            return;
        }
        self.flush().await;
        let limit = self.shared.limits.write_timeout;
        if self.answer.is_stream() {
            self.caller.send_part(buffer::stream_end(), limit).await;
        }
        self.caller.end_stream(limit).await;
    }

    async fn finish_error(&mut self, verdict: FinalResult, code: ErrorCode) {
        let id = self.job.spec.id;
        let failure = Failure::new(verdict.outcome, code, verdict.retry_after);
        self.flush().await;
        if !verdict.partial {
            self.caller.answer(reply::error(id, &failure));
            return;
        }
        // A body that is no event stream can't carry the error; detaching truncates it.
        if self.answer.is_stream() {
            let limit = self.shared.limits.write_timeout;
            let event = buffer::stream_error(&reply::error_json(id, &failure));
            self.caller.send_part(event, limit).await;
            self.caller.end_stream(limit).await;
        }
    }

    /// Records the end of the request in the trace, the metrics and the daily totals.
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
            caller_gone: self.caller_disconnected,
            first_part: self.meter.first_part(),
            took,
        };
        finish::record_metrics(&ended);
        // The daily totals may miss a request; the caller must not wait for them.
        let _ = self.shared.broker.submit(Ask::Ended(ended));
    }
}
