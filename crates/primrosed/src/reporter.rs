//! Sends observations and other inputs to the report thread.
//!
//! Recording an observation never blocks: if the channel is full, the observation is dropped, and
//! the number of dropped observations is counted and shown on the day's page.

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
use primrose_report::aggregator;
use primrose_report::calendar::DayId;
use primrose_report::observation::Observation;
use primrose_report::record::Record;

use crate::message::RecordId;

/// Capacity of the input channel of the report thread.
const QUEUE_CAPACITY: usize = 16 << 10;

/// Input of the report thread.
#[derive(Debug)]
pub(crate) enum ReportInput {
    /// Observations, with the wall-clock time at which they were made.
    Observed(SystemTime, Vec<Observation>),
    /// Current state of the fleet, sent about once a second.
    Fleet(FleetSnapshot),
    /// Whether the key-value service answered a call.
    Platform(bool),
    /// Day record of another router of the zone.
    Record(Box<Record>),
    /// A router process that cannot send any more records.
    Departed(Member),
    /// Result of a call that the gatherer made to the key-value service.
    Gathered(aggregator::Event),
    /// Return what this router knows of a day.
    Day(DayId, Sender<DaySnapshot>),
    /// The gatherer acknowledged this record.
    RecordAck(RecordId),
    /// Send and write all records; replies when that is done or has failed.
    Finish(Sender<()>),
    /// Whether the records were written in response to [`ReportInput::Finish`].
    Written(bool),
    /// Stop the thread.
    Stop,
}

/// State of the fleet as this router sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct FleetSnapshot {
    /// Router that gathers the records of the zone; `None` if all are leaving.
    pub(crate) gatherer: Option<Member>,
    /// Zones that have routers.
    pub(crate) zones: Vec<ZoneId>,
    /// Zones that have routers, none of which can be reached.
    pub(crate) unreachable: Vec<ZoneId>,
    /// Number of servers of each pool in the fleet.
    pub(crate) servers: Vec<PoolSize>,
}

/// Number of servers of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PoolSize {
    pub(crate) pool: PoolId,
    pub(crate) servers: usize,
}

/// What this router knows of a day without reading from the key-value service.
#[derive(Debug)]
pub(crate) struct DaySnapshot {
    /// Records that were gathered here, including this router's own.
    pub(crate) records: Vec<Record>,
    /// State of the fleet.
    pub(crate) fleet: FleetSnapshot,
}

/// Sends inputs to the report thread; only [`Reporter::send`] blocks.
#[derive(Clone)]
pub(crate) struct Reporter {
    sender: Sender<ReportInput>,
    dropped: Arc<AtomicU64>,
    clock: Arc<dyn Clock>,
}

impl Reporter {
    /// Creates the channel and its sending side.
    pub(crate) fn new(clock: Arc<dyn Clock>) -> (Self, Receiver<ReportInput>) {
        let (sender, inputs) = crossbeam_channel::bounded(QUEUE_CAPACITY);
        let reporter = Self {
            sender,
            dropped: Arc::default(),
            clock,
        };
        (reporter, inputs)
    }

    /// Records an observation made now, or counts it as dropped if the channel is full.
    pub(crate) fn observe(&self, observation: Observation) {
        self.observe_all(vec![observation]);
    }

    /// Records observations made now, or counts them as dropped if the channel is full.
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

    /// Sends an input without blocking; returns `false` if the channel is full.
    pub(crate) fn try_send(&self, input: ReportInput) -> bool {
        self.sender.try_send(input).is_ok()
    }

    /// Sends an input that must not be dropped, and blocks while the channel is full.
    ///
    /// Threads that serve callers must not use it.
    pub(crate) fn send(&self, input: ReportInput) {
        // The channel is only closed when the router ends.
        let _ = self.sender.send(input);
    }

    /// Returns the number of observations dropped since the last call.
    pub(crate) fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}
