//! Encoding of what digests hold for the placement by cost.
//!
//! The numbers of the rows of servers follow one another in the order of the rows, as variable-length
//! integers in one byte string: six bytes for most rows. The zeros at the end are left out, so that a
//! digest takes no more space while no server reports how long work takes.

use std::fmt;

use serde::de::Error;
use serde::de::Visitor;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use super::Digest;
use super::ServerRow;
use crate::cost::WorkReport;
use crate::cost::AGE_UNIT_MS;
use crate::cost::PERCENT_UNIT;
use crate::entry::ShortId;
use crate::speed::SpeedSums;

/// Bits of a number in each byte.
const BITS: u32 = 7;
/// Set in all bytes of a number but the last.
const MORE: u8 = 1 << BITS;
/// Maximum number of encoded bytes that are read; those of a combined digest fit.
const MAX_ENCODED: usize = 32_768;

/// Unit of the steps that are left, in digests.
pub(crate) const STEPS_UNIT: u64 = 4;
/// Upper bound of the units of steps of one row.
const MAX_STEPS: u64 = 1 << 24;

/// Pools whose servers report how long work takes, and numbers for each row.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct WireCost(Vec<ShortId>, Packed);

impl From<&Digest> for WireCost {
    fn from(digest: &Digest) -> Self {
        let mut packed = Packed::default();
        for row in &digest.servers {
            let SpeedSums {
                predicted,
                measured,
            } = row.speed;
            let (percent, age) = row.report.map_or((0, 0), |report| {
                (report.percent / PERCENT_UNIT, report.age_ms / AGE_UNIT_MS)
            });
            let steps = row.load.steps / STEPS_UNIT;
            for number in [predicted, measured, percent.into(), age.into(), steps] {
                packed.push(number);
            }
        }
        packed.trim();
        Self(digest.cost_pools.clone(), packed)
    }
}

impl WireCost {
    /// Returns the short ids of the pools whose servers report.
    pub(super) fn pools(self) -> Vec<ShortId> {
        self.0
    }

    /// Adds the numbers to the decoded rows.
    pub(super) fn add_to(&self, rows: &mut [ServerRow]) {
        let mut numbers = self.1.numbers();
        for row in rows {
            let mut number = || numbers.next().unwrap_or_default();
            row.speed = SpeedSums {
                predicted: number(),
                measured: number(),
            }
            .bounded();
            let percent = scaled(number(), PERCENT_UNIT);
            let age_ms = scaled(number(), AGE_UNIT_MS);
            row.load.steps = number().min(MAX_STEPS) * STEPS_UNIT;
            row.report = (percent > 0).then_some(WorkReport { percent, age_ms });
        }
    }
}

fn scaled(number: u64, unit: u32) -> u32 {
    u32::try_from(number).map_or(u32::MAX, |number| number.saturating_mul(unit))
}

/// Numbers as variable-length integers, the lowest bits first.
#[derive(Default)]
struct Packed(Vec<u8>);

impl Packed {
    fn push(&mut self, mut number: u64) {
        while number >= u64::from(MORE) {
            self.0.push(number as u8 | MORE);
            number >>= BITS;
        }
        self.0.push(number as u8);
    }

    /// Removes the zeros at the end.
    fn trim(&mut self) {
        let used = self.0.iter().rposition(|byte| *byte != 0);
        self.0.truncate(used.map_or(0, |last| last + 1));
    }

    /// Returns the numbers; bits beyond those of a number are dropped.
    fn numbers(&self) -> impl Iterator<Item = u64> + '_ {
        let mut bytes = self.0.iter();
        std::iter::from_fn(move || {
            let mut number = 0;
            let mut shift = 0;
            loop {
                let byte = *bytes.next()?;
                number |= u64::from(byte & !MORE).checked_shl(shift).unwrap_or(0);
                if byte & MORE == 0 {
                    return Some(number);
                }
                shift += BITS;
            }
        })
    }
}

impl Serialize for Packed {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Packed {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(PackedVisitor)
    }
}

struct PackedVisitor;

impl Visitor<'_> for PackedVisitor {
    type Value = Packed;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "at most {MAX_ENCODED} bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Packed, E> {
        if bytes.len() > MAX_ENCODED {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        Ok(Packed(bytes.to_vec()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Packed, E> {
        self.visit_bytes(&bytes)
    }
}
