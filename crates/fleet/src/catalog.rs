//! The operators' tables as gateways use them: routes, pools, client accounts and limits.
//!
//! [`Tables`] is plain data that gateways exchange; [`Catalog`] adds indexes for the lookup by host
//! and path.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::id::AccountId;
use primrose_core::id::Generation;
use primrose_core::id::PoolId;
use primrose_core::id::RouteId;
use serde::Deserialize;
use serde::Serialize;

/// Secret that identifies a client account.
pub type ApiKey = String;

/// How often the requests of a route may run, and what they return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run at most once.
    Once,
    /// May run more than once.
    Repeatable,
    /// Returns a stream of events.
    Stream {
        /// Whether another server can continue an interrupted stream.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may run again after a failed run.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Once => false,
            Self::Repeatable => true,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A pool that serves part of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The pool.
    pub pool: PoolId,
    /// Its share of the requests, relative to the other targets.
    pub weight: u32,
}

/// A row of the route table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and reports.
    pub name: RouteId,
    /// Host name in the requests.
    pub host: String,
    /// Path prefix of the requests.
    pub prefix: String,
    /// Whether requests may be repeated, and whether they return streams.
    pub kind: RequestKind,
    /// Time after which a request is given up.
    pub time_limit: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// Maximum number of servers that may run one request.
    pub tries: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests carry prompts with prefixes that other requests share.
    pub prompts: bool,
    /// Pools by weight.
    pub targets: Vec<Target>,
}

impl Route {
    /// Picks a pool for a request by a uniformly distributed random number.
    pub fn pool(&self, random: u32) -> Option<&PoolId> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = random % total.max(1);
        for target in &self.targets {
            if remaining < target.weight {
                return Some(&target.pool);
            }
            remaining -= target.weight;
        }
        self.targets.first().map(|target| &target.pool)
    }
}

/// Capacity of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that can run at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u64,
}

/// A row of the pool table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Connections that a server accepts from all its clients together.
    pub connections: u32,
    /// Engine of each server; none for plain services.
    pub engine: Option<Engine>,
    /// What servers take while they are cold; none if they never are.
    #[serde(default)]
    pub slow_start: Option<SlowStart>,
}

/// What the servers of a pool take after they started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowStart {
    /// Time for which a server is cold.
    pub time: Duration,
    /// Requests in 1,000 seconds that a cold server takes.
    pub rate_milli: u64,
}

/// Limits on requests, and the capacity that accounts share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the head.
    pub head_time: Duration,
    /// Timeout of an idle connection.
    pub idle_time: Duration,
    /// Tokens a second that all accounts share; none if accounts have no quotas.
    pub token_rate: Option<u64>,
}

/// The operators' tables as plain data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// Increases with each edit.
    pub generation: Generation,
    /// Routes.
    pub routes: Vec<Route>,
    /// Pools.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Accounts by key; none if no route needs a key.
    pub keys: Option<BTreeMap<ApiKey, AccountId>>,
    /// Limits.
    pub limits: Limits,
}

/// Tables with their indexes.
#[derive(Debug)]
pub struct Catalog {
    tables: Tables,
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl Catalog {
    /// Builds the indexes.
    pub fn new(tables: Tables) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &tables.routes {
            let routes = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { tables, by_host }
    }

    /// Returns the tables.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        let found = routes.iter().find(|route| path.starts_with(&route.prefix));
        found.map(Arc::clone)
    }

    /// Whether callers of a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.tables.keys.is_some() && !route.public
    }

    /// Returns the account that a key belongs to.
    pub fn account(&self, key: &str) -> Option<&AccountId> {
        self.tables.keys.as_ref()?.get(key)
    }
}
