//! Dispatcher state as shown to operators.

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

/// State of the dispatcher of one pool in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Pool.
    pub pool: PoolId,
    /// Zone.
    pub zone: ZoneId,
    /// Whether the dispatcher still collects registrations and grants nothing yet.
    pub settling: bool,
    /// Servers whose slots the dispatcher holds.
    pub servers: Vec<ServerStatus>,
    /// Client accounts.
    pub accounts: Vec<AccountStatus>,
    /// Attempts that run on slots lent by other zones.
    pub borrowed: usize,
    /// Routers that renew at this dispatcher.
    pub routers: usize,
    /// Waiting suspect requests.
    pub suspects: usize,
    /// Totals since the dispatcher was created.
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
    /// Slot limit in force.
    pub limit: u32,
    /// Slots that may be granted now.
    pub free: u32,
    /// Whether the server is the isolation server, which runs suspect requests only.
    pub apart: bool,
}

/// State of one client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// The account.
    pub account: AccountId,
    /// Weight.
    pub weight: Weight,
    /// Requests that wait in this zone, without suspect ones.
    pub waiting: usize,
    /// Attempts of this zone that hold a slot.
    pub running: usize,
    /// Weighted service above that of the least served backlogged account, in 1/1024 unit.
    pub above: WeightedService,
}

/// Event counts since the dispatcher was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Grants sent.
    pub granted: u64,
    /// Grants on slots lent by other zones.
    pub borrowed: u64,
    /// Slots lent to other zones.
    pub lent: u64,
    /// Loans that this dispatcher made and that were returned unused or without a known ending.
    pub unused: u64,
    /// Grants that a requester declined.
    pub declined: u64,
    /// Slots reclaimed because the router or borrower that held them no longer listed them.
    pub expired: u64,
    /// Slots of lost routers that were freed by a load report or at the pool's longest run time.
    pub orphans: u64,
    /// Units charged minus units refunded.
    pub service: Service,
}
