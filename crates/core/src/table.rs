//! The operators' two tables, routes and pools, as checked values.
//!
//! This module only holds the values; parsing, checking and comparing documents is the work of the
//! `primrose-table` crate. A [`Table`] that exists has been checked as a whole: every route names
//! a pool that stands in the same document.

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

/// Weight of a client account: its share relative to the others.
pub type Weight = u32;

/// Both tables of one accepted generation.
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
    /// Path or model.
    pub matcher: Matcher,
    /// Pool that serves the route.
    pub pool: PoolId,
    /// Longest time from arrival to the end of the answer.
    pub deadline: Duration,
    /// Whether a repeated run does no harm.
    pub idempotent: bool,
    /// Cost of a call to a plain service; first estimate for a model, in units of service.
    pub cost: Service,
}

/// What kind of server a pool holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum PoolKind {
    /// Model engines: token streams, resume, cancel, prefix caches.
    #[display("engine")]
    Engine,
    /// Plain HTTP services.
    #[display("plain")]
    Plain,
}

/// A backend server that a pool lists by address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Name of the server.
    pub id: ServerId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// How a pool finds its servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selector {
    /// Listed in the table.
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

/// Bounds of what may wait at one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueBounds {
    /// Requests of one account.
    pub account_requests: usize,
    /// Body bytes of one account.
    pub account_bytes: usize,
    /// Requests of all accounts.
    pub total_requests: usize,
    /// Body bytes of all accounts.
    pub total_bytes: usize,
}

/// One row of the pools table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolId,
    /// Model engines or plain services.
    pub kind: PoolKind,
    /// Where the servers are found.
    pub servers: Selector,
    /// Slot limit bounds of each server.
    pub slots: SlotBounds,
    /// Target for the time to the first token.
    pub first_token: Duration,
    /// Target for the time between tokens.
    pub inter_token: Duration,
    /// Longest run of one request; a slot that nobody reports is free after it.
    pub max_run_time: Duration,
    /// Weights of client accounts.
    pub weights: BTreeMap<AccountId, Weight>,
    /// Weight of accounts that are not listed.
    pub default_weight: Weight,
    /// What may wait at one router.
    pub queue: QueueBounds,
    /// Whether the servers refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// Model version that engines of the pool should have loaded; empty for none.
    pub model_version: String,
}
