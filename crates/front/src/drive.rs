//! Drives one request's [`Lifecycle`]: turns what happens into events, and actions into deeds.
//!
//! A [`Driver`] is the body of a task. It waits for the broker, the backend server, the caller and
//! its timers at once, hands each event to the lifecycle and carries out what comes back. It takes
//! no decision about outcomes itself.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Response;
use primrose_core::clock::Mono;
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
use crate::attempt::Note;
use crate::broker::Ask;
use crate::broker::Inbox;
use crate::broker::StoredAnswer;
use crate::broker::Told;
use crate::caller::Caller;
use crate::hold::Answer;
use crate::job::Job;
use crate::meter::Meter;
use crate::reply::Body;
use crate::shared::ActiveGuard;
use crate::shared::Shared;

/// Messages of the broker that may wait for one request.
const INBOX: usize = 16;
/// Notes of a connection that may wait for one request; a slow caller stops the reading here.
pub(crate) const NOTES: usize = 16;

/// A connection task in use.
pub(crate) struct Open {
    pub(crate) conn: ConnId,
    pub(crate) task: tokio::task::AbortHandle,
    /// Lets the task send the request.
    pub(crate) go: Option<oneshot::Sender<()>>,
}

/// Something to do after a wait.
pub(crate) enum Later {
    Enqueue(Box<Ask>),
    Connect(Box<Call>),
}

pub(crate) struct Delayed {
    pub(crate) due: Mono,
    pub(crate) what: Later,
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
    pub(crate) life: Lifecycle,
    pub(crate) job: Job,
    pub(crate) shared: Arc<Shared>,
    pub(crate) caller: Caller,
    pub(crate) answer: Answer,
    pub(crate) meter: Meter,
    pub(crate) inbox_end: Inbox,
    pub(crate) inbox: mpsc::Receiver<Told>,
    pub(crate) notes_end: mpsc::Sender<Note>,
    pub(crate) notes: mpsc::Receiver<Note>,
    pub(crate) open: Option<Open>,
    /// Server of the latest connection.
    pub(crate) addr: Option<SocketAddr>,
    pub(crate) delayed: Option<Delayed>,
    pub(crate) stored: Option<StoredAnswer>,
    pub(crate) deadline: Option<Mono>,
    pub(crate) run_limit: Option<Mono>,
    pub(crate) cut: watch::Receiver<bool>,
    pub(crate) caller_left: bool,
    /// The server said that it no longer knows the stream.
    pub(crate) stream_lost: bool,
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
            addr: None,
            delayed: None,
            stored: None,
            deadline: Some(job.arrived + job.spec.route.deadline),
            run_limit: None,
            cut: shared.cut.clone(),
            caller_left: false,
            stream_lost: false,
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
        self.disconnect();
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
        self.step(Event::CallerDisconnected).await;
    }

    async fn note(&mut self, note: Note) {
        if self.open.as_ref().map(|open| open.conn) != Some(note.conn) {
            return;
        }
        let now = self.shared.clock.now();
        self.stream_lost |= note.event == ConnEvent::ResumeRefused;
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
                next = Some(Event::CallerDisconnected);
            }
        }
    }
}

async fn until(due: Option<Mono>, now: Mono) {
    match due {
        Some(due) => sleep(due.saturating_sub(now)).await,
        None => std::future::pending().await,
    }
}
