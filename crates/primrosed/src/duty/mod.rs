//! Threads of a router that talk to the platform, to backend servers and to operators.

pub(crate) mod claims;
pub(crate) mod gather;
pub(crate) mod hosts;
pub(crate) mod loads;
pub(crate) mod operator;
pub(crate) mod orders;
pub(crate) mod page;
pub(crate) mod report;
pub(crate) mod sweep;
pub(crate) mod watch;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

/// Stop flag for threads, with a wait that ends early when the flag is set.
#[derive(Debug, Default)]
pub(crate) struct StopFlag {
    is_stopped: AtomicBool,
    lock: Mutex<()>,
    changed: Condvar,
}

impl StopFlag {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Sets the flag and wakes all waiting threads.
    pub(crate) fn stop(&self) {
        let _guard = self.lock.lock().expect("stop lock poisoned");
        self.is_stopped.store(true, Ordering::Relaxed);
        self.changed.notify_all();
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Waits for the given time, or until the flag is set.
    pub(crate) fn wait(&self, time: Duration) {
        let guard = self.lock.lock().expect("stop lock poisoned");
        let waits = |(): &mut ()| !self.is_stopped();
        // A poisoned lock ends the wait early, and the thread checks the flag next.
        drop(self.changed.wait_timeout_while(guard, time, waits));
    }
}
