//! Gathers the records of one zone and keeps its days in the key-value service.
//!
//! One router of each zone has the duty; which one is decided elsewhere, and two at once do no
//! harm. The machine asks for the zone's value, folds in what it has, and swaps it against the
//! version that it read. A conflict, a lost reply and an outage are all met in the same way: it
//! reads again and folds again, because folding the same record twice changes nothing.
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

/// Days that are kept in the service.
pub const RETENTION_DAYS: i32 = 14;
/// Days whose records are kept here: today and the one before.
const MAX_RECORD_DAYS: usize = 2;
/// Most processes that are remembered as gone.
const MAX_REMOVED: usize = 4096;
/// Longest wait for an answer of the service.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Version of a value in the service; 0 if it is absent.
pub type Version = u64;

/// What an aggregator hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// This router has, or no longer has, the duty.
    Duty(bool),
    /// A router's record, its own included.
    Report(Box<Record>),
    /// A process that cannot speak again: its host is gone from the host list, and its heartbeats
    /// have ceased. What it should still report does not count.
    Removed(Member),
    /// Time has passed; told about once a second.
    Tick,
    /// The service answered a read.
    Read {
        /// The key.
        key: String,
        /// Version of the value; 0 if it is absent.
        version: Version,
        /// The value; empty if it is absent.
        value: Vec<u8>,
    },
    /// The service swapped a value, or answered that the version has changed.
    Swapped {
        /// The key.
        key: String,
        /// Whether the value was replaced.
        done: bool,
    },
    /// The service did not answer, or its reply was lost.
    Failed {
        /// The key.
        key: String,
    },
}

/// What is to be done at the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read a value.
    Read {
        /// The key.
        key: String,
    },
    /// Replace a value if it still has this version.
    Swap {
        /// The key.
        key: String,
        /// Version that was read; 0 if the value must be absent.
        version: Version,
        /// The new value.
        value: Vec<u8>,
    },
    /// Remove a value that is past keeping, whatever its version.
    Delete {
        /// The key.
        key: String,
    },
    /// Write to the log: the value under the key cannot be read or written.
    Warn {
        /// The key.
        key: String,
        /// What is wrong.
        detail: String,
    },
}

/// One day of the zone as far as it is known here.
#[derive(Debug, Default)]
struct DayState {
    records: BTreeMap<Member, Record>,
    /// What the service surely holds of each process.
    stored: BTreeMap<Member, Seq>,
    /// What the swap under way holds.
    swapping: BTreeMap<Member, Seq>,
    /// When the service was last asked, if its answer has not come.
    requested_at: Option<Mono>,
    /// When the next write is due.
    next_write: Mono,
    /// Whether the day that is past keeping has been removed.
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

/// Gathers the records of one zone.
#[derive(Debug)]
pub struct Aggregator {
    prefix: String,
    zone: ZoneId,
    on_duty: bool,
    days: BTreeMap<DayId, DayState>,
    removed: BTreeSet<Member>,
}

impl Aggregator {
    /// Starts with nothing and without the duty; `prefix` is what every key begins with.
    pub fn new(prefix: &str, zone: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
            zone: zone.to_owned(),
            on_duty: false,
            days: BTreeMap::new(),
            removed: BTreeSet::new(),
        }
    }

    /// Takes what was heard; returns what is to be done.
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

    /// Returns the records that are known of a day, for a page while the service is down.
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

    /// Folds what is known into what the service holds.
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
            // It may be of a newer version of the program; it is not overwritten.
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
            // Someone else has folded; what they wrote is read at once.
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

    /// Removes the day that is past keeping.
    fn prune(&self, written: &str) -> Vec<Action> {
        let day = self.days.keys().find(|day| self.key(day) == written);
        let old = day.and_then(|day| days_before(day, RETENTION_DAYS));
        let delete = old.map(|old| Action::Delete {
            key: self.key(&old),
        });
        delete.into_iter().collect()
    }
}

/// Returns the key of one zone's part of a day.
pub fn zone_day_key(prefix: &str, day: &str, zone: &str) -> String {
    format!("{prefix}/day/{day}/{zone}")
}

/// Returns what a value holds of each process; one that is closed holds all that will count.
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
