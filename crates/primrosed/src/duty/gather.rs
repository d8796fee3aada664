//! The gather thread: performs the calls of the zone's gatherer to the key-value service.

use std::sync::Arc;

use crossbeam_channel::Receiver;
use primrose_core::clock::Clock;
use primrose_core::id::ZoneId;
use primrose_report::aggregator::Action;
use primrose_report::aggregator::Aggregator;
use primrose_report::aggregator::Event;
use primrose_report::record::Record;
use primrose_store::store::CommitResult;
use primrose_store::store::Entry;
use primrose_store::store::Op;
use primrose_store::store::Result;
use primrose_store::store::Store;

use crate::reporter::ReportInput;
use crate::reporter::Reporter;

/// Capacity of the job channel.
pub(crate) const QUEUE_CAPACITY: usize = 64;
/// Maximum number of calls for the final write: a read and a swap, repeated after each conflict.
const FINISH_CALLS: usize = 24;

/// A job of the gather thread.
#[derive(Debug)]
pub(crate) enum Job {
    /// Perform an action of the gatherer.
    Do(Action),
    /// Write these records immediately.
    Finish(Vec<Record>),
}

/// State of the gather thread.
pub(crate) struct GatherThread {
    pub(crate) prefix: String,
    pub(crate) zone: ZoneId,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) reporter: Reporter,
}

impl GatherThread {
    /// Runs until the job channel is closed.
    pub(crate) fn run(self, jobs: &Receiver<Job>) {
        for job in jobs {
            match job {
                Job::Do(action) => {
                    if let Some(event) = self.perform(action) {
                        self.reporter.send(ReportInput::Gathered(event));
                    }
                }
                Job::Finish(records) => {
                    let written = self.write_now(records);
                    self.reporter.send(ReportInput::Written(written));
                }
            }
        }
    }

    /// Performs an action; returns the event with its result, if any.
    fn perform(&self, action: Action) -> Option<Event> {
        match action {
            Action::Read { key } => Some(self.read(key)),
            Action::Swap {
                key,
                version,
                value,
            } => Some(self.swap(key, version, value)),
            Action::Delete { key } => {
                self.delete(&key);
                None
            }
            Action::Warn { key, detail } => {
                log::warn!(key = key.as_str(); "failed to keep the zone's day record: {detail}");
                None
            }
        }
    }

    fn read(&self, key: String) -> Event {
        match self.record_result(self.store.get(&key)) {
            Some(entry) => {
                let (version, value) = match entry {
                    Some(Entry { version, value, .. }) => (version, value),
                    None => (0, Vec::new()),
                };
                Event::Read {
                    key,
                    version,
                    value,
                }
            }
            None => Event::Failed { key },
        }
    }

    fn swap(&self, key: String, version: u64, value: Vec<u8>) -> Event {
        let op = Op::swap(key.clone(), value, version);
        match self.record_result(self.store.commit(&[op])) {
            Some(result) => {
                let done = matches!(result, CommitResult::Applied(_));
                Event::Swapped { key, done }
            }
            None => Event::Failed { key },
        }
    }

    /// Removes an expired day; on failure it stays.
    fn delete(&self, key: &str) {
        if let Some(Some(entry)) = self.record_result(self.store.get(key)) {
            let op = Op::Delete {
                key: key.to_owned(),
                version: entry.version,
            };
            self.record_result(self.store.commit(&[op]));
        }
    }

    /// Reports whether the service answered, and returns the result if it did.
    fn record_result<T>(&self, result: Result<T>) -> Option<T> {
        self.reporter
            .try_send(ReportInput::Platform(result.is_ok()));
        if let Err(error) = &result {
            log::warn!("failed to keep the day's records: {error}");
        }
        result.ok()
    }

    /// Merges records into the zone's value immediately, whichever router has the gather duty: a
    /// router that shuts down cannot wait for the gatherer's next write. Returns whether the records
    /// were written.
    fn write_now(&self, records: Vec<Record>) -> bool {
        let mut gatherer = Aggregator::new(&self.prefix, &self.zone);
        let now = self.clock.now();
        gatherer.decide(Event::Duty(true), now);
        for record in records {
            gatherer.decide(Event::Report(Box::new(record)), now);
        }
        let mut actions = gatherer.decide(Event::Tick, now);
        for _ in 0..FINISH_CALLS {
            let Some(action) = actions.pop() else {
                return true;
            };
            let unreadable = matches!(action, Action::Warn { .. });
            match self.perform(action) {
                None if unreadable => return false,
                Some(Event::Failed { .. }) => return false,
                Some(event) => actions.extend(gatherer.decide(event, now)),
                None => {}
            }
        }
        log::warn!("failed to write the day's records at shutdown: too many conflicting writes");
        false
    }
}
