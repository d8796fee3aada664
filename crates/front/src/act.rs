//! Carries out the actions of a request's lifecycle.

use std::sync::Arc;
use std::time::Duration;

use primrose_core::outcome::ErrorCode;
use primrose_core::table::PoolKind;
use primrose_request::Action;
use primrose_request::ConnId;
use primrose_request::Event;
use primrose_request::Settlement;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::attempt;
use crate::attempt::Call;
use crate::broker::Ask;
use crate::broker::Overloaded;
use crate::broker::Told;
use crate::drive::Delayed;
use crate::drive::Driver;
use crate::drive::Later;
use crate::drive::Open;
use crate::drive::NOTES;

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
                let ask = Ask::Enqueue { waiting, inbox };
                self.later(delay, Later::Enqueue(Box::new(ask))).await;
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
            Action::RequestRetry { attempt, stage } => {
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
    pub(crate) async fn deliver(&self, ask: Ask) {
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
        self.run_limit = Some(now + self.job.pool.max_run_time);
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
}
