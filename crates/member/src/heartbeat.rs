//! Messages that routers exchange about the membership.

use std::net::SocketAddr;

use primrose_core::id::Generation;
use primrose_core::id::HostId;
use primrose_core::id::Incarnation;
use primrose_core::id::Member;
use primrose_core::id::RegionId;
use primrose_core::id::ZoneId;
use serde::Deserialize;
use serde::Serialize;

/// A heartbeat, with the changes that the receiver lacks.
///
/// Sent to each peer once per heartbeat interval, and at the next tick if something has changed.
/// Empty sections take no bytes. Heartbeats may be lost, duplicated or reordered, because their
/// contents are versioned by their authors.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of heartbeats that the sender has sent.
    pub count: u64,
    /// Version of the table in force at the sender.
    pub table: TableVersion,
    /// Records of routers; only sent between routers of the same zone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// Reports of zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Report>,
    /// Marks of leaving hosts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingMark>,
    /// Digests of the sender's state; only in every few heartbeats.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<Summary>,
    /// Versions that the sender has; the response to a summary that differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<Versions>,
}

/// Identifies the version of a table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableVersion {
    /// Generation of the table document.
    pub generation: Generation,
    /// Id of the change that produced the generation.
    pub change: String,
}

/// What a router publishes about itself inside its zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The router.
    pub member: Member,
    /// Increases with every change of the record by this process.
    pub version: u64,
    /// Address on which the router listens for peers.
    pub addr: SocketAddr,
    /// Whether the router gives up its duties.
    pub draining: bool,
    /// Routers of the zone from which it receives heartbeats over its own links.
    pub links: Vec<HostId>,
    /// Other zones with a router from which it receives heartbeats over its own links.
    pub gates: Vec<ZoneId>,
}

/// What one router of a zone publishes about the whole zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The zone.
    pub zone: ZoneId,
    /// Region of the zone; empty if there is only one region.
    pub region: RegionId,
    /// Increases with every report of the zone, whichever router writes it.
    pub number: u64,
    /// Router that wrote the report; breaks ties between reports of the same number.
    pub author: Member,
    /// Live routers of the zone.
    pub members: Vec<MemberEntry>,
    /// Zones to which a live router of the zone has a link.
    pub gates: Vec<ZoneId>,
}

/// A router in a report.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The router.
    pub member: Member,
    /// Address on which the router listens for peers.
    pub addr: SocketAddr,
    /// Whether the router gives up its duties.
    pub draining: bool,
}

/// Marks a host as leaving, so that it gets no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMark {
    /// The host.
    pub host: HostId,
    /// Its incarnation; lower incarnations are leaving too.
    pub incarnation: Incarnation,
    /// Seconds since a host list last showed the host.
    pub age: u32,
}

/// Digests of a router's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Digest of the records; 0 towards other zones.
    pub records: u64,
    /// Digest of the reports.
    pub reports: u64,
    /// Digest of the leaving marks.
    pub leaving: u64,
}

/// Versions of a router's state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Versions of the records; empty towards other zones.
    pub records: Vec<RecordVersion>,
    /// Versions of the reports.
    pub reports: Vec<ReportVersion>,
    /// Digest of the leaving marks.
    pub leaving: u64,
}

/// Version of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordVersion {
    /// The router.
    pub member: Member,
    /// Version of the record.
    pub version: u64,
}

/// Version of a report.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReportVersion {
    /// The zone.
    pub zone: ZoneId,
    /// Number of the report.
    pub number: u64,
    /// Router that wrote the report.
    pub author: Member,
}
