//! What a dispatcher shows to operators.

use primrose_core::cost::Service;
use primrose_core::host::HostState;
use primrose_core::id::AccountId;
use primrose_core::id::PoolId;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use primrose_core::table::Weight;
use primrose_share::WeightedService;
use serde::Deserialize;
use serde::Serialize;

/// State of one dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Pool.
    pub pool: PoolId,
    /// Zone.
    pub zone: ZoneId,
    /// Collects registrations and grants nothing yet.
    pub settling: bool,
    /// Servers of the zone.
    pub servers: Vec<ServerStatus>,
    /// Client accounts.
    pub accounts: Vec<AccountStatus>,
    /// Attempts on servers of other zones.
    pub borrowed: usize,
    /// Routers that are registered.
    pub routers: usize,
    /// Suspect requests that wait.
    pub suspects: usize,
    /// Totals since the dispatcher began.
    pub totals: Totals,
}

/// State of one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerId,
    /// Live or leaving.
    pub state: HostState,
    /// Slots taken, lent ones included.
    pub busy: u32,
    /// Slots lent to other zones.
    pub lent: u32,
    /// Slot limit now.
    pub limit: u32,
    /// Slots that may be granted now.
    pub free: u32,
    /// Runs suspects only.
    pub apart: bool,
}

/// State of one client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// The account.
    pub account: AccountId,
    /// Weight.
    pub weight: Weight,
    /// Requests that wait in this zone.
    pub waiting: usize,
    /// Attempts of this zone that run.
    pub running: usize,
    /// Weighted service above the least backlogged account, in 1/1024 unit.
    pub above: WeightedService,
}

/// Counts since the dispatcher began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Grants.
    pub granted: u64,
    /// Grants on servers of other zones.
    pub borrowed: u64,
    /// Loans to other zones.
    pub lent: u64,
    /// Loans that came back unused.
    pub unused: u64,
    /// Grants declined.
    pub declined: u64,
    /// Slots taken back because nobody listed them.
    pub expired: u64,
    /// Slots of lost routers that a server's report or the longest run freed.
    pub orphans: u64,
    /// Units charged less units refunded.
    pub service: Service,
}
