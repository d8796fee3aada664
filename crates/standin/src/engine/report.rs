//! What the engine tells of itself, late: its load and the events of its cache.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Serialize;
use tokio::time::Instant;

use super::cache::Block;
use super::cache::Change;

/// Most cache events that are kept for publishing.
const MAX_EVENTS: usize = 65_536;

/// Load of an engine at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Streams in the batch.
    pub running: usize,
    /// Requests that wait inside.
    pub waiting: usize,
    /// Prompt blocks in the cache.
    pub cached_blocks: usize,
    /// The moment, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
}

/// Past loads, the last one old enough being the report.
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

    /// Takes note of the load at this moment.
    pub(crate) fn note(&mut self, load: Load, now: Instant) {
        self.forget(now);
        self.past.push_back((now, load));
    }

    /// Returns the load as it was one lag ago.
    pub(crate) fn report(&mut self, now: Instant) -> Load {
        self.forget(now);
        match self.past.front() {
            Some((at, load)) if *at + self.lag <= now => *load,
            _ => Load::default(),
        }
    }

    /// Drops what a later entry has replaced.
    fn forget(&mut self, now: Instant) {
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

/// What happened to a block.
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

/// Cache events as they are published.
#[derive(Debug, Serialize)]
pub(crate) struct Events {
    events: Vec<Event>,
}

/// Cache events that wait to be published or read.
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

    /// Takes note of what a prompt changed in the cache.
    pub(crate) fn note(&mut self, change: &Change, now: Instant) {
        for block in &change.stored {
            self.push(Kind::Stored, *block, now);
        }
        for block in &change.removed {
            self.push(Kind::Removed, *block, now);
        }
    }

    /// Returns the published events after the given one.
    pub(crate) fn after(&self, seq: u64, now: Instant) -> Events {
        let ripe = |(at, _): &&(Instant, Event)| *at + self.lag <= now;
        let events = self
            .past
            .iter()
            .take_while(ripe)
            .filter(|(_, event)| event.seq > seq)
            .map(|(_, event)| event.clone())
            .collect();
        Events { events }
    }

    fn push(&mut self, kind: Kind, block: Block, now: Instant) {
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
