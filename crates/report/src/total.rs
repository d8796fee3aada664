//! Sums of a day over the whole fleet.

use std::collections::BTreeMap;

use primrose_core::id::ZoneId;

use crate::calendar::DayId;
use crate::record::Record;
use crate::record::Sums;
use crate::series::Series;
use crate::zone::ZoneDay;
use crate::zone::ZoneError;

/// Sums of a day over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Total {
    /// Local day.
    pub day: DayId,
    /// Sums over all zones.
    pub sums: Sums,
    /// Seconds of each interval for which there is data, by zone.
    pub covered: BTreeMap<ZoneId, Series>,
    /// Whether the series of accounts are missing for a zone whose value was too large.
    pub trimmed: bool,
}

/// A day assembled from the stored values and the records held by a router.
#[derive(Debug)]
pub struct Assembled {
    /// Sums over the values and records.
    pub total: Total,
    /// Errors of values that could not be decoded; their zones appear as gaps.
    pub decode_errors: Vec<ZoneError>,
}

impl Total {
    /// Assembles a day from stored values and newer records.
    ///
    /// `values` are the zones' values in the key-value service, `records` those held by this
    /// router; a record that a value contains in the same or a later state is not counted again.
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

    /// Creates empty sums for a day.
    pub fn new(day: &str) -> Self {
        Self {
            day: day.to_owned(),
            sums: Sums::default(),
            covered: BTreeMap::new(),
            trimmed: false,
        }
    }

    /// Adds the sums and records of a zone; must be called at most once per zone.
    pub fn add_zone(&mut self, zone: &ZoneDay) {
        self.trimmed |= zone.trimmed;
        let covered = self.covered.entry(zone.zone.clone()).or_default();
        covered.raise_all(&zone.sums.fleet.covered);
        self.sums.add_all(&zone.sums);
        for record in zone.live.values() {
            self.add_record(record);
        }
    }

    /// Adds a router's record that is not part of any added zone.
    pub fn add_record(&mut self, record: &Record) {
        let covered = self.covered.entry(record.zone.clone()).or_default();
        covered.raise_all(&record.sums.fleet.covered);
        self.sums.add_all(&record.sums);
    }
}
