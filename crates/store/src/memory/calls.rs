//! Counts of calls, and how many a service takes.

/// Calls by what they cost the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of keys and lists.
    pub reads: u64,
    /// Commits and calls about leases.
    pub writes: u64,
    /// Watches, each counted once however long it waits.
    pub watches: u64,
}

impl Calls {
    /// Returns the sum.
    pub fn total(self) -> u64 {
        self.reads + self.writes + self.watches
    }

    pub(crate) fn add(&mut self, kind: Kind) {
        match kind {
            Kind::Read => self.reads += 1,
            Kind::Write => self.writes += 1,
            Kind::Watch => self.watches += 1,
        }
    }
}

/// Most calls that the service takes within one second of the clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimits {
    /// Reads and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

impl RateLimits {
    pub(crate) fn are_exceeded_by(self, calls: Calls, kind: Kind) -> bool {
        match kind {
            Kind::Write => calls.writes > self.writes,
            Kind::Read | Kind::Watch => calls.reads + calls.watches > self.reads,
        }
    }
}

/// What a call costs the service.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Kind {
    Read,
    Write,
    Watch,
}
