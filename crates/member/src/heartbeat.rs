//! What routers tell each other.

use std::net::SocketAddr;

use primrose_core::id::Generation;
use primrose_core::id::HostId;
use primrose_core::id::Incarnation;
use primrose_core::id::Member;
use primrose_core::id::RegionId;
use primrose_core::id::ZoneId;
use serde::Deserialize;
use serde::Serialize;

/// A heartbeat, with the news that the receiver lacks.
///
/// Sent to each peer every period, and at the next tick when there is news. Sections that are
/// empty take no bytes. Losing, doubling or reordering beats does no harm: everything in them is
/// versioned by its author.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counts the beats of the sender.
    pub count: u64,
    /// Table in force at the sender.
    pub table: TableVersion,
    /// Records of routers of the zone; only between routers of one zone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// Reports of zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Report>,
    /// Leaving marks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingMark>,
    /// Digests of all that the sender knows; every few beats.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<Summary>,
    /// What the sender has; the answer to a summary that differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<Versions>,
}

/// Names a table in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableVersion {
    /// Generation of the document.
    pub generation: Generation,
    /// Id of the change that made it.
    pub change: String,
}

/// What a router publishes about itself inside its zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The router.
    pub member: Member,
    /// Grows with every change of the record by this process.
    pub version: u64,
    /// Where the router listens for peers.
    pub addr: SocketAddr,
    /// Whether it gives up its duties.
    pub draining: bool,
    /// Routers of the zone that it hears over links of its own.
    pub links: Vec<HostId>,
    /// Other zones of which it hears a router over a link of its own.
    pub gates: Vec<ZoneId>,
}

/// What one router of a zone publishes about the zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The zone.
    pub zone: ZoneId,
    /// Its region; empty if there is one region only.
    pub region: RegionId,
    /// Grows with every report of the zone, whoever writes it.
    pub number: u64,
    /// Who wrote it; decides between reports of the same number.
    pub author: Member,
    /// Live routers of the zone.
    pub members: Vec<MemberEntry>,
    /// Zones to which a live router has a link.
    pub gates: Vec<ZoneId>,
}

/// One router in a report.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The router.
    pub member: Member,
    /// Where it listens for peers.
    pub addr: SocketAddr,
    /// Whether it gives up its duties.
    pub draining: bool,
}

/// Says that a host must get no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMark {
    /// The host.
    pub host: HostId,
    /// Its incarnation; lesser ones are leaving too.
    pub incarnation: Incarnation,
    /// Seconds since a host list showed the host.
    pub age: u32,
}

/// Digests of what a router knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Of the records; 0 towards other zones.
    pub records: u64,
    /// Of the reports.
    pub reports: u64,
    /// Of the leaving marks.
    pub leaving: u64,
}

/// Versions of what a router knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Records; none towards other zones.
    pub records: Vec<RecordVersion>,
    /// Reports.
    pub reports: Vec<ReportVersion>,
    /// Digest of the leaving marks.
    pub leaving: u64,
}

/// Version of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordVersion {
    /// The router.
    pub member: Member,
    /// Version.
    pub version: u64,
}

/// Version of a report.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReportVersion {
    /// The zone.
    pub zone: ZoneId,
    /// Number.
    pub number: u64,
    /// Who wrote it.
    pub author: Member,
}
