//! One availability zone's part of a day, as it stands in the key-value service.
//!
//! One router of the zone gathers the records of all and replaces the zone's value by
//! compare-and-swap, always on top of what it has just read. So the value has one history, and a
//! process that cannot speak again can be closed: its record is added to the zone's sums and only
//! its name is kept, so that a late copy does not count again. The value thus grows with the
//! routers that are alive, not with every process that ever was.
//!
//! Two gatherers at once do no harm: one of the swaps fails, and is folded anew. While the service
//! is down, gatherers and routers keep the records and fold them later.

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

/// Largest value that the key-value service holds, with room for its own encoding, in bytes.
pub const MAX_VALUE: usize = 1_000_000;

/// What a router spends on its reports, in bytes a second.
const REPORT_BYTES_PER_SEC: u64 = 250;
/// Shortest and longest time between two reports, in seconds.
const PERIOD_RANGE_SECS: (u64, u64) = (30, 300);

/// Returns the time between two reports of a record of this encoded size.
///
/// Routers send their records to the zone's gatherer, and the gatherer replaces the zone's value,
/// once in this time, and once more at a graceful shutdown. A router that crashes takes with it
/// what it counted since its last report.
pub fn report_period(bytes: usize) -> Duration {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    let (shortest, longest) = PERIOD_RANGE_SECS;
    Duration::from_secs((bytes / REPORT_BYTES_PER_SEC).clamp(shortest, longest))
}

/// A value could not be written or read.
#[derive(Debug, Snafu)]
pub enum ZoneError {
    /// The value could not be encoded.
    #[snafu(display("failed to encode the day of a zone"))]
    Encode {
        /// What the codec says.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The bytes are no day of a zone.
    #[snafu(display("failed to decode the day of a zone"))]
    Decode {
        /// What the codec says.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// The value is too large also without what can be left out.
    #[snafu(display("the day of a zone has {bytes} bytes, more than {MAX_VALUE}"))]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
}

/// Keeps maps with other keys than text as lists of pairs.
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

/// One availability zone's part of a day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneDay {
    /// The zone.
    pub zone: ZoneId,
    /// The day.
    pub day: DayId,
    /// Processes whose records are in the sums and closed.
    pub closed: BTreeSet<Member>,
    /// Sums of the closed ones.
    pub sums: Sums,
    /// Records of the others.
    #[serde(with = "pairs")]
    pub live: BTreeMap<Member, Record>,
    /// Whether series of accounts were left out to keep the value small.
    pub trimmed: bool,
}

impl ZoneDay {
    /// Starts with nothing.
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

    /// Takes a record unless a newer copy is there or its process is closed.
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

    /// Closes a process that cannot speak again.
    ///
    /// That is one with a newer incarnation on the same host, or on a host that the host list no
    /// longer holds. It must be called only on a value that was just read, before it is swapped.
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

    /// Writes the value for the service; series of accounts are left out if it is too large.
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

    /// Reads a value from the service.
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
