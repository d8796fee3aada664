//! What the engine reports with a delay: its load and the events of its cache.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Serialize;
use tokio::time::Instant;

use super::cache::BlockId;
use super::cache::CacheChange;

/// Maximum number of cache events that are kept.
const MAX_EVENTS: usize = 65_536;

/// Load of an engine at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Streams in the batch.
    pub running: usize,
    /// Requests in the engine's queue.
    pub waiting: usize,
    /// Prompt blocks in the cache.
    pub cached_blocks: usize,
    /// Time of the measurement, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
}

/// Past loads; the latest one that is at least as old as the lag is reported.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    past: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            past: VecDeque::new(),
        }
    }

    /// Records the load at `now`.
    pub(crate) fn record(&mut self, load: Load, now: Instant) {
        self.discard_superseded(now);
        self.past.push_back((now, load));
    }

    /// Returns the load at `now` minus the lag.
    pub(crate) fn report(&mut self, now: Instant) -> Load {
        self.discard_superseded(now);
        match self.past.front() {
            Some((at, load)) if *at + self.lag <= now => *load,
            _ => Load::default(),
        }
    }

    /// Discards entries that are older than the one to report.
    fn discard_superseded(&mut self, now: Instant) {
        while self.past.len() > 1 && self.past[1].0 + self.lag <= now {
            self.past.pop_front();
        }
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.unwrap_or_default().as_millis();
    u64::try_from(ms).unwrap_or(u64::MAX)
}

/// Kind of a cache event.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Stored,
    Removed,
}

#[derive(Debug, Clone, Serialize)]
struct Event {
    seq: u64,
    kind: Kind,
    block: String,
}

/// Reply with the published cache events.
#[derive(Debug, Serialize)]
pub(crate) struct Events {
    events: Vec<Event>,
}

/// Log of cache events, which are published after a delay.
#[derive(Debug)]
pub(crate) struct EventLog {
    lag: Duration,
    gap: u64,
    seq: u64,
    past: VecDeque<(Instant, Event)>,
}

impl EventLog {
    pub(crate) fn new(lag: Duration, gap: u64) -> Self {
        Self {
            lag,
            gap,
            seq: 0,
            past: VecDeque::new(),
        }
    }

    /// Records the blocks that a prompt stored in or removed from the cache.
    pub(crate) fn record(&mut self, change: &CacheChange, now: Instant) {
        for block in &change.stored {
            self.push(Kind::Stored, *block, now);
        }
        for block in &change.removed {
            self.push(Kind::Removed, *block, now);
        }
    }

    /// Returns the published events after sequence number `seq`.
    pub(crate) fn after(&self, seq: u64, now: Instant) -> Events {
        let is_due = |(at, _): &&(Instant, Event)| *at + self.lag <= now;
        let events = self
            .past
            .iter()
            .take_while(is_due)
            .filter(|(_, event)| event.seq > seq)
            .map(|(_, event)| event.clone())
            .collect();
        Events { events }
    }

    fn push(&mut self, kind: Kind, block: BlockId, now: Instant) {
        self.seq += 1;
        if self.gap > 0 && self.seq % self.gap == 0 {
            return;
        }
        let event = Event {
            seq: self.seq,
            kind,
            block: format!("{block:016x}"),
        };
        self.past.push_back((now, event));
        if self.past.len() > MAX_EVENTS {
            self.past.pop_front();
        }
    }
}
