//! Carries out the actions of a request's lifecycle.

use std::sync::Arc;
use std::time::Duration;

use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;
use primrose_core::table::PoolKind;
use primrose_request::Action;
use primrose_request::AttemptResult;
use primrose_request::ConnId;
use primrose_request::Event;
use primrose_request::Part;
use primrose_request::Settlement;
use primrose_request::Verdict;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::attempt;
use crate::attempt::Call;
use crate::broker::Ask;
use crate::broker::Ended;
use crate::broker::Overloaded;
use crate::broker::Report;
use crate::broker::Told;
use crate::drive::Delayed;
use crate::drive::Driver;
use crate::drive::Later;
use crate::drive::Open;
use crate::drive::NOTES;
use crate::finish;
use crate::hold;
use crate::pass::Pass;
use crate::reply;
use crate::reply::Failure;

/// Pause before an ask that found no room is made again.
const ASK_PAUSE: Duration = Duration::from_millis(1);
/// Retry hint of a request that the router has no room to queue.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);
/// Longest time for the call that stops a run at a server.
const CANCEL_TIME: Duration = Duration::from_secs(2);

impl Driver {
    pub(crate) async fn act(&mut self, action: Action) {
        match action {
            Action::Claim => self.ask_claim().await,
            Action::ReleaseClaim => self.release().await,
            Action::Settle(settlement) => self.settle(settlement).await,
            Action::Enqueue {
                attempt,
                delay,
                suspect,
                avoid,
            } => {
                let mut waiting = self.job.waiting(attempt, self.shared.clock.now());
                waiting.suspect = suspect;
                waiting.avoid = avoid;
                let inbox = self.inbox_end.clone();
                self.later(
                    delay,
                    Later::Enqueue(Box::new(Ask::Enqueue { waiting, inbox })),
                )
                .await;
            }
            Action::Withdraw { attempt } => {
                self.delayed = None;
                let pool = self.job.pool.name.clone();
                self.deliver(Ask::Withdraw { attempt, pool }).await;
            }
            Action::Open { conn, addr, .. } => {
                let call = self.job.call(conn, addr, self.shared.limits.idle_time);
                self.connect(call);
            }
            Action::Send { conn } => self.send(conn),
            Action::Resume {
                conn,
                addr,
                after,
                delay,
                ..
            } => {
                let idle = self.shared.limits.idle_time;
                let call = self.job.resume_call(conn, addr, after, idle);
                self.later(delay, Later::Connect(Box::new(call))).await;
            }
            Action::Probe { conn, addr, .. } => {
                let mut call = self.job.call(conn, addr, self.shared.limits.idle_time);
                // A kept connection would not tell whether the server listens now.
                call.fresh = true;
                self.connect(call);
            }
            Action::Disconnect { .. } => self.disconnect(),
            Action::Cancel { conn } => self.cancel(conn),
            Action::AskRetry { attempt, stage } => {
                let ask = Ask::Retry {
                    attempt,
                    pool: self.job.pool.name.clone(),
                    fingerprint: self.job.spec.fingerprint,
                    stage,
                    inbox: self.inbox_end.clone(),
                };
                self.deliver(ask).await;
            }
            Action::Hold { .. } => self.answer.hold(),
            Action::DropHeld => self.answer.drop_held(),
            Action::Forward(part) => self.forward(part),
            Action::Report {
                attempt,
                server,
                result,
            } => {
                self.run_limit = None;
                self.report(attempt, server, result).await;
            }
            Action::Finish(verdict) => self.finish(verdict).await,
        }
    }

    async fn later(&mut self, delay: Duration, what: Later) {
        if !delay.is_zero() {
            let due = self.shared.clock.now() + delay;
            self.delayed = Some(Delayed { due, what });
            return;
        }
        match what {
            Later::Enqueue(ask) => self.enqueue(*ask).await,
            Later::Connect(call) => self.connect(*call),
        }
    }

    pub(crate) async fn enqueue(&mut self, ask: Ask) {
        self.meter.queued(self.shared.clock.now());
        let Err(Overloaded { ask }) = self.shared.broker.ask(ask) else {
            return;
        };
        if let Ask::Enqueue { waiting, inbox } = *ask {
            let refused = Event::QueueRefused {
                attempt: waiting.attempt,
                code: ErrorCode::QueueFull,
                retry_after: Some(OVERLOAD_RETRY),
            };
            // The inbox has room: nothing has been granted to this attempt.
            let _ = inbox.try_send(Told::Event(refused));
        }
    }

    /// Hands over an ask that must not be lost.
    async fn deliver(&self, ask: Ask) {
        let mut ask = ask;
        while let Err(overloaded) = self.shared.broker.ask(ask) {
            ask = *overloaded.ask;
            sleep(ASK_PAUSE).await;
        }
    }

    async fn ask_claim(&mut self) {
        if let Some(name) = self.job.claim() {
            let inbox = self.inbox_end.clone();
            self.deliver(Ask::Claim { name, inbox }).await;
        }
    }

    async fn release(&mut self) {
        if let Some(name) = self.job.claim() {
            self.deliver(Ask::Release { name }).await;
        }
    }

    async fn settle(&mut self, settlement: Settlement) {
        if let Some(name) = self.job.claim() {
            let answer = self.answer.stored(settlement);
            self.deliver(Ask::Settle {
                name,
                settlement,
                answer,
            })
            .await;
        }
    }

    pub(crate) fn connect(&mut self, call: Call) {
        self.disconnect();
        let conn = call.conn;
        self.addr = Some(call.addr);
        let (go, wait) = oneshot::channel();
        let task = tokio::spawn(attempt::run(
            call,
            Arc::clone(&self.shared.connections),
            self.notes_end.clone(),
            wait,
        ));
        self.open = Some(Open {
            conn,
            task: task.abort_handle(),
            go: Some(go),
        });
    }

    fn send(&mut self, conn: ConnId) {
        let now = self.shared.clock.now();
        self.meter.sent(now);
        self.run_limit = Some(now + self.job.pool.longest_run);
        let open = self.open.as_mut().filter(|open| open.conn == conn);
        if let Some(go) = open.and_then(|open| open.go.take()) {
            // If the task has just failed, its note says so.
            let _ = go.send(());
        }
    }

    pub(crate) fn disconnect(&mut self) {
        if let Some(open) = self.open.take() {
            open.task.abort();
        }
        if matches!(
            &self.delayed,
            Some(Delayed {
                what: Later::Connect(_),
                ..
            })
        ) {
            self.delayed = None;
        }
    }

    /// Closes the connection, and tells an engine to stop in case it goes on without one.
    fn cancel(&mut self, conn: ConnId) {
        self.disconnect();
        let Some(addr) = self.addr.filter(|_| self.job.pool.kind == PoolKind::Engine) else {
            return;
        };
        let call = self.job.cancel_call(conn, addr);
        let connections = Arc::clone(&self.shared.connections);
        tokio::spawn(async move {
            let (notes, mut ignored) = mpsc::channel(NOTES);
            let (_go, wait) = oneshot::channel();
            let stopped = attempt::run(call, connections, notes, wait);
            let answers = async { while ignored.recv().await.is_some() {} };
            // Engines also stop by the closed connection; this call only makes sure.
            let both = async { tokio::join!(stopped, answers) };
            let _ = tokio::time::timeout(CANCEL_TIME, both).await;
        });
    }

    fn forward(&mut self, part: Part) {
        match part {
            Part::Head { status } => self.answer.set_head(status),
            Part::Item { .. } => self.answer.release_latest(),
            Part::Held => self.answer.release_held(),
            Part::Stored => {
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

    async fn report(&mut self, attempt: AttemptId, server: ServerId, result: AttemptResult) {
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
            Some(addr) if broken => forgotten || self.shared.connections.is_refused(addr).await,
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

    async fn finish(&mut self, verdict: Verdict) {
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

    async fn finish_error(&mut self, verdict: Verdict, code: ErrorCode) {
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
    fn record(&mut self, verdict: &Verdict) {
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
