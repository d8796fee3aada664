//! Limits on callers' connections: which are closed, and why.
//!
//! [`CallerState::overdue`] and [`choose_closed`] decide on states alone; `Callers` applies them to
//! the open connections. A connection is overdue if it has begun a head that does not end, or does not
//! take its answer. When there are too many, the one that has waited longest for a request is closed, or
//! else the one whose request body has made no progress for longest is refused.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use primrose_core::clock::Mono;
use primrose_core::memory::STALL_TIME;
use tokio::sync::Notify;

use crate::idle::CallerConnection;

/// Buffers of a caller's connection: its state, and read and write buffers of at most the size of a
/// head each.
pub const CONNECTION_BYTES: usize = 16 << 10;
/// File descriptors that are kept for connections to servers, the store and other gateways; at most half
/// of all. A host that gets most callers of a zone has some 2,800 connections of callers within the limits.
const RESERVED_DESCRIPTORS: usize = 1_200;
/// Connections that callers may have in any case. Deployments have 3,075 descriptors or more; this is for
/// small set-ups.
const MIN_CONNECTIONS: usize = 16;
/// Minimum time that a connection waits for its next request before it is closed for lack of room. A
/// request may be on its way on one that has waited less.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// Minimum time that a new connection waits for its first request before it is closed for lack of room.
/// Callers send it as soon as they are connected. Callers that send none could otherwise keep all others
/// out for as long as [`MIN_WAIT`] by connecting again and again.
const MIN_FIRST_WAIT: Duration = Duration::from_millis(100);
/// Time without progress of a body from which a new connection waits for it to end or be refused. Bodies
/// of ordinary callers arrive sooner, so that a connection beside them is closed at once.
const SLOW_BODY_TIME: Duration = Duration::from_millis(250);
/// Bytes that a blocked write has to get rid of to count as making progress.
const WRITE_PROGRESS_BYTES: usize = 16 << 10;

/// Why a caller was refused or its connection closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum BoundReason {
    /// A body was refused for lack of memory.
    #[display("body_evicted")]
    Body,
    /// A body over the limit was refused.
    #[display("body_too_long")]
    TooLong,
    /// A head did not arrive in time.
    #[display("head_time")]
    Head,
    /// An answer was not taken in time.
    #[display("answer_not_taken")]
    Answer,
    /// There were too many connections.
    #[display("connections")]
    Connections,
}

/// Limits on the time that a caller may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTimes {
    /// From the first byte of a head to its end.
    pub head: Duration,
    /// Without progress of an answer.
    pub answer: Duration,
}

/// What a caller's connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallerState {
    /// Since when it has waited for a request; none while one is in progress.
    pub(crate) waits_since: Option<Mono>,
    /// Whether a request has come.
    is_used: bool,
    /// When the first byte of the next head arrived.
    pub(crate) head_since: Option<Mono>,
    /// Since when an answer has made no progress.
    pub(crate) blocked_since: Option<Mono>,
    /// Bytes of the answer taken since then.
    blocked_taken: usize,
    /// Since when the body of its request has made no progress; none if none is being received.
    pub(crate) body_since: Option<Mono>,
    /// Whether the request in progress is to be refused, and the connection to close after that.
    pub(crate) is_refused: bool,
    /// Whether it is about to be closed.
    pub(crate) is_closing: bool,
}

impl CallerState {
    /// Returns the state while a request is in progress.
    #[must_use]
    pub fn active(self) -> Self {
        Self {
            waits_since: None,
            head_since: None,
            is_used: true,
            ..self
        }
    }

    /// Returns the state of a connection that waits for a request.
    #[must_use]
    pub fn waiting(self, now: Mono) -> Self {
        Self {
            waits_since: Some(now),
            head_since: None,
            ..self
        }
    }

    /// Returns the state after a body began or made progress.
    #[must_use]
    pub fn receiving(self, now: Mono) -> Self {
        Self {
            body_since: Some(now),
            ..self
        }
    }

    /// Returns the state after the last of a body was received, or no more of it is.
    #[must_use]
    pub fn body_ended(self) -> Self {
        Self {
            body_since: None,
            ..self
        }
    }

    /// Returns the state of a connection whose request is to be refused for lack of room.
    #[must_use]
    pub fn refused(self) -> Self {
        Self {
            is_refused: true,
            ..self
        }
    }

    /// Returns whether a body has made no progress for `time`.
    fn is_body_stalled(&self, time: Duration, now: Mono) -> bool {
        self.body_since
            .is_some_and(|since| now.saturating_sub(since) >= time)
    }

    /// Returns the state after bytes arrived.
    #[must_use]
    pub fn received(self, now: Mono) -> Self {
        let begins = self.waits_since.is_some() && self.head_since.is_none();
        Self {
            head_since: if begins { Some(now) } else { self.head_since },
            ..self
        }
    }

    /// Returns the state after the caller's buffer turned out to be full.
    #[must_use]
    pub fn blocked(self, now: Mono) -> Self {
        if self.blocked_since.is_some() {
            return self;
        }
        Self {
            blocked_since: Some(now),
            blocked_taken: 0,
            ..self
        }
    }

    /// Returns the state after bytes of an answer were taken.
    #[must_use]
    pub fn taken(self, bytes: usize) -> Self {
        let taken = self.blocked_taken.saturating_add(bytes);
        Self {
            blocked_since: self.blocked_since.filter(|_| taken < WRITE_PROGRESS_BYTES),
            blocked_taken: taken,
            ..self
        }
    }

    /// Returns the state after all of an answer so far was taken.
    #[must_use]
    pub fn flushed(self) -> Self {
        Self {
            blocked_since: None,
            ..self
        }
    }

    /// Returns the state of a connection that is about to be closed.
    #[must_use]
    pub fn closing(self) -> Self {
        Self {
            is_closing: true,
            ..self
        }
    }

    /// Returns why the connection has to be closed, if it has taken too long.
    pub fn overdue(&self, times: CallerTimes, now: Mono) -> Option<BoundReason> {
        let lasts = |since: Option<Mono>, limit| {
            since.is_some_and(|since| now.saturating_sub(since) >= limit)
        };
        if self.blocked_since.is_some() {
            // The next head is read only after the answer.
            return lasts(self.blocked_since, times.answer).then_some(BoundReason::Answer);
        }
        lasts(self.head_since, times.head).then_some(BoundReason::Head)
    }
}

/// Returns the connection to close for lack of room: of those without any request, or else of the others
/// that wait for one, the one that has waited longest. If none has waited long enough, the one whose body
/// has made no progress for longest, if that is [`STALL_TIME`] or more.
pub fn choose_closed(states: impl Iterator<Item = (u64, CallerState)>, now: Mono) -> Option<u64> {
    states
        .filter(|(_, state)| !state.is_closing && !state.is_refused)
        .filter(|(_, state)| state.blocked_since.is_none())
        .filter_map(|(id, state)| {
            let (since, least) = match (state.waits_since, state.body_since) {
                (Some(since), _) if state.is_used => (since, MIN_WAIT),
                (Some(since), _) => (since, MIN_FIRST_WAIT),
                (None, since) => (since?, STALL_TIME),
            };
            let has_request = state.waits_since.is_none();
            let is_due = now.saturating_sub(since) >= least;
            is_due.then_some((has_request, state.is_used, since, id))
        })
        .min()
        .map(|(_, _, _, id)| id)
}

/// Returns how many connections callers may have open.
pub fn connection_limit(descriptors: usize, memory: usize) -> usize {
    let by_memory = memory / CONNECTION_BYTES;
    let by_descriptors = descriptors - RESERVED_DESCRIPTORS.min(descriptors / 2);
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
}

/// Open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    limit: usize,
    next_id: Cell<u64>,
    by_id: RefCell<BTreeMap<u64, Rc<CallerConnection>>>,
    /// Connections that are about to be closed.
    closing: Cell<usize>,
    /// Notified when a connection has ended.
    ended: Notify,
}

impl Callers {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Records a connection; returns its number.
    pub(crate) fn open(&self, connection: &Rc<CallerConnection>, now: Mono) -> u64 {
        connection.state.set(CallerState::default().waiting(now));
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.by_id.borrow_mut().insert(id, Rc::clone(connection));
        id
    }

    pub(crate) fn close(&self, id: u64) {
        let closed = self.by_id.borrow_mut().remove(&id);
        if closed.is_some_and(|connection| connection.state.get().is_closing) {
            self.closing.set(self.closing.get() - 1);
        }
        self.ended.notify_one();
    }

    /// Returns whether another connection fits.
    pub(crate) fn has_room(&self) -> bool {
        self.by_id.borrow().len() - self.closing.get() < self.limit
    }

    /// Waits until a connection ends.
    pub(crate) async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Returns whether the body of a request makes no progress, so that it may be refused soon.
    pub(crate) fn has_slow_body(&self, now: Mono) -> bool {
        let by_id = self.by_id.borrow();
        let mut states = by_id.values().map(|connection| connection.state.get());
        states.any(|state| {
            state.blocked_since.is_none() && state.is_body_stalled(SLOW_BODY_TIME, now)
        })
    }

    /// Closes the connection that [`choose_closed`] names, or refuses the request that is in progress on
    /// it; returns whether there is one. There is room at once only if it was closed.
    pub(crate) fn close_one(&self, now: Mono) -> bool {
        let by_id = self.by_id.borrow();
        let states = by_id.iter().map(|(id, c)| (*id, c.state.get()));
        let chosen = choose_closed(states, now).and_then(|id| by_id.get(&id));
        chosen.is_some_and(|connection| {
            let state = connection.state.get();
            if state.waits_since.is_some() {
                return self.abort(connection);
            }
            connection.state.set(state.refused());
            connection.refuse.notify_one();
            true
        })
    }

    /// Closes the connections that have taken too long; returns why, for each.
    pub(crate) fn close_overdue(&self, times: CallerTimes, now: Mono) -> Vec<BoundReason> {
        let mut reasons = Vec::new();
        for connection in self.by_id.borrow().values() {
            if let Some(reason) = connection.state.get().overdue(times, now) {
                if self.abort(connection) {
                    reasons.push(reason);
                }
            }
        }
        reasons
    }

    /// Closes a connection; returns false if it is being closed already.
    fn abort(&self, connection: &CallerConnection) -> bool {
        let state = connection.state.get();
        if state.is_closing {
            return false;
        }
        connection.state.set(state.closing());
        self.closing.set(self.closing.get() + 1);
        connection.abort.notify_one();
        true
    }
}
