//! Connections of callers that have not sent a request yet.
//!
//! When no other connection fits, the one is closed that has waited longest for its first request.
//! Otherwise callers that connect and send nothing, or half a head, would keep all others out for as long
//! as a head may take.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Minimum time that a connection waits for its first request before it is closed for another. Callers
/// send it as soon as they are connected.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Connections without a request, in the order in which they were opened.
pub(crate) struct Newcomers {
    clock: Arc<dyn Clock>,
    waiting: Mutex<Waiting>,
}

#[derive(Debug, Default)]
struct Waiting {
    next_id: u64,
    by_id: BTreeMap<u64, (Mono, Arc<Notify>)>,
}

/// A connection that counts as waiting until its first request, or until it is dropped.
pub(crate) struct Newcomer {
    id: u64,
    close: Arc<Notify>,
    newcomers: Arc<Newcomers>,
}

impl Newcomers {
    pub(crate) fn new(clock: &Arc<dyn Clock>) -> Self {
        Self {
            clock: Arc::clone(clock),
            waiting: Mutex::default(),
        }
    }

    /// Records a connection that was opened.
    pub(crate) fn enter(self: &Arc<Self>) -> Newcomer {
        let close = Arc::new(Notify::new());
        let mut waiting = self.waiting.lock().expect("newcomers lock poisoned");
        let id = waiting.next_id;
        waiting.next_id += 1;
        let entry = (self.clock.now(), Arc::clone(&close));
        waiting.by_id.insert(id, entry);
        Newcomer {
            id,
            close,
            newcomers: Arc::clone(self),
        }
    }

    /// Waits until another connection fits; closes one that waits for its first request if that is
    /// needed.
    pub(crate) async fn reserve(&self, capacity: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        loop {
            if let Ok(reservation) = Arc::clone(capacity).try_acquire_owned() {
                return Some(reservation);
            }
            self.close_oldest();
            let reservation = Arc::clone(capacity).acquire_owned();
            if let Ok(reservation) = tokio::time::timeout(MIN_WAIT, reservation).await {
                return reservation.ok();
            }
        }
    }

    fn close_oldest(&self) {
        let mut waiting = self.waiting.lock().expect("newcomers lock poisoned");
        if let Some(oldest) = waiting.by_id.first_entry() {
            if self.clock.now().saturating_sub(oldest.get().0) >= MIN_WAIT {
                oldest.remove().1.notify_one();
                metrics::counter!("primrose_newcomers_closed_total").increment(1);
            }
        }
    }
}

impl Newcomer {
    /// Records that a request has come.
    pub(crate) fn leave(&self) {
        let mut waiting = self
            .newcomers
            .waiting
            .lock()
            .expect("newcomers lock poisoned");
        waiting.by_id.remove(&self.id);
    }

    /// Waits until the connection is to be closed for another.
    pub(crate) async fn closed(&self) {
        self.close.notified().await;
    }
}

impl Drop for Newcomer {
    fn drop(&mut self) {
        self.leave();
    }
}
