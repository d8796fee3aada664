//! Executes the actions of a request's lifecycle.

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
use crate::broker::BrokerReply;
use crate::broker::Overloaded;
use crate::drive::Delayed;
use crate::drive::DelayedAction;
use crate::drive::Driver;
use crate::drive::OpenConnection;
use crate::drive::UPDATE_CAPACITY;

/// Delay before a request that the full broker queue rejected is submitted again.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(1);
/// `Retry-After` of a request rejected because the broker queue is full.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Timeout of the call that cancels a run on a server.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

impl Driver {
    /// Executes one action of the lifecycle.
    pub(crate) async fn execute(&mut self, action: Action) {
        match action {
            Action::Claim => self.request_claim().await,
            Action::ReleaseClaim => self.release_claim().await,
            Action::Settle(settlement) => self.settle_claim(settlement).await,
            Action::Enqueue {
                attempt,
                delay,
                suspect,
                avoid,
            } => {
                let mut waiting = self.job.waiting(attempt, self.shared.clock.now());
                waiting.suspect = suspect;
                waiting.avoid = avoid;
                let inbox = self.inbox_sender.clone();
                let ask = Ask::Enqueue { waiting, inbox };
                self.run_after(delay, DelayedAction::Enqueue(Box::new(ask)))
                    .await;
            }
            Action::Withdraw { attempt } => {
                self.delayed = None;
                let pool = self.job.pool.name.clone();
                self.submit_with_retry(Ask::Withdraw { attempt, pool })
                    .await;
            }
            Action::Open { conn, addr, .. } => {
                let call = self.job.call(conn, addr, self.shared.limits.idle_timeout);
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
                let idle = self.shared.limits.idle_timeout;
                let call = self.job.resume_call(conn, addr, after, idle);
                self.run_after(delay, DelayedAction::Connect(Box::new(call)))
                    .await;
            }
            Action::Probe { conn, addr, .. } => {
                let mut call = self.job.call(conn, addr, self.shared.limits.idle_timeout);
                // A pooled connection would not show whether the server is listening now.
                call.new_connection = true;
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
                    inbox: self.inbox_sender.clone(),
                };
                self.submit_with_retry(ask).await;
            }
            Action::Hold { .. } => self.answer.hold_latest(),
            Action::DropHeld => self.answer.drop_held(),
            Action::Forward(part) => self.forward(part),
            Action::Report {
                attempt,
                server,
                result,
            } => {
                self.run_deadline = None;
                self.report(attempt, server, result).await;
            }
            Action::Finish(verdict) => self.finish(verdict).await,
        }
    }

    /// Runs an action now, or schedules it if the delay isn't zero.
    async fn run_after(&mut self, delay: Duration, action: DelayedAction) {
        if !delay.is_zero() {
            let due = self.shared.clock.now() + delay;
            self.delayed = Some(Delayed { due, action });
            return;
        }
        match action {
            DelayedAction::Enqueue(ask) => self.enqueue(*ask).await,
            DelayedAction::Connect(call) => self.connect(*call),
        }
    }

    /// Submits the queue entry; if the broker queue is full, the attempt is refused.
    pub(crate) async fn enqueue(&mut self, ask: Ask) {
        self.meter.queued(self.shared.clock.now());
        let Err(Overloaded { ask }) = self.shared.broker.submit(ask) else {
            return;
        };
        if let Ask::Enqueue { waiting, inbox } = *ask {
            let refused = Event::QueueRefused {
                attempt: waiting.attempt,
                code: ErrorCode::QueueFull,
                retry_after: Some(OVERLOAD_RETRY_AFTER),
            };
            // The inbox has room because this attempt has received no grant.
            let _ = inbox.try_send(BrokerReply::Event(refused));
        }
    }

    /// Submits a request that must not be lost, again and again until the broker accepts it.
    pub(crate) async fn submit_with_retry(&self, ask: Ask) {
        let mut ask = ask;
        while let Err(overloaded) = self.shared.broker.submit(ask) {
            ask = *overloaded.ask;
            sleep(SUBMIT_RETRY_DELAY).await;
        }
    }

    async fn request_claim(&mut self) {
        if let Some(name) = self.job.claim_name() {
            let inbox = self.inbox_sender.clone();
            self.submit_with_retry(Ask::Claim { name, inbox }).await;
        }
    }

    async fn release_claim(&mut self) {
        if let Some(name) = self.job.claim_name() {
            self.submit_with_retry(Ask::Release { name }).await;
        }
    }

    async fn settle_claim(&mut self, settlement: Settlement) {
        if let Some(name) = self.job.claim_name() {
            let answer = self.answer.stored(settlement);
            self.submit_with_retry(Ask::Settle {
                name,
                settlement,
                answer,
            })
            .await;
        }
    }

    /// Opens a connection for the call, in place of the current one.
    pub(crate) fn connect(&mut self, call: Call) {
        self.disconnect();
        let conn = call.conn;
        self.addr = Some(call.addr);
        let (start_sending, start_signal) = oneshot::channel();
        let task = tokio::spawn(attempt::run(
            call,
            Arc::clone(&self.shared.connections),
            self.update_sender.clone(),
            start_signal,
        ));
        self.connection = Some(OpenConnection {
            conn,
            task: task.abort_handle(),
            start_sending: Some(start_sending),
        });
    }

    fn send(&mut self, conn: ConnId) {
        let now = self.shared.clock.now();
        self.meter.sent(now);
        self.run_deadline = Some(now + self.job.pool.max_run_time);
        let connection = self
            .connection
            .as_mut()
            .filter(|connection| connection.conn == conn);
        if let Some(start_sending) =
            connection.and_then(|connection| connection.start_sending.take())
        {
            // If the task has just failed, its update reports that.
            let _ = start_sending.send(());
        }
    }

    /// Closes the current connection and drops a scheduled one.
    pub(crate) fn disconnect(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.task.abort();
        }
        if matches!(
            &self.delayed,
            Some(Delayed {
                action: DelayedAction::Connect(_),
                ..
            })
        ) {
            self.delayed = None;
        }
    }

    /// Closes the connection and sends a cancel call, in case the engine keeps running without it.
    fn cancel(&mut self, conn: ConnId) {
        self.disconnect();
        let Some(addr) = self.addr.filter(|_| self.job.pool.kind == PoolKind::Engine) else {
            return;
        };
        let call = self.job.cancel_call(conn, addr);
        let connections = Arc::clone(&self.shared.connections);
        tokio::spawn(async move {
            let (updates, mut ignored) = mpsc::channel(UPDATE_CAPACITY);
            let (_start_sending, start_signal) = oneshot::channel();
            let exchange = attempt::run(call, connections, updates, start_signal);
            let discard = async { while ignored.recv().await.is_some() {} };
            // Engines also stop when the connection closes; the call covers those that miss it.
            let both = async { tokio::join!(exchange, discard) };
            let _ = tokio::time::timeout(CANCEL_TIMEOUT, both).await;
        });
    }
}
