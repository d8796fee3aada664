//! One availability zone's part of a day, as stored in the key-value service.
//!
//! One router of the zone, the aggregator, merges the records of all its routers and replaces the
//! zone's value by compare-and-swap, always based on the version it has just read. The value
//! therefore has a linear history, and a process that will not report again can be closed: its
//! record is added to the zone's sums and only its identity is kept, so that a late copy is not
//! counted again. The size of the value thus depends on the number of live routers, not on the
//! number of processes that ever ran.
//!
//! Two aggregators at once are harmless: one of the swaps fails and is retried on the new version.
//! While the service is unavailable, aggregators and routers keep the records and merge them later.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::calendar::DayId;
use crate::record::Record;
use crate::record::Sums;

/// Maximum size of a stored value, in bytes; leaves room for the key-value service's own encoding.
pub const MAX_VALUE: usize = 1_000_000;

/// Average bandwidth that a router may spend on its reports.
const REPORT_BYTES_PER_SEC: u64 = 250;
/// Minimum and maximum time between two reports.
const PERIOD_RANGE_SECS: (u64, u64) = (30, 300);

/// Returns the time between two reports of a record of this encoded size.
///
/// Once in this period, and again at a graceful shutdown, routers send their records to the zone's
/// aggregator, and the aggregator replaces the zone's value. When a router crashes, its counts
/// since the last report are lost.
pub fn report_period(bytes: usize) -> Duration {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    let (shortest, longest) = PERIOD_RANGE_SECS;
    Duration::from_secs((bytes / REPORT_BYTES_PER_SEC).clamp(shortest, longest))
}

/// Error encoding or decoding a [`ZoneDay`].
#[derive(Debug, Snafu)]
pub enum ZoneError {
    /// The value could not be encoded.
    #[snafu(display("failed to encode the day of a zone"))]
    Encode {
        /// What the codec says.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The bytes are not an encoded [`ZoneDay`].
    #[snafu(display("failed to decode the day of a zone"))]
    Decode {
        /// What the codec says.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// The value exceeds [`MAX_VALUE`] even without the series of accounts.
    #[snafu(display("the day of a zone has {bytes} bytes, more than {MAX_VALUE}"))]
    TooLarge {
        /// Encoded size without the series of accounts.
        bytes: usize,
    },
}

/// Encodes the map of records as a list, since each record names its process.
mod pairs {
    use std::collections::BTreeMap;

    use primrose_core::id::Member;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    use crate::record::Record;

    pub(super) fn serialize<S: Serializer>(
        live: &BTreeMap<Member, Record>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(live.values())
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(
        deserializer: D,
    ) -> Result<BTreeMap<Member, Record>, D::Error> {
        let records = Vec::<Record>::deserialize(deserializer)?;
        let by_member = records
            .into_iter()
            .map(|record| (record.member.clone(), record));
        Ok(by_member.collect())
    }
}

/// Sums and records of one availability zone for one day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneDay {
    /// Availability zone.
    pub zone: ZoneId,
    /// Local day.
    pub day: DayId,
    /// Processes that will not report again and whose records are included in `sums`.
    pub closed: BTreeSet<Member>,
    /// Sums over the closed processes.
    pub sums: Sums,
    /// Latest record of each process that is not closed.
    #[serde(with = "pairs")]
    pub live: BTreeMap<Member, Record>,
    /// Whether the series of accounts were dropped to keep the value below the size limit.
    pub trimmed: bool,
}

impl ZoneDay {
    /// Creates an empty day.
    pub fn new(zone: &str, day: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            day: day.to_owned(),
            closed: BTreeSet::new(),
            sums: Sums::default(),
            live: BTreeMap::new(),
            trimmed: false,
        }
    }

    /// Merges a record unless a newer copy is present or its process is closed.
    ///
    /// A record of another zone or day is ignored.
    pub fn merge(&mut self, record: &Record) {
        let matches = record.zone == self.zone && record.day == self.day;
        if !matches || self.closed.contains(&record.member) {
            return;
        }
        let existing = self.live.get(&record.member);
        if existing.is_none_or(|existing| existing.seq < record.seq) {
            self.live.insert(record.member.clone(), record.clone());
        }
    }

    /// Closes a process that will not report again: adds its record to the sums.
    ///
    /// This applies to a process with a newer incarnation on the same host, and to a process on a
    /// host that was removed from the host list. Call it only on a value that was just read and
    /// before it is swapped.
    pub fn close(&mut self, member: &Member) {
        if let Some(record) = self.live.remove(member) {
            self.sums.add_all(&record.sums);
            self.closed.insert(member.clone());
        }
    }

    /// Closes every process that has a newer incarnation on the same host.
    pub fn close_replaced(&mut self) {
        let newest: BTreeMap<String, u64> = self
            .live
            .keys()
            .map(|member| (member.host.clone(), member.incarnation))
            .collect();
        let replaced = |member: &&Member| {
            let newest = newest.get(&member.host);
            newest.is_some_and(|newest| *newest > member.incarnation)
        };
        let replaced: Vec<Member> = self.live.keys().filter(replaced).cloned().collect();
        for member in replaced {
            self.close(&member);
        }
    }

    /// Encodes the value for the key-value service, without the series of accounts if it would
    /// exceed [`MAX_VALUE`].
    pub fn encode(&self) -> Result<Vec<u8>, ZoneError> {
        let bytes = encode(self)?;
        if bytes.len() <= MAX_VALUE {
            return Ok(bytes);
        }
        let bytes = encode(&self.trim())?;
        if bytes.len() <= MAX_VALUE {
            return Ok(bytes);
        }
        let bytes = bytes.len();
        TooLargeSnafu { bytes }.fail()
    }

    /// Decodes a value from the key-value service.
    pub fn decode(bytes: &[u8]) -> Result<Self, ZoneError> {
        ciborium::from_reader(bytes).context(DecodeSnafu)
    }

    fn trim(&self) -> Self {
        let mut trimmed = self.clone();
        trimmed.trimmed = true;
        let records = trimmed.live.values_mut().map(|record| &mut record.sums);
        for sums in records.chain([&mut trimmed.sums]) {
            for account in sums.accounts.values_mut() {
                account.series = Default::default();
            }
        }
        trimmed
    }
}

fn encode(day: &ZoneDay) -> Result<Vec<u8>, ZoneError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(day, &mut bytes).context(EncodeSnafu)?;
    Ok(bytes)
}
