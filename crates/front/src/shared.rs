//! What all requests of a front share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::id::AccountId;
use primrose_core::id::RequestId;
use tokio::sync::watch;

use crate::broker::Broker;
use crate::limits::Limits;
use crate::pass::PassKey;
use primrose_conn::ConnectionPool;

/// Handles that every request needs.
pub(crate) struct Shared {
    pub(crate) broker: Arc<dyn Broker>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) connections: Arc<ConnectionPool>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) active: Arc<Active>,
    pub(crate) passes: PassKey,
    /// True once no new request is taken.
    pub(crate) drain: watch::Receiver<bool>,
    /// True once requests in flight are cut off.
    pub(crate) cut: watch::Receiver<bool>,
}

/// Requests in flight, so that a shutdown can wait for them and name those it cuts off.
#[derive(Debug, Default)]
pub(crate) struct Active {
    requests: Mutex<BTreeMap<RequestId, AccountId>>,
    left: Condvar,
}

impl Active {
    pub(crate) fn enter(self: &Arc<Self>, id: RequestId, account: &AccountId) -> ActiveGuard {
        let mut requests = self.requests.lock().expect("active requests lock poisoned");
        requests.insert(id, account.clone());
        ActiveGuard {
            active: Arc::clone(self),
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

    /// Waits until a request ends or the time has passed.
    pub(crate) fn wait(&self, time: Duration) {
        let requests = self.requests.lock().expect("active requests lock poisoned");
        if !requests.is_empty() {
            // Woken early or late, the caller looks again.
            drop(self.left.wait_timeout(requests, time));
        }
    }

    pub(crate) fn len(&self) -> usize {
        let requests = self.requests.lock().expect("active requests lock poisoned");
        requests.len()
    }
}

/// Takes the request off the list when its work ends.
pub(crate) struct ActiveGuard {
    active: Arc<Active>,
    id: RequestId,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        if let Ok(mut requests) = self.active.requests.lock() {
            requests.remove(&self.id);
            self.active.left.notify_all();
        }
    }
}
