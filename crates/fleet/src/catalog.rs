//! The operators' tables as gateways use them: routes, pools, client accounts and limits.
//!
//! [`Tables`] is plain data that travels between gateways; [`Catalog`] is the same with the look-up
//! by host and path made.

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

/// Secret by which a client account is known.
pub type ApiKey = String;

/// What may be done again with a request of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run once at most.
    Once,
    /// May run more than once.
    Repeatable,
    /// Answers with a stream of events.
    Stream {
        /// Whether another server may go on where one stopped.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether the request may run again after a run that failed.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Once => false,
            Self::Repeatable => true,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A pool that serves part of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The pool.
    pub pool: PoolId,
    /// Its part of the requests, relative to the other targets.
    pub weight: u32,
}

/// A row of the route table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and reports.
    pub name: RouteId,
    /// Host name that callers ask for.
    pub host: String,
    /// Beginning of the paths that belong to the route.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller is kept.
    pub time_limit: Duration,
    /// Time within which the answer, or its first event, is wanted.
    pub objective: Duration,
    /// Most servers that may run one request.
    pub tries: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether requests carry prompts whose parts are shared.
    pub prompts: bool,
    /// Pools by weight.
    pub targets: Vec<Target>,
}

impl Route {
    /// Picks a pool for a request by a number drawn evenly.
    pub fn pool(&self, draw: u32) -> Option<&PoolId> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut rest = draw % total.max(1);
        for target in &self.targets {
            if rest < target.weight {
                return Some(&target.pool);
            }
            rest -= target.weight;
        }
        self.targets.first().map(|target| &target.pool)
    }
}

/// Size of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u64,
}

/// A row of the pool table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Connections that a server accepts from all callers.
    pub connections: u32,
    /// Engine of each server; none for plain services.
    pub engine: Option<Engine>,
}

/// Bounds on what a caller may send, and the capacity that accounts share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for sending the head.
    pub head_time: Duration,
    /// Longest time between two requests on a connection.
    pub idle_time: Duration,
    /// Tokens a second that all accounts share; none if nothing is shared out.
    pub token_rate: Option<u64>,
}

/// The operators' tables as plain data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// Moves forward with each edit.
    pub generation: Generation,
    /// Routes.
    pub routes: Vec<Route>,
    /// Pools.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Accounts by key; none if callers need no key at all.
    pub keys: Option<BTreeMap<ApiKey, AccountId>>,
    /// Limits.
    pub limits: Limits,
}

/// Tables with look-ups.
#[derive(Debug)]
pub struct Catalog {
    tables: Tables,
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl Catalog {
    /// Makes the look-ups.
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

    /// The tables.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        let found = routes.iter().find(|route| path.starts_with(&route.prefix));
        found.map(Arc::clone)
    }

    /// Whether callers need a key for a route.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.tables.keys.is_some() && !route.public
    }

    /// Returns the account that holds a key.
    pub fn account(&self, key: &str) -> Option<&AccountId> {
        self.tables.keys.as_ref()?.get(key)
    }
}
