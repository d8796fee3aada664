//! The operators' two tables, routes and pools, as validated values.
//!
//! This module only holds the values; the `primrose-table` crate parses, validates and compares
//! documents. A [`Table`] has been validated as a whole: every route names a pool of the same
//! document.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::cost::Service;
use crate::id::AccountId;
use crate::id::Generation;
use crate::id::PoolId;
use crate::id::RouteId;
use crate::id::ServerId;
use crate::id::ZoneId;

/// Weight of a client account: its share relative to that of the others.
pub type Weight = u32;

/// The routes and pools of one accepted generation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    /// Generation of the document.
    pub generation: Generation,
    /// Routes by name.
    pub routes: BTreeMap<RouteId, Route>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, Pool>,
}

/// How a request is matched to a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Matcher {
    /// The exact path of a plain service, such as `/dispatch/orders`.
    Path(String),
    /// The model named in the body of a completion request.
    Model(String),
}

/// One row of the routes table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteId,
    /// Path or model that selects the route.
    pub matcher: Matcher,
    /// Pool that serves the route.
    pub pool: PoolId,
    /// Longest time from the arrival of a request to the end of its response.
    pub deadline: Duration,
    /// Whether running a request twice is harmless.
    pub idempotent: bool,
    /// Cost of a call to a plain service, or initial estimate for a model, in units of service.
    pub cost: Service,
}

/// Kind of the servers in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum PoolKind {
    /// Model engines, with token streams, resumption, cancellation and prefix caches.
    #[display("engine")]
    Engine,
    /// Plain HTTP services.
    #[display("plain")]
    Plain,
}

/// A backend server listed in a pool by address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Name of the server.
    pub id: ServerId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address on which it listens.
    pub addr: SocketAddr,
}

/// How the servers of a pool are found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selector {
    /// The servers listed in the table.
    Listed(Vec<Server>),
    /// Every host of this service in the host list.
    Service(String),
}

/// Bounds of the adaptive slot limit of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotBounds {
    /// Lowest limit.
    pub min: u32,
    /// Highest limit.
    pub max: u32,
}

/// Limits of the queue at one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueBounds {
    /// Queued requests of one account.
    pub account_requests: usize,
    /// Queued body bytes of one account.
    pub account_bytes: usize,
    /// Queued requests of all accounts.
    pub total_requests: usize,
    /// Queued body bytes of all accounts.
    pub total_bytes: usize,
}

/// One row of the pools table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolId,
    /// Model engines or plain services.
    pub kind: PoolKind,
    /// How the servers are found.
    pub servers: Selector,
    /// Bounds of the slot limit of each server.
    pub slots: SlotBounds,
    /// Target for the time to the first token.
    pub first_token: Duration,
    /// Target for the time between tokens.
    pub inter_token: Duration,
    /// Longest run of one request, after which a slot that is not reported counts as free.
    pub max_run_time: Duration,
    /// Weights of client accounts.
    pub weights: BTreeMap<AccountId, Weight>,
    /// Weight of accounts that are not listed.
    pub default_weight: Weight,
    /// Limits of the queue at one router.
    pub queue: QueueBounds,
    /// Whether the servers refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// Model version that the engines should have loaded; empty if none is required.
    pub model_version: String,
}
