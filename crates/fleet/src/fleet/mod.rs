//! The beliefs of one gateway, and its decisions.

mod admission;
mod follow;
mod gossip;

pub use follow::SnapshotScope;
pub use follow::FOLLOWER_COUNT;
pub use follow::MAX_ALL_FOLLOW;
pub use gossip::ServerStatus;

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use primrose_core::clock::Mono;
use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AccountId;
use primrose_core::id::Incarnation;
use primrose_core::id::PoolId;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use primrose_retry::Budget;

use crate::catalog::Catalog;
use crate::catalog::Route;
use crate::crash::Crashes;
use crate::demand::Demand;
use crate::digest::Digest;
use crate::entry::ShortId;
use crate::health::Counts;
use crate::place::Kept;
use crate::place::Prompt;
use crate::prefill::Pace;
use crate::server::Load;
use crate::server::Servers;

/// What a gateway has to know of itself and of its deployment.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// This start of the gateway.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address.
    pub ip: IpAddr,
    /// Requests sent again for every thousand requests, over the fleet.
    pub retry_permille: u32,
    /// Requests sent again beyond that, over the fleet.
    pub retry_slack: u32,
}

/// A request that wants a server.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// Its pool, drawn from the route's targets.
    pub pool: PoolId,
    /// Its account, if callers have accounts.
    pub account: Option<AccountId>,
    /// By which it is known again.
    pub fingerprint: Fingerprint,
    /// Its prompt, if it has one.
    pub prompt: Option<Prompt>,
    /// When it arrived.
    pub arrived: Mono,
    /// When its answer is of no more use.
    pub deadline: Mono,
    /// Servers that failed it.
    pub tried: Vec<ServerId>,
}

/// A request at a server; given back when it ends.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The server.
    pub server: ServerId,
    /// Which start of it.
    pub born_ms: u64,
    /// Where it listens.
    pub addr: SocketAddr,
    /// What the request takes of it.
    pub load: Load,
    /// Expected time to the first event or the answer.
    pub predicted: Duration,
    /// Tokens to be read before the first event, others' included.
    pub queued_tokens: u64,
    /// When the server was chosen.
    pub started: Mono,
    pool: PoolId,
    first_seen: bool,
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AttemptOutcome {
    /// It served the caller.
    #[display("good")]
    Good,
    /// The server answered that it did not run it.
    #[display("not_run")]
    NotRun,
    /// The server answered with a failure.
    #[display("failed")]
    Failed,
    /// The connection broke, or nothing came.
    #[display("broken")]
    Broken,
    /// No connection could be made.
    #[display("unreachable")]
    Unreachable,
    /// The caller left, or its time was over.
    #[display("given_up")]
    GivenUp,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// Its pool has no server that can be reached.
    #[display("no_server")]
    NoServer,
    /// It would wait too long.
    #[display("overload")]
    Overload,
    /// It would wait, and its account has had its share.
    #[display("over_share")]
    OverShare,
    /// No server has memory or a slot for it.
    #[display("no_room")]
    NoRoom,
    /// It broke every server that ran it.
    #[display("crashes_servers")]
    CrashesServers,
    /// It may not be sent to one more server.
    #[display("retry_budget")]
    RetryBudget,
}

/// A refusal: the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When a place is likely.
    pub retry_after: Duration,
    /// Expected wait that led to it.
    pub predicted: Duration,
    /// Wait that would have been accepted.
    pub allowed: Duration,
}

/// What to do with a request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Send it.
    Send(Placement),
    /// Refuse it.
    Refuse(Refusal),
}

/// Another gateway.
#[derive(Debug)]
struct Peer {
    ip: IpAddr,
    heard: Mono,
    digest: Digest,
}

/// What is learned of a pool.
#[derive(Debug)]
struct PoolState {
    pace: Pace,
    /// Mean time of a plain call.
    call_time: Duration,
    budget: Budget,
}

/// The beliefs of one gateway.
#[derive(Debug)]
pub struct Fleet {
    config: FleetConfig,
    catalog: Option<Arc<Catalog>>,
    servers: Servers,
    list_version: u64,
    /// Version of the list at which the last server is known to have joined or left.
    members_version: u64,
    /// Since when the list of servers cannot be read.
    list_unreadable_since: Option<Mono>,
    pools: HashMap<PoolId, PoolState>,
    kept: Kept,
    demand: Demand,
    crashes: Crashes,
    peers: HashMap<Incarnation, Peer>,
    /// Addresses at which a gateway may be, with when each was last named or heard.
    contacts: HashMap<IpAddr, Mono>,
    others: HashMap<ShortId, (Load, Counts)>,
    seq: u64,
    /// Gateways that share the retry slack.
    sharers: u32,
}

impl Fleet {
    /// Makes a gateway's beliefs before it has learned anything.
    pub fn new(config: FleetConfig) -> Self {
        Self {
            config,
            catalog: None,
            servers: Servers::default(),
            list_version: 0,
            members_version: 0,
            list_unreadable_since: None,
            pools: HashMap::new(),
            kept: Kept::default(),
            demand: Demand::default(),
            crashes: Crashes::default(),
            peers: HashMap::new(),
            contacts: HashMap::new(),
            others: HashMap::new(),
            seq: 0,
            sharers: gossip::SHARERS_AT_START,
        }
    }

    /// Tables in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.clone()
    }

    /// Whether requests can be served: tables and servers are known.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_some() && !self.servers.is_empty()
    }

    /// Version of the list of servers.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Number of gateways heard in the last seconds, this one included.
    pub fn gateway_count(&self) -> usize {
        self.peers.len() + 1
    }

    fn pool(&mut self, pool: &str) -> &mut PoolState {
        let (config, sharers) = (&self.config, self.sharers);
        self.pools
            .entry(pool.to_owned())
            .or_insert_with(|| PoolState {
                pace: Pace::default(),
                call_time: admission::CALL_TIME_AT_START,
                budget: Budget::new(config.budget_bounds(sharers)),
            })
    }
}
