//! Ids of the things that the fleet routes between.
//!
//! Ids are plain type aliases. Names that operators choose are strings; ids that the fleet makes
//! are random or counted numbers, because they travel in every control message.

use serde::Deserialize;
use serde::Serialize;

/// Name of a host, as the host list and the settings give it.
pub type HostId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Name of a region: a group of availability zones.
pub type RegionId = String;
/// Name of a client account.
pub type AccountId = String;
/// Name of a route in the routes table.
pub type RouteId = String;
/// Name of a pool in the pools table.
pub type PoolId = String;
/// Name of a backend server.
pub type ServerId = String;
/// Random id of one caller's request, unique among the requests of a few days.
pub type RequestId = u64;
/// Number that grows with every start of a process on a host; milliseconds since the Unix epoch.
pub type Incarnation = u64;
/// Generation of the operators' document; grows by one with every accepted change.
pub type Generation = u64;
/// Number that grows with every holder of a lease; an order with an older number is stale.
pub type Fence = u64;

/// One try to run a request on a backend server.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{request:016x}.{number}")]
pub struct AttemptId {
    /// The request that this attempt runs.
    pub request: RequestId,
    /// Counts the attempts of the request from 1.
    pub number: u32,
}

/// One run of a router process.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[display("{host}#{incarnation}")]
pub struct Member {
    /// The host on which the router runs.
    pub host: HostId,
    /// Grows with every start on that host.
    pub incarnation: Incarnation,
}
