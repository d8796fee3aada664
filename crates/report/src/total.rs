//! The whole fleet's day, added up.

use std::collections::BTreeMap;

use primrose_core::id::ZoneId;

use crate::calendar::DayId;
use crate::record::Record;
use crate::record::Sums;
use crate::series::Series;
use crate::zone::ZoneDay;

/// The whole fleet's day.
#[derive(Debug, Clone, PartialEq)]
pub struct Total {
    /// The day.
    pub day: DayId,
    /// Sums over all zones.
    pub sums: Sums,
    /// Seconds of each interval that were seen, by zone.
    pub covered: BTreeMap<ZoneId, Series>,
    /// Whether series of accounts are missing because a zone's value was too large.
    pub trimmed: bool,
}

impl Total {
    /// Starts with nothing.
    pub fn new(day: &str) -> Self {
        Self {
            day: day.to_owned(),
            sums: Sums::default(),
            covered: BTreeMap::new(),
            trimmed: false,
        }
    }

    /// Adds a zone's part; each zone is added once.
    pub fn add_zone(&mut self, zone: &ZoneDay) {
        self.trimmed |= zone.trimmed;
        let covered = self.covered.entry(zone.zone.clone()).or_default();
        covered.raise_all(&zone.sums.fleet.covered);
        self.sums.add_all(&zone.sums);
        for record in zone.live.values() {
            self.add_record(record);
        }
    }

    /// Adds one router's record that is in no zone's part.
    pub fn add_record(&mut self, record: &Record) {
        let covered = self.covered.entry(record.zone.clone()).or_default();
        covered.raise_all(&record.sums.fleet.covered);
        self.sums.add_all(&record.sums);
    }
}
