//! The messages between a router's operator listener and `primrosectl`, as JSON.
//!
//! `GET /status` gives a [`RouterStatus`], `GET /tables` the text of the document in force,
//! `POST /drain` begins a graceful shutdown, `GET /suspects` gives a list of [`SuspectStatus`], and
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

/// Whether a router takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum RouterState {
    /// No document is in force yet.
    #[display("starting")]
    Starting,
    /// Takes work.
    #[display("ready")]
    Ready,
    /// Takes no new work and finishes what it has.
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
    /// Grows with every start on the host.
    pub incarnation: Incarnation,
    /// Whether it takes work.
    pub state: RouterState,
    /// Time since the start, in seconds.
    pub uptime: u64,
    /// The two tables.
    pub tables: DocumentStatus,
    /// The client accounts.
    pub accounts: DocumentStatus,
    /// Time since the key-value service last answered, in milliseconds; nothing if it never did.
    pub platform_silence: Option<u64>,
    /// Routers that it is connected to.
    pub peers: Vec<PeerStatus>,
    /// Pools, as this router sees them.
    pub pools: Vec<PoolStatus>,
}

/// One router as another sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether its heartbeats arrive.
    pub alive: bool,
}

/// One pool as a router sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: PoolId,
    /// Host of the dispatcher for the router's zone, if one is known.
    pub dispatcher: Option<HostId>,
    /// Slots of the zone's servers.
    pub slots: u64,
    /// Slots that are taken.
    pub busy: u64,
    /// Requests that wait at this router.
    pub queued: u64,
    /// Servers that the router knows in the pool.
    pub servers: Vec<ServerStatus>,
    /// Accounts that have requests waiting at this router.
    pub accounts: Vec<QueueStatus>,
}

/// One backend server as a router sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub server: ServerId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it takes new work.
    pub live: bool,
    /// Present slot limit.
    pub limit: u32,
    /// Slots that are taken.
    pub busy: u32,
}

/// What one account has waiting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Name of the account.
    pub account: AccountId,
    /// Requests that wait at this router.
    pub queued: u64,
    /// Time that the oldest has waited, in milliseconds.
    pub oldest: u64,
}

/// What is held against a request that was there when servers died.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum SuspectState {
    /// Runs set apart from others.
    #[display("suspect")]
    Suspect,
    /// Refused over the whole fleet for a time.
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
    /// Route that it took.
    pub route: RouteId,
    /// Servers that died under it.
    pub strikes: u32,
    /// What is held against it.
    pub state: SuspectState,
    /// Time until that ends by itself, in seconds.
    pub expires: u64,
}
