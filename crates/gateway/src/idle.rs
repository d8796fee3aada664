//! Connections of callers that wait for their next request.
//!
//! A caller may leave many connections open that it does not use again. When the number of
//! connections reaches its limit, those that have been idle for long are closed; otherwise the ones
//! in use would have to be, and each request would need a new connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use primrose_core::clock::Mono;
use tokio::sync::Notify;

use crate::callers::CallerState;

/// Minimum idle time of a connection that is closed for lack of room. A caller that sends many
/// requests uses its connections sooner, and a request may be on its way on one that is closed.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);

/// Idle connections in the order in which they became idle.
#[derive(Debug, Default)]
pub struct IdleConnections {
    next_place: Cell<u64>,
    by_place: RefCell<BTreeMap<u64, (Mono, Rc<Notify>)>>,
}

/// A connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    idle: Rc<IdleConnections>,
    place: Cell<Option<u64>>,
    has_begun: Cell<bool>,
    close: Rc<Notify>,
    /// What the connection does, for the limits in [`crate::callers`].
    pub(crate) state: Cell<CallerState>,
    pub(crate) abort: Notify,
    /// Notified when the request whose body is being received is to be refused.
    pub(crate) refuse: Notify,
    /// Whether the connection reads on for a moment after its last response.
    pub(crate) lingers: Cell<bool>,
}

impl IdleConnections {
    /// Closes the connection that has been idle for longest, unless it is likely to be used again;
    /// returns whether one was closed.
    pub fn close_oldest(&self, now: Mono) -> bool {
        let mut by_place = self.by_place.borrow_mut();
        let Some(oldest) = by_place.first_entry() else {
            return false;
        };
        let (since, close) = oldest.get();
        if now.saturating_sub(*since) < MIN_IDLE_TIME {
            return false;
        }
        close.notify_one();
        oldest.remove();
        true
    }
}

impl CallerConnection {
    /// Creates a connection whose first request is expected; it does not count as idle.
    pub fn new(idle: &Rc<IdleConnections>) -> Self {
        Self {
            idle: Rc::clone(idle),
            place: Cell::new(None),
            has_begun: Cell::new(false),
            close: Rc::default(),
            state: Cell::default(),
            abort: Notify::new(),
            refuse: Notify::new(),
            lingers: Cell::new(false),
        }
    }

    /// Returns whether a request has come.
    pub fn has_begun(&self) -> bool {
        self.has_begun.get()
    }

    /// Records that a request has begun.
    pub fn set_active(&self) {
        self.has_begun.set(true);
        self.state.set(self.state.get().active());
        if let Some(place) = self.place.take() {
            self.idle.by_place.borrow_mut().remove(&place);
        }
    }

    /// Records that the response is complete.
    pub fn set_idle(&self, now: Mono) {
        self.set_active();
        self.state.set(self.state.get().waiting(now));
        let place = self.idle.next_place.get();
        self.idle.next_place.set(place + 1);
        self.place.set(Some(place));
        let mut by_place = self.idle.by_place.borrow_mut();
        by_place.insert(place, (now, Rc::clone(&self.close)));
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.set_active();
    }
}
