//! What a router shows to operators.

use primrose_core::id::AccountId;
use primrose_core::id::HostId;
use primrose_core::id::Incarnation;
use primrose_core::id::PoolId;
use primrose_core::id::ZoneId;
use primrose_dispatch::requester::Queued;
use primrose_table::force::Standing;
use serde::Serialize;

/// State of one router.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The host.
    pub host: HostId,
    /// Incarnation of the router process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether the balancer may send new requests.
    pub ready: bool,
    /// Whether the router is shutting down.
    pub draining: bool,
    /// Routes and pools in force.
    pub tables: Standing,
    /// Client accounts in force.
    pub accounts: Standing,
    /// Routers to which a link is up.
    pub peers: Vec<HostId>,
    /// Requests that wait at this router.
    pub waiting: Vec<Waiting>,
    /// Attempts that run from this router.
    pub running: usize,
    /// Dispatchers that this router holds.
    pub dispatchers: Vec<primrose_dispatch::status::Status>,
}

/// Waiting requests of one account in one pool.
#[derive(Debug, Clone, Serialize)]
pub struct Waiting {
    /// Pool.
    pub pool: PoolId,
    /// Client account.
    pub account: AccountId,
    /// Requests.
    pub requests: usize,
}

impl From<Queued> for Waiting {
    fn from(queued: Queued) -> Self {
        Self {
            pool: queued.pool,
            account: queued.account,
            requests: queued.requests,
        }
    }
}
