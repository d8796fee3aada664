//! The whole fleet's day, added up.

use std::collections::BTreeMap;

use primrose_core::id::ZoneId;

use crate::calendar::DayId;
use crate::record::Record;
use crate::record::Sums;
use crate::series::Series;
use crate::zone::ZoneDay;
use crate::zone::ZoneError;

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

/// A day put together from what the service holds and what a router knows besides.
#[derive(Debug)]
pub struct Assembled {
    /// The sums.
    pub total: Total,
    /// Values that could not be read; their zones show as gaps.
    pub decode_errors: Vec<ZoneError>,
}

impl Total {
    /// Puts a day together.
    ///
    /// `values` are the zones' values in the service, `records` what this router has gathered since;
    /// a record that a value holds in the same or a later state does not count again.
    pub fn assemble(day: &str, values: &[Vec<u8>], records: &[Record]) -> Assembled {
        let mut decode_errors = Vec::new();
        let mut zones: BTreeMap<ZoneId, ZoneDay> = BTreeMap::new();
        for value in values {
            match ZoneDay::decode(value) {
                Ok(zone) if zone.day == day => {
                    zones.insert(zone.zone.clone(), zone);
                }
                Ok(_) => {}
                Err(error) => decode_errors.push(error),
            }
        }
        for record in records.iter().filter(|record| record.day == day) {
            let zone = zones.entry(record.zone.clone());
            zone.or_insert_with(|| ZoneDay::new(&record.zone, day))
                .merge(record);
        }
        let mut total = Self::new(day);
        zones.values().for_each(|zone| total.add_zone(zone));
        Assembled {
            total,
            decode_errors,
        }
    }

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
