//! Counts the observations of one router process, in one record per day.
//!
//! The daemon passes every [`Observation`] to one [`Recorder`] and periodically sends its records
//! to the zone's aggregator ([`crate::aggregator`]). The record of the previous day is kept after
//! midnight, so that its final state is sent too.

use std::time::SystemTime;

use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::calendar::Calendar;
use crate::observation::Observation;
use crate::record::Record;

/// Days whose records a process keeps: today and yesterday.
const MAX_DAYS: usize = 2;

/// Counts the observations of one router process, by day.
#[derive(Debug)]
pub struct Recorder {
    member: Member,
    zone: ZoneId,
    calendar: Calendar,
    /// Sorted by day, the newest last.
    records: Vec<Record>,
}

impl Recorder {
    /// Creates a recorder without records.
    pub fn new(member: Member, zone: &str, calendar: Calendar) -> Self {
        Self {
            member,
            zone: zone.to_owned(),
            calendar,
            records: Vec::new(),
        }
    }

    /// Counts an observation made at this wall-clock time.
    ///
    /// If the clock steps back over midnight, the observation counts on the earlier day as long as
    /// that day's record is kept.
    pub fn observe(&mut self, wall: SystemTime, observation: &Observation) {
        let located = self.calendar.locate(wall);
        let existing = self
            .records
            .iter()
            .position(|record| record.day == located.day);
        let index = existing.unwrap_or_else(|| {
            let record = Record::new(self.member.clone(), &self.zone, &located.day);
            self.records.push(record);
            // Day names are ISO dates, so they sort chronologically.
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
        // The record of a day older than those kept was just dropped: nothing is counted.
        if let Some(record) = self.records.get_mut(index) {
            if record.day == located.day {
                record.observe(located.interval, observation);
            }
        }
    }

    /// Returns the records to send, the newest day last.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the calendar that assigns observations to days.
    pub fn calendar(&self) -> &Calendar {
        &self.calendar
    }
}
