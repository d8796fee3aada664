//! JSON messages between a router's operator listener and `primrosectl`.
//!
//! `GET /status` returns a [`RouterStatus`], `GET /tables` the text of the document in force, and
//! `GET /suspects` a list of [`SuspectStatus`]. `POST /drain` starts a graceful shutdown, and
//! `POST /suspects/FINGERPRINT/lift` allows a refused request again.

use primrose_core::id::AccountId;
use primrose_core::id::HostId;
use primrose_core::id::Incarnation;
use primrose_core::id::PoolId;
use primrose_core::id::RegionId;
use primrose_core::id::RouteId;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use primrose_table::activation::DocumentStatus;
use serde::Deserialize;
use serde::Serialize;

/// Whether a router accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum RouterState {
    /// No document is in force yet.
    #[display("starting")]
    Starting,
    /// Accepts requests.
    #[display("ready")]
    Ready,
    /// Accepts no new requests and finishes those in flight.
    #[display("draining")]
    Draining,
}

/// State of one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// Incarnation; increases with every start on the host.
    pub incarnation: Incarnation,
    /// Whether the router accepts requests.
    pub state: RouterState,
    /// Time since the start, in seconds.
    pub uptime: u64,
    /// State of the tables document.
    pub tables: DocumentStatus,
    /// State of the client accounts document.
    pub accounts: DocumentStatus,
    /// Time since the key-value service last responded, in milliseconds; `None` if it never did.
    pub platform_silence: Option<u64>,
    /// Routers to which this router is connected.
    pub peers: Vec<PeerStatus>,
    /// Pools known to this router.
    pub pools: Vec<PoolStatus>,
}

/// State of one router as seen by another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether heartbeats arrive from it.
    pub alive: bool,
}

/// State of one pool as seen by a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: PoolId,
    /// Host of the dispatcher for the router's zone, if one is known.
    pub dispatcher: Option<HostId>,
    /// Slots of the zone's servers.
    pub slots: u64,
    /// Slots in use.
    pub busy: u64,
    /// Requests waiting at this router.
    pub queued: u64,
    /// Servers of the pool that the router knows.
    pub servers: Vec<ServerStatus>,
    /// Accounts with requests waiting at this router.
    pub accounts: Vec<QueueStatus>,
}

/// State of one backend server as seen by a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub server: ServerId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether the server accepts new requests.
    pub live: bool,
    /// Current slot limit.
    pub limit: u32,
    /// Slots in use.
    pub busy: u32,
}

/// Waiting requests of one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Name of the account.
    pub account: AccountId,
    /// Requests waiting at this router.
    pub queued: u64,
    /// Waiting time of the oldest request, in milliseconds.
    pub oldest: u64,
}

/// Restriction on a request that was running when servers crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum SuspectState {
    /// Runs in isolation from other requests.
    #[display("suspect")]
    Suspect,
    /// Refused by the whole fleet for a limited time.
    #[display("refused")]
    Refused,
}

/// One request that is suspected of crashing servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectStatus {
    /// Fingerprint, as 16 hexadecimal digits.
    pub fingerprint: String,
    /// Account that sent it.
    pub account: AccountId,
    /// Route of the request.
    pub route: RouteId,
    /// Servers that crashed while running it.
    pub strikes: u32,
    /// Current restriction.
    pub state: SuspectState,
    /// Time until the restriction expires, in seconds.
    pub expires: u64,
}
