//! A host list in memory.

use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use primrose_core::host::Host;

use crate::hosts::HostIndex;
use crate::hosts::HostList;
use crate::hosts::HostSnapshot;
use crate::store::Result;
use crate::store::UnavailableSnafu;

#[derive(Debug, Default)]
struct Inner {
    snapshot: HostSnapshot,
    down: bool,
    calls: u64,
}

/// A [`HostList`] in memory that a test controls.
#[derive(Debug, Default)]
pub struct MemoryHosts {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl MemoryHosts {
    /// Creates an empty list at index 1.
    pub fn new() -> Self {
        let list = Self::default();
        list.set(Vec::new());
        list
    }

    /// Replaces the hosts and increments the index.
    pub fn set(&self, mut hosts: Vec<Host>) {
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        let mut inner = self.inner.lock().expect("host list lock poisoned");
        inner.snapshot.index += 1;
        inner.snapshot.hosts = hosts;
        self.changed.notify_all();
    }

    /// Sets whether every call is refused.
    pub fn set_down(&self, down: bool) {
        self.inner.lock().expect("host list lock poisoned").down = down;
        self.changed.notify_all();
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.inner.lock().expect("host list lock poisoned").calls
    }
}

impl HostList for MemoryHosts {
    fn hosts(&self, after: HostIndex, wait: Duration) -> Result<HostSnapshot> {
        let end = Instant::now() + wait;
        let mut inner = self.inner.lock().expect("host list lock poisoned");
        inner.calls += 1;
        loop {
            if inner.down {
                let detail = "fault set by the test";
                return UnavailableSnafu { detail }.fail();
            }
            let left = end.saturating_duration_since(Instant::now());
            if inner.snapshot.index != after || left.is_zero() {
                return Ok(inner.snapshot.clone());
            }
            let woken = self.changed.wait_timeout(inner, left);
            inner = woken.expect("host list lock poisoned").0;
        }
    }
}
