//! Counters and rate limits of calls to the memory store.

/// Numbers of calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of keys and lists.
    pub reads: u64,
    /// Commits and calls that create, renew or revoke leases.
    pub writes: u64,
    /// Watches, each counted once regardless of its wait.
    pub watches: u64,
}

impl Calls {
    /// Returns the number of calls of all kinds.
    pub fn total(self) -> u64 {
        self.reads + self.writes + self.watches
    }

    pub(crate) fn add(&mut self, kind: CallKind) {
        match kind {
            CallKind::Read => self.reads += 1,
            CallKind::Write => self.writes += 1,
            CallKind::Watch => self.watches += 1,
        }
    }
}

/// Maximum number of calls that the store accepts within one second of its clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimits {
    /// Maximum number of reads and watches.
    pub reads: u64,
    /// Maximum number of writes.
    pub writes: u64,
}

impl RateLimits {
    pub(crate) fn are_exceeded_by(self, calls: Calls, kind: CallKind) -> bool {
        match kind {
            CallKind::Write => calls.writes > self.writes,
            CallKind::Read | CallKind::Watch => calls.reads + calls.watches > self.reads,
        }
    }
}

/// Kind of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum CallKind {
    Read,
    Write,
    Watch,
}
