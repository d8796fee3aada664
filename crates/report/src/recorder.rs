//! Counts what one router process sees, day by day.
//!
//! The daemon hands every [`Observation`] to one [`Recorder`] and sends its records to the zone's
//! aggregator ([`crate::aggregator`]) from time to time. After midnight the record of the day before is
//! kept for a while, so that it is surely handed on in its last state.

use std::time::SystemTime;

use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::calendar::Calendar;
use crate::observation::Observation;
use crate::record::Record;

/// Days whose records a process keeps: today and the one before.
const MAX_DAYS: usize = 2;

/// Counts what one router process sees.
#[derive(Debug)]
pub struct Recorder {
    member: Member,
    zone: ZoneId,
    calendar: Calendar,
    /// The newest day comes last.
    records: Vec<Record>,
}

impl Recorder {
    /// Starts with nothing.
    pub fn new(member: Member, zone: &str, calendar: Calendar) -> Self {
        Self {
            member,
            zone: zone.to_owned(),
            calendar,
            records: Vec::new(),
        }
    }

    /// Counts an observation made at this time by the wall clock.
    ///
    /// A clock that steps back over midnight counts on the day that it shows, if that is kept.
    pub fn observe(&mut self, wall: SystemTime, observation: &Observation) {
        let located = self.calendar.locate(wall);
        let existing = self
            .records
            .iter()
            .position(|record| record.day == located.day);
        let index = existing.unwrap_or_else(|| {
            let record = Record::new(self.member.clone(), &self.zone, &located.day);
            self.records.push(record);
            // Days are written so that their text sorts as they follow each other.
            self.records
                .sort_by(|record, other| record.day.cmp(&other.day));
            let surplus = self.records.len().saturating_sub(MAX_DAYS);
            self.records.drain(..surplus);
            let found = self
                .records
                .iter()
                .position(|record| record.day == located.day);
            found.unwrap_or(0)
        });
        // A day older than those kept is past counting.
        if let Some(record) = self.records.get_mut(index) {
            if record.day == located.day {
                record.observe(located.interval, observation);
            }
        }
    }

    /// Returns the records to hand on, the newest day last.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the calendar.
    pub fn calendar(&self) -> &Calendar {
        &self.calendar
    }
}
