//! Drives one request's [`Lifecycle`]: turns what happens into events, and actions into deeds.
//!
//! A [`Driver`] is the body of a task. It waits for the broker, the backend server, the caller and
//! its timers at once, hands each event to the lifecycle and carries out what comes back. It takes
//! no decision about outcomes itself.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use primrose_core::clock::Mono;
use primrose_core::outcome::Outcome;
use primrose_request::Action;
use primrose_request::ClaimReply;
use primrose_request::ConnEvent;
use primrose_request::ConnId;
use primrose_request::Event;
use primrose_request::Lifecycle;
use primrose_request::Part;
use primrose_request::Verdict;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::attempt;
use crate::attempt::Call;
use crate::attempt::Load;
use crate::attempt::Note;
use crate::broker::Ask;
use crate::broker::Ended;
use crate::broker::Inbox;
use crate::broker::Overloaded;
use crate::broker::Report;
use crate::broker::StoredAnswer;
use crate::broker::Told;
use crate::caller::Caller;
use crate::hold::Answer;
use crate::job::Job;
use crate::meter::Meter;
use crate::reply;
use crate::reply::Body;
use crate::reply::Failure;
use crate::shared::ActiveGuard;
use crate::shared::Shared;

/// Messages of the broker that may wait for one request.
const INBOX: usize = 16;
/// Notes of a connection that may wait for one request; a slow caller stops the reading here.
const NOTES: usize = 16;
/// Pause before an ask that found no room is made again.
const ASK_PAUSE: Duration = Duration::from_millis(1);
/// Retry hint of a request that the router has no room to queue.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);
/// Longest time for the call that stops a run at a server.
const CANCEL_TIME: Duration = Duration::from_secs(2);

/// A connection task in use.
struct Open {
    conn: ConnId,
    task: tokio::task::AbortHandle,
    /// Lets the task send the request.
    go: Option<oneshot::Sender<()>>,
}

/// Something to do after a wait.
enum Later {
    Enqueue(Box<Ask>),
    Connect(Box<Call>),
}

struct Delayed {
    due: Mono,
    what: Later,
}

/// What woke the driver.
enum Wake {
    Told(Told),
    Note(Note),
    CallerGone,
    Deadline,
    RunLimit,
    Due(Later),
    Shutdown,
}

/// One request under way.
pub(crate) struct Driver {
    life: Lifecycle,
    job: Job,
    shared: Arc<Shared>,
    caller: Caller,
    answer: Answer,
    meter: Meter,
    inbox_end: Inbox,
    inbox: mpsc::Receiver<Told>,
    notes_end: mpsc::Sender<Note>,
    notes: mpsc::Receiver<Note>,
    open: Option<Open>,
    delayed: Option<Delayed>,
    stored: Option<StoredAnswer>,
    deadline: Option<Mono>,
    run_limit: Option<Mono>,
    cut: watch::Receiver<bool>,
    caller_left: bool,
    _active: ActiveGuard,
}

impl Driver {
    pub(crate) fn new(
        job: Job,
        shared: Arc<Shared>,
        head: oneshot::Sender<Response<Body>>,
    ) -> Self {
        let (inbox_end, inbox) = mpsc::channel(INBOX);
        let (notes_end, notes) = mpsc::channel(NOTES);
        let active = shared.active.enter(job.spec.id, &job.spec.account);
        Self {
            life: Lifecycle::new(job.spec.clone()),
            answer: Answer::default(),
            meter: Meter::new(job.trace, job.spec.id, job.arrived),
            caller: Caller::Waiting(head),
            inbox_end,
            inbox,
            notes_end,
            notes,
            open: None,
            delayed: None,
            stored: None,
            deadline: Some(job.arrived + job.spec.route.deadline),
            run_limit: None,
            cut: shared.cut.clone(),
            caller_left: false,
            _active: active,
            job,
            shared,
        }
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self) {
        self.step(Event::Start).await;
        while !self.life.is_over() {
            let wake = self.wake().await;
            self.take(wake).await;
        }
        self.drain_inbox().await;
        self.close();
    }

    /// Answers for grants that were on their way while the request ended.
    async fn drain_inbox(&mut self) {
        self.inbox.close();
        while let Some(told) = self.inbox.recv().await {
            self.take(Wake::Told(told)).await;
        }
    }

    async fn wake(&mut self) -> Wake {
        let now = self.shared.clock.now();
        let due = self.delayed.as_ref().map(|delayed| delayed.due);
        tokio::select! {
            Some(told) = self.inbox.recv() => Wake::Told(told),
            Some(note) = self.notes.recv() => Wake::Note(note),
            () = self.caller.closed() => Wake::CallerGone,
            () = until(self.deadline, now) => Wake::Deadline,
            () = until(self.run_limit, now) => Wake::RunLimit,
            () = until(due, now) => match self.delayed.take() {
                Some(delayed) => Wake::Due(delayed.what),
                None => Wake::Shutdown,
            },
            _ = self.cut.wait_for(|cut| *cut) => Wake::Shutdown,
        }
    }

    async fn take(&mut self, wake: Wake) {
        match wake {
            Wake::Told(Told::Event(event)) => self.step(event).await,
            Wake::Told(Told::Stored(answer)) => {
                self.stored = Some(answer);
                self.step(Event::Claim(ClaimReply::Done)).await;
            }
            Wake::Note(note) => self.note(note).await,
            Wake::CallerGone => self.caller_gone().await,
            Wake::Deadline => {
                self.deadline = None;
                self.step(Event::Deadline).await;
            }
            Wake::RunLimit => {
                self.run_limit = None;
                self.step(Event::RunLimit).await;
            }
            Wake::Due(Later::Enqueue(ask)) => self.enqueue(*ask).await,
            Wake::Due(Later::Connect(call)) => self.connect(*call),
            Wake::Shutdown => self.step(Event::Shutdown).await,
        }
    }

    async fn caller_gone(&mut self) {
        self.caller.leave();
        self.caller_left = true;
        self.step(Event::CallerGone).await;
    }

    async fn note(&mut self, note: Note) {
        if self.open.as_ref().map(|open| open.conn) != Some(note.conn) {
            return;
        }
        let now = self.shared.clock.now();
        self.meter.observe(note.event, note.tokens, now);
        self.answer.receive(note.event, note.load);
        self.step(Event::Conn {
            conn: note.conn,
            event: note.event,
        })
        .await;
        if self.answer.exceeds(self.shared.limits.answer_bytes) {
            self.step(Event::Conn {
                conn: note.conn,
                event: ConnEvent::HoldLimit,
            })
            .await;
        }
        self.progress(now).await;
    }

    /// Tells the dispatcher now and then how much the attempt has used.
    async fn progress(&mut self, now: Mono) {
        let Some(tokens) = self.meter.progress(now) else {
            return;
        };
        if let Some((attempt, _)) = self.life.running() {
            let pool = self.job.pool.name.clone();
            let ask = Ask::Progress {
                attempt,
                pool,
                tokens,
            };
            // The next report says more; this one may be lost.
            let _ = self.shared.broker.ask(ask);
        }
    }

    async fn step(&mut self, event: Event) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            self.meter.lifecycle(&event, self.shared.clock.now());
            let actions = self.life.handle(event, self.shared.clock.now());
            for action in actions {
                self.act(action).await;
            }
            self.flush().await;
            if std::mem::take(&mut self.answer.unread) && !self.caller_left {
                self.caller.leave();
                self.caller_left = true;
                next = Some(Event::CallerGone);
            }
        }
    }

    async fn act(&mut self, action: Action) {
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
                self.later(delay, Later::Enqueue(Box::new(Ask::Enqueue { waiting, inbox })))
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
                let report = Report {
                    attempt,
                    pool: self.job.pool.name.clone(),
                    server,
                    account: self.job.spec.account.clone(),
                    fingerprint: self.job.spec.fingerprint,
                    result,
                    tokens: self.meter.tokens(),
                    first_token: self.meter.first_token(),
                    inter_token: self.meter.inter_token(),
                };
                self.deliver(Ask::Report(report)).await;
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

    async fn enqueue(&mut self, ask: Ask) {
        self.meter.queued(self.shared.clock.now());
        let Err(Overloaded { ask }) = self.shared.broker.ask(ask) else {
            return;
        };
        if let Ask::Enqueue { waiting, inbox } = *ask {
            let refused = Event::QueueRefused {
                attempt: waiting.attempt,
                code: primrose_core::outcome::ErrorCode::QueueFull,
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

    async fn settle(&mut self, settlement: primrose_request::Settlement) {
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

    fn connect(&mut self, call: Call) {
        self.disconnect();
        let conn = call.conn;
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

    fn disconnect(&mut self) {
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
        let Some(grant) = self.life_addr() else {
            return;
        };
        let call = self.job.cancel_call(conn, grant);
        let connections = Arc::clone(&self.shared.connections);
        tokio::spawn(async move {
            let (notes, _ignored) = mpsc::channel(NOTES);
            let (go, wait) = oneshot::channel();
            let _ = go.send(());
            let stopped = attempt::run(call, connections, notes, wait);
            // Engines also stop by the closed connection; this call only makes sure.
            let _ = tokio::time::timeout(CANCEL_TIME, stopped).await;
        });
    }
}

async fn until(due: Option<Mono>, now: Mono) {
    match due {
        Some(due) => sleep(due.saturating_sub(now)).await,
        None => std::future::pending().await,
    }
}
