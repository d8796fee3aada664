//! Merges the records of one zone and stores its days in the key-value service.
//!
//! One router of each zone is on duty as the aggregator; the election happens elsewhere, and two
//! aggregators at once are harmless. The state machine reads the zone's value, merges its records
//! and replaces the value by compare-and-swap against the version that it read. After a conflict,
//! a lost reply or an outage it reads and merges again, which is safe because merging is
//! idempotent.
//!
//! It performs no I/O: the caller carries out each [`Action`] and returns the result as an
//! [`Event`].
//!
//! ```
//! use std::time::Duration;
//! use primrose_core::id::Member;
//! use primrose_report::aggregator::{Action, Aggregator, Event};
//! use primrose_report::record::Record;
//!
//! let mut aggregator = Aggregator::new("primrosehall", "barasat");
//! let member = Member { host: "entry-1".into(), incarnation: 1 };
//! let mut record = Record::new(member, "barasat", "2026-12-04");
//! record.seq = 1;
//! aggregator.decide(Event::Duty(true), Duration::from_secs(1));
//! aggregator.decide(Event::Report(Box::new(record)), Duration::from_secs(2));
//! let actions = aggregator.decide(Event::Tick, Duration::from_secs(400));
//! let key = "primrosehall/day/2026-12-04/barasat".to_owned();
//! assert_eq!(actions, [Action::Read { key }]);
//! ```

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::calendar::days_before;
use crate::calendar::DayId;
use crate::record::Record;
use crate::record::Seq;
use crate::zone::report_period;
use crate::zone::ZoneDay;

/// Days that are retained in the key-value service.
pub const RETENTION_DAYS: i32 = 14;
/// Days whose records are held in memory: today and yesterday.
const MAX_RECORD_DAYS: usize = 2;
/// Maximum number of removed processes that are remembered.
const MAX_REMOVED: usize = 4096;
/// Time after which a request to the key-value service is considered lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Version of a value in the key-value service; 0 if it is absent.
pub type Version = u64;

/// Input of an [`Aggregator`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// This router became the zone's aggregator (`true`) or stopped being it (`false`).
    Duty(bool),
    /// A record from a router of the zone, including this one.
    Report(Box<Record>),
    /// A process that will not report again: its host was removed from the host list, and its
    /// heartbeats have stopped. Records that arrive from it later are not counted.
    Removed(Member),
    /// Time has passed; sent about once a second.
    Tick,
    /// Result of [`Action::Read`].
    Read {
        /// The key.
        key: String,
        /// Version of the value; 0 if it is absent.
        version: Version,
        /// The value; empty if it is absent.
        value: Vec<u8>,
    },
    /// Result of [`Action::Swap`].
    Swapped {
        /// The key.
        key: String,
        /// Whether the value was replaced; `false` if its version had changed.
        done: bool,
    },
    /// The key-value service did not respond, or its response was lost.
    Failed {
        /// The key.
        key: String,
    },
}

/// Request to the key-value service, or a log entry, that the caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read a value.
    Read {
        /// The key.
        key: String,
    },
    /// Replace a value if its version is unchanged.
    Swap {
        /// The key.
        key: String,
        /// Version that was read; 0 if the value must be absent.
        version: Version,
        /// The new value.
        value: Vec<u8>,
    },
    /// Remove a value older than [`RETENTION_DAYS`], whatever its version.
    Delete {
        /// The key.
        key: String,
    },
    /// Log a warning: the value under the key cannot be decoded or encoded.
    Warn {
        /// The key.
        key: String,
        /// Error and its cause.
        detail: String,
    },
}

/// Records of one day, and how much of them is stored.
#[derive(Debug, Default)]
struct DayState {
    records: BTreeMap<Member, Record>,
    /// Sequence number up to which each process is known to be stored.
    stored: BTreeMap<Member, Seq>,
    /// Sequence number of each process in the swap in flight.
    swapping: BTreeMap<Member, Seq>,
    /// When the pending request was sent, if one is in flight.
    requested_at: Option<Mono>,
    /// When the next write is due.
    next_write: Mono,
    /// Whether the removal of the expired day was requested.
    pruned: bool,
}

impl DayState {
    fn is_stored(&self) -> bool {
        let stored = |(member, record): (&Member, &Record)| {
            self.stored
                .get(member)
                .is_some_and(|seq| *seq >= record.seq)
        };
        self.records.iter().all(stored)
    }

    fn awaits_response(&self, now: Mono) -> bool {
        self.requested_at
            .is_some_and(|requested_at| now < requested_at + RESPONSE_TIMEOUT)
    }
}

/// State machine that merges the records of one zone and stores them.
#[derive(Debug)]
pub struct Aggregator {
    prefix: String,
    zone: ZoneId,
    on_duty: bool,
    days: BTreeMap<DayId, DayState>,
    removed: BTreeSet<Member>,
}

impl Aggregator {
    /// Creates an aggregator without records that is not on duty; every key begins with `prefix`.
    pub fn new(prefix: &str, zone: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            zone: zone.to_owned(),
            on_duty: false,
            days: BTreeMap::new(),
            removed: BTreeSet::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn decide(&mut self, event: Event, now: Mono) -> Vec<Action> {
        match event {
            Event::Duty(on_duty) => self.on_duty = on_duty,
            Event::Report(record) => self.add_record(*record, now),
            Event::Removed(member) => {
                self.removed.insert(member);
                if self.removed.len() > MAX_REMOVED {
                    self.removed.pop_first();
                }
            }
            Event::Tick => return self.tick(now),
            Event::Read {
                key,
                version,
                value,
            } => return self.fold_and_swap(key, version, &value),
            Event::Swapped { key, done } => return self.swapped(&key, done, now),
            Event::Failed { key } => {
                if let Some(day) = self.day_by_key(&key) {
                    day.requested_at = None;
                    day.next_write = now + write_period(day);
                }
            }
        }
        Vec::new()
    }

    /// Returns the records of a day held in memory, for a page while the service is unavailable.
    pub fn records(&self, day: &str) -> impl Iterator<Item = &Record> {
        self.days
            .get(day)
            .into_iter()
            .flat_map(|day| day.records.values())
    }

    fn key(&self, day: &str) -> String {
        zone_day_key(&self.prefix, day, &self.zone)
    }

    fn day_by_key(&mut self, key: &str) -> Option<&mut DayState> {
        let names: Vec<DayId> = self.days.keys().cloned().collect();
        let day = names.into_iter().find(|day| self.key(day) == key)?;
        self.days.get_mut(&day)
    }

    fn add_record(&mut self, record: Record, now: Mono) {
        if record.zone != self.zone {
            return;
        }
        let day = self
            .days
            .entry(record.day.clone())
            .or_insert_with(|| DayState {
                next_write: now,
                ..DayState::default()
            });
        let known = day.records.get(&record.member);
        if known.is_none_or(|known| known.seq < record.seq) {
            day.records.insert(record.member.clone(), record);
        }
        while self.days.len() > MAX_RECORD_DAYS {
            self.days.pop_first();
        }
    }

    fn tick(&mut self, now: Mono) -> Vec<Action> {
        if !self.on_duty {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (name, day) in &mut self.days {
            if now >= day.next_write && !day.awaits_response(now) && !day.is_stored() {
                day.requested_at = Some(now);
                due.push(name.clone());
            }
        }
        let read = due.iter().map(|day| Action::Read { key: self.key(day) });
        read.collect()
    }

    /// Merges the records in memory into the stored value and returns the swap.
    fn fold_and_swap(&mut self, key: String, version: Version, value: &[u8]) -> Vec<Action> {
        let zone = self.zone.clone();
        let removed = self.removed.clone();
        let name = self.days.keys().find(|day| self.key(day) == key).cloned();
        let Some(name) = name else {
            return Vec::new();
        };
        let Some(day) = self.days.get_mut(&name) else {
            return Vec::new();
        };
        let decoded = match version {
            0 => Ok(ZoneDay::new(&zone, &name)),
            _ => ZoneDay::decode(value),
        };
        let mut zone_day = match decoded {
            Ok(zone_day) => zone_day,
            // A newer version of the program may have written it, so it is not overwritten.
            Err(error) => return warn(key, &error),
        };
        for record in day.records.values() {
            zone_day.merge(record);
        }
        zone_day.close_replaced();
        removed.iter().for_each(|member| zone_day.close(member));
        day.swapping = seqs_in(day, &zone_day);
        match zone_day.encode() {
            Ok(value) => vec![Action::Swap {
                key,
                version,
                value,
            }],
            Err(error) => warn(key, &error),
        }
    }

    fn swapped(&mut self, key: &str, done: bool, now: Mono) -> Vec<Action> {
        let Some(day) = self.day_by_key(key) else {
            return Vec::new();
        };
        if !done {
            // Another router wrote the value: read the new version immediately.
            day.requested_at = Some(now);
            let key = key.to_owned();
            return vec![Action::Read { key }];
        }
        day.requested_at = None;
        day.stored.append(&mut day.swapping);
        day.next_write = now + write_period(day);
        if std::mem::replace(&mut day.pruned, true) {
            return Vec::new();
        }
        self.prune(key)
    }

    /// Returns the removal of the day that expires once the day under the key `written` is stored.
    fn prune(&self, written: &str) -> Vec<Action> {
        let day = self.days.keys().find(|day| self.key(day) == written);
        let old = day.and_then(|day| days_before(day, RETENTION_DAYS));
        let delete = old.map(|old| Action::Delete {
            key: self.key(&old),
        });
        delete.into_iter().collect()
    }
}

/// Returns the key under which a zone's day is stored.
pub fn zone_day_key(prefix: &str, day: &str, zone: &str) -> String {
    format!("{prefix}/day/{day}/{zone}")
}

/// Returns the sequence number that `zone_day` holds for each process with a record in `day`.
///
/// A closed process gets the maximum, because no later record of it is counted.
fn seqs_in(day: &DayState, zone_day: &ZoneDay) -> BTreeMap<Member, Seq> {
    let held = |member: &Member, record: &Record| {
        if zone_day.closed.contains(member) {
            return Seq::MAX;
        }
        zone_day
            .live
            .get(member)
            .map_or(record.seq, |live| live.seq)
    };
    let records = day.records.iter();
    records
        .map(|(member, record)| (member.clone(), held(member, record)))
        .collect()
}

/// Returns the time until the next write, by the size of the largest record.
fn write_period(day: &DayState) -> Duration {
    let sizes = day.records.values().map(Record::encoded_len);
    report_period(sizes.max().unwrap_or(0))
}

fn warn(key: String, error: &dyn std::error::Error) -> Vec<Action> {
    let cause = error.source().map(|cause| format!(": {cause}"));
    let detail = format!("{error}{}", cause.unwrap_or_default());
    vec![Action::Warn { key, detail }]
}
