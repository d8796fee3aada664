//! The way of observations to the report thread.
//!
//! Whoever sees something must not wait for the counting of it: an observation that finds the ring
//! full is dropped, and how many were dropped is counted and shown on the day's page.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::SystemTime;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use primrose_core::clock::Clock;
use primrose_core::id::Member;
use primrose_core::id::PoolId;
use primrose_core::id::ZoneId;
use primrose_report::calendar::DayId;
use primrose_report::gather;
use primrose_report::observation::Observation;
use primrose_report::record::Record;

use crate::message::RecordId;

/// Inputs that may wait for the report thread.
const QUEUE_CAPACITY: usize = 16 << 10;

/// What the report thread is told.
#[derive(Debug)]
pub(crate) enum ReportInput {
    /// Seen at this time by the wall clock.
    Observed(SystemTime, Vec<Observation>),
    /// How the fleet looks now; told about once a second.
    Fleet(FleetSnapshot),
    /// Whether a call at the key-value service was answered.
    Platform(bool),
    /// A record of a router of the zone.
    Record(Box<Record>),
    /// A process that cannot speak again.
    Departed(Member),
    /// The key-value service answered the gatherer.
    Gathered(gather::Event),
    /// An operator wants what is known of a day.
    Day(DayId, Sender<DaySnapshot>),
    /// The gatherer holds this record.
    RecordAck(RecordId),
    /// Hand on all that was counted; answers when that is done, or nobody takes it.
    Finish(Sender<()>),
    /// Whether all that was counted has been written.
    Written(bool),
    /// End the thread.
    Stop,
}

/// How the fleet looks to this router.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct FleetSnapshot {
    /// Router of the zone that gathers the records; nothing if all are leaving.
    pub(crate) gatherer: Option<Member>,
    /// Zones that have routers.
    pub(crate) zones: Vec<ZoneId>,
    /// Those of them that cannot be reached.
    pub(crate) unreachable: Vec<ZoneId>,
    /// Servers of each pool in the fleet.
    pub(crate) servers: Vec<PoolSize>,
}

/// How many servers a pool has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PoolSize {
    pub(crate) pool: PoolId,
    pub(crate) servers: usize,
}

/// What this router knows of a day without asking the key-value service.
#[derive(Debug)]
pub(crate) struct DaySnapshot {
    /// Records that were gathered here, this router's own included.
    pub(crate) records: Vec<Record>,
    /// How the fleet looks.
    pub(crate) fleet: FleetSnapshot,
}

/// Hands things to the report thread; never blocks.
#[derive(Clone)]
pub(crate) struct Reporter {
    sender: Sender<ReportInput>,
    dropped: Arc<AtomicU64>,
    clock: Arc<dyn Clock>,
}

impl Reporter {
    /// Makes the ring and its sending end.
    pub(crate) fn new(clock: Arc<dyn Clock>) -> (Self, Receiver<ReportInput>) {
        let (sender, inputs) = crossbeam_channel::bounded(QUEUE_CAPACITY);
        let reporter = Self {
            sender,
            dropped: Arc::default(),
            clock,
        };
        (reporter, inputs)
    }

    /// Tells of one thing that was seen now.
    pub(crate) fn observe(&self, observation: Observation) {
        self.observe_all(vec![observation]);
    }

    /// Tells of several things that were seen now.
    pub(crate) fn observe_all(&self, observations: Vec<Observation>) {
        if observations.is_empty() {
            return;
        }
        let count = observations.len() as u64;
        let input = ReportInput::Observed(self.clock.wall(), observations);
        if self.sender.try_send(input).is_err() {
            self.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }

    /// Tells something else; `false` if there was no room.
    pub(crate) fn try_send(&self, input: ReportInput) -> bool {
        self.sender.try_send(input).is_ok()
    }

    /// Tells something that must arrive; waits for room. Not for threads that callers wait for.
    pub(crate) fn send(&self, input: ReportInput) {
        // The ring is only closed when the router ends.
        let _ = self.sender.send(input);
    }

    /// Takes the count of observations that found no room since the last call.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}
