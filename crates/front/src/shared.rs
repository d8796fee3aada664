//! State shared by all requests of a front.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_core::id::RequestId;
use primrose_core::memory::MemoryBudget;
use primrose_core::memory::MemoryKind;
use tokio::sync::watch;

use crate::broker::Broker;
use crate::limits::Limits;
use crate::resume_token::ResumeTokenKey;
use primrose_conn::ConnectionPool;

/// Minimum time between two log lines about refused bodies.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Handles that every request uses.
pub(crate) struct Shared {
    pub(crate) broker: Arc<dyn Broker>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) connections: Arc<ConnectionPool>,
    pub(crate) limits: Arc<Limits>,
    /// Memory that is buffered for callers.
    pub(crate) memory: Arc<MemoryBudget>,
    /// Bodies refused for lack of memory.
    pub(crate) refused_bodies: RefusedBodies,
    pub(crate) in_flight: Arc<InFlight>,
    pub(crate) token_key: ResumeTokenKey,
    /// True once new requests are refused.
    pub(crate) drain: watch::Receiver<bool>,
    /// True once requests in flight are to be aborted.
    pub(crate) abort: watch::Receiver<bool>,
}

/// Bodies refused for lack of memory, logged at most once in [`LOG_INTERVAL`].
#[derive(Debug, Default)]
pub(crate) struct RefusedBodies {
    /// Number since the last line, and when that was.
    unlogged: Mutex<(u64, Option<Mono>)>,
}

impl RefusedBodies {
    /// Counts a refused body.
    pub(crate) fn record(&self, memory: &MemoryBudget, now: Mono) {
        metrics::counter!("primrose_bodies_refused_total").increment(1);
        let mut unlogged = self.unlogged.lock().expect("refused bodies lock poisoned");
        unlogged.0 += 1;
        let logged = unlogged.1;
        if logged.is_some_and(|at| now.saturating_sub(at) < LOG_INTERVAL) {
            return;
        }
        let (count, _) = std::mem::replace(&mut *unlogged, (0, Some(now)));
        let (used, bound) = (memory.used(), memory.bounds().lower);
        log::warn!(
            "refused {count} request bodies since the last such line: \
             {used} of {bound} bytes for callers are in use"
        );
    }
}

/// Updates the gauges of the memory kept for callers.
pub(crate) fn update_gauges(memory: &MemoryBudget) {
    for kind in MemoryKind::ALL {
        let bytes = memory.used_by(kind) as f64;
        metrics::gauge!("primrose_memory_kept_bytes", "kind" => kind.name()).set(bytes);
    }
}

/// Requests in flight, so that a shutdown can wait for them and list those that it aborts.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    requests: Mutex<BTreeMap<RequestId, AccountId>>,
    changed: Condvar,
}

impl InFlight {
    pub(crate) fn register(self: &Arc<Self>, id: RequestId, account: &AccountId) -> InFlightGuard {
        let mut requests = self.requests.lock().expect("active requests lock poisoned");
        requests.insert(id, account.clone());
        InFlightGuard {
            in_flight: Arc::clone(self),
            id,
        }
    }

    pub(crate) fn list(&self) -> Vec<(RequestId, AccountId)> {
        let requests = self.requests.lock().expect("active requests lock poisoned");
        requests
            .iter()
            .map(|(id, account)| (*id, account.clone()))
            .collect()
    }

    /// Waits until a request ends or the time has elapsed.
    pub(crate) fn wait(&self, time: Duration) {
        let requests = self.requests.lock().expect("active requests lock poisoned");
        if !requests.is_empty() {
            // The caller checks again after every wakeup, so a spurious one does no harm.
            drop(self.changed.wait_timeout(requests, time));
        }
    }

    pub(crate) fn len(&self) -> usize {
        let requests = self.requests.lock().expect("active requests lock poisoned");
        requests.len()
    }
}

/// Removes the request from the list when dropped.
pub(crate) struct InFlightGuard {
    in_flight: Arc<InFlight>,
    id: RequestId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Ok(mut requests) = self.in_flight.requests.lock() {
            requests.remove(&self.id);
            self.in_flight.changed.notify_all();
        }
    }
}
