//! What gateways publish of deaths and their causes.

use crate::entry::ShortId;
use crate::place::PartId;

/// A death as gateways publish it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeathReport {
    /// Short id of the server's incarnation.
    pub server: ShortId,
    /// Time since the death, in milliseconds.
    pub age_ms: u32,
    /// Shared parts of the requests that may have caused it.
    pub suspects: Vec<PartId>,
}

/// A quarantine as gateways publish it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineReport {
    /// The part.
    pub part: PartId,
    /// Time since the quarantine began, in milliseconds.
    pub age_ms: u32,
    /// Time until the quarantine is over, in milliseconds.
    pub left_ms: u32,
    /// Number of quarantines of the part, this one included.
    pub count: u32,
}

/// What a gateway publishes of deaths and their causes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoisonReport {
    /// Recent deaths without a known cause.
    pub deaths: Vec<DeathReport>,
    /// Suspects with a recent run that survived, and the time since it began, in milliseconds.
    pub survivals: Vec<(PartId, u32)>,
    /// Parts in quarantine.
    pub quarantined: Vec<QuarantineReport>,
}
