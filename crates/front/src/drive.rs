//! Drives one request's [`Lifecycle`]: feeds it events and executes the actions that it returns.
//!
//! A [`Driver`] is the body of a task. It waits for the broker, the backend server, the caller and
//! its timers at the same time, passes each event to the lifecycle and executes the resulting
//! actions. It takes no decisions about outcomes itself.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Response;
use primrose_core::clock::Mono;
use primrose_core::memory::SMALL_BYTES;
use primrose_request::ClaimReply;
use primrose_request::ConnEvent;
use primrose_request::ConnId;
use primrose_request::Event;
use primrose_request::Lifecycle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::attempt::Call;
use crate::attempt::ConnUpdate;
use crate::broker::Ask;
use crate::broker::BrokerReply;
use crate::broker::Inbox;
use crate::broker::StoredAnswer;
use crate::buffer::Answer;
use crate::caller::Caller;
use crate::job::Job;
use crate::meter::Meter;
use crate::reply::Body;
use crate::shared::InFlightGuard;
use crate::shared::Shared;

/// Capacity of a request's channel of broker replies.
const INBOX_CAPACITY: usize = 16;
/// Capacity of the channel of connection updates; when it is full because the caller is slow,
/// reading from the server stops.
pub(crate) const UPDATE_CAPACITY: usize = 16;

/// The task of the connection in use.
pub(crate) struct OpenConnection {
    pub(crate) conn: ConnId,
    pub(crate) task: tokio::task::AbortHandle,
    /// Signals the task to send the request.
    pub(crate) start_sending: Option<oneshot::Sender<()>>,
}

/// An action that may start after a delay.
pub(crate) enum DelayedAction {
    Enqueue(Box<Ask>),
    Connect(Box<Call>),
}

/// An action scheduled for a later time.
pub(crate) struct Delayed {
    pub(crate) due: Mono,
    pub(crate) action: DelayedAction,
}

/// An event that wakes the driver.
enum Wake {
    Reply(BrokerReply),
    Update(ConnUpdate),
    CallerGone,
    Deadline,
    RunLimit,
    Due(DelayedAction),
    Shutdown,
}

/// Task state of one request.
pub(crate) struct Driver {
    pub(crate) lifecycle: Lifecycle,
    pub(crate) job: Job,
    pub(crate) shared: Arc<Shared>,
    pub(crate) caller: Caller,
    pub(crate) answer: Answer,
    pub(crate) meter: Meter,
    pub(crate) inbox_sender: Inbox,
    pub(crate) inbox: mpsc::Receiver<BrokerReply>,
    pub(crate) update_sender: mpsc::Sender<ConnUpdate>,
    pub(crate) updates: mpsc::Receiver<ConnUpdate>,
    pub(crate) connection: Option<OpenConnection>,
    /// Server of the latest connection.
    pub(crate) addr: Option<SocketAddr>,
    pub(crate) delayed: Option<Delayed>,
    pub(crate) stored: Option<StoredAnswer>,
    pub(crate) deadline: Option<Mono>,
    pub(crate) run_deadline: Option<Mono>,
    pub(crate) abort: watch::Receiver<bool>,
    pub(crate) caller_disconnected: bool,
    /// Whether the server reported that it no longer knows the stream.
    pub(crate) stream_lost: bool,
    _in_flight: InFlightGuard,
}

impl Driver {
    pub(crate) fn new(
        job: Job,
        shared: Arc<Shared>,
        head: oneshot::Sender<Response<Body>>,
    ) -> Self {
        let (inbox_sender, inbox) = mpsc::channel(INBOX_CAPACITY);
        let (update_sender, updates) = mpsc::channel(UPDATE_CAPACITY);
        let in_flight = shared.in_flight.register(job.spec.id, &job.spec.account);
        Self {
            lifecycle: Lifecycle::new(job.spec.clone()),
            answer: Answer::new(&shared.memory),
            meter: Meter::new(job.trace, job.spec.id, job.arrived),
            caller: Caller::Waiting(head),
            inbox_sender,
            inbox,
            update_sender,
            updates,
            connection: None,
            addr: None,
            delayed: None,
            stored: None,
            deadline: Some(job.arrived + job.spec.route.deadline),
            run_deadline: None,
            abort: shared.abort.clone(),
            caller_disconnected: false,
            stream_lost: false,
            _in_flight: in_flight,
            job,
            shared,
        }
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self) {
        self.step(Event::Start).await;
        while !self.lifecycle.is_over() {
            let wake = self.next_wake().await;
            self.handle_wake(wake).await;
        }
        self.drain_inbox().await;
        self.disconnect();
    }

    /// Handles replies sent while the request was ending, so that late grants are returned.
    async fn drain_inbox(&mut self) {
        self.inbox.close();
        while let Some(reply) = self.inbox.recv().await {
            self.handle_wake(Wake::Reply(reply)).await;
        }
    }

    async fn next_wake(&mut self) -> Wake {
        let now = self.shared.clock.now();
        let due = self.delayed.as_ref().map(|delayed| delayed.due);
        tokio::select! {
            Some(reply) = self.inbox.recv() => Wake::Reply(reply),
            Some(update) = self.updates.recv() => Wake::Update(update),
            () = self.caller.closed() => Wake::CallerGone,
            () = sleep_until(self.deadline, now) => Wake::Deadline,
            () = sleep_until(self.run_deadline, now) => Wake::RunLimit,
            () = sleep_until(due, now) => match self.delayed.take() {
                Some(delayed) => Wake::Due(delayed.action),
                None => Wake::Shutdown,
            },
            _ = self.abort.wait_for(|abort| *abort) => Wake::Shutdown,
        }
    }

    async fn handle_wake(&mut self, wake: Wake) {
        match wake {
            Wake::Reply(BrokerReply::Event(event)) => self.step(event).await,
            Wake::Reply(BrokerReply::Stored(answer)) => {
                self.stored = Some(answer);
                self.step(Event::Claim(ClaimReply::Done)).await;
            }
            Wake::Update(update) => self.handle_update(update).await,
            Wake::CallerGone => self.caller_gone().await,
            Wake::Deadline => {
                self.deadline = None;
                self.step(Event::Deadline).await;
            }
            Wake::RunLimit => {
                self.run_deadline = None;
                self.step(Event::RunLimit).await;
            }
            Wake::Due(DelayedAction::Enqueue(ask)) => self.enqueue(*ask).await,
            Wake::Due(DelayedAction::Connect(call)) => self.connect(*call),
            Wake::Shutdown => self.step(Event::Shutdown).await,
        }
    }

    async fn caller_gone(&mut self) {
        self.caller.detach();
        self.caller_disconnected = true;
        self.step(Event::CallerDisconnected).await;
    }

    async fn handle_update(&mut self, update: ConnUpdate) {
        if self.connection.as_ref().map(|connection| connection.conn) != Some(update.conn) {
            return;
        }
        let now = self.shared.clock.now();
        self.stream_lost |= update.event == ConnEvent::ResumeRefused;
        self.meter.observe_conn(update.event, update.tokens, now);
        self.answer
            .receive(update.event, update.payload, update.room);
        self.step(Event::Conn {
            conn: update.conn,
            event: update.event,
        })
        .await;
        self.answer.free_latest_room();
        let limit = self.answer_limit();
        if self.answer.held_exceeds(limit) {
            self.step(Event::Conn {
                conn: update.conn,
                event: ConnEvent::HoldLimit,
            })
            .await;
        }
        self.report_progress(now).await;
    }

    /// Returns how much of an answer may be held back, which is little while memory is short.
    fn answer_limit(&self) -> usize {
        let memory = &self.shared.memory;
        if memory.used() > memory.bounds().lower {
            return self.shared.limits.answer_bytes.min(SMALL_BYTES);
        }
        self.shared.limits.answer_bytes
    }

    /// Reports to the dispatcher, at most once per interval, the tokens that the attempt has used.
    async fn report_progress(&mut self, now: Mono) {
        let Some(tokens) = self.meter.progress(now) else {
            return;
        };
        if let Some((attempt, _)) = self.lifecycle.running() {
            let pool = self.job.pool.name.clone();
            let ask = Ask::Progress {
                attempt,
                pool,
                tokens,
            };
            // The next report supersedes this one, so it may be lost.
            let _ = self.shared.broker.submit(ask);
        }
    }

    async fn step(&mut self, event: Event) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            self.meter.observe_event(&event, self.shared.clock.now());
            let actions = self.lifecycle.handle(event, self.shared.clock.now());
            for action in actions {
                self.execute(action).await;
            }
            self.flush().await;
            if std::mem::take(&mut self.answer.caller_stopped_reading) && !self.caller_disconnected
            {
                self.caller.detach();
                self.caller_disconnected = true;
                next = Some(Event::CallerDisconnected);
            }
        }
    }
}

async fn sleep_until(due: Option<Mono>, now: Mono) {
    match due {
        Some(due) => sleep(due.saturating_sub(now)).await,
        None => std::future::pending().await,
    }
}
