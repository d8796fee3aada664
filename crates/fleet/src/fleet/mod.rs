//! The state of one gateway, and its decisions.

mod admission;
mod cold;
mod combine;
mod cost;
mod evacuation;
mod exchange;
mod follow;
mod gossip;
mod limits;
mod placement;
mod poison;
mod quorum;
mod roles;
mod streams;

pub use cold::ColdServer;
pub use exchange::Outgoing;
pub use follow::SnapshotScope;
pub use follow::FOLLOWER_COUNT;
pub use follow::MAX_ALL_FOLLOW;
pub use gossip::ServerStatus;
pub use roles::MAX_MESH;

use std::collections::BTreeMap;
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

use self::quorum::ZoneQuorum;
use self::roles::KnownGateway;
use self::roles::Role;
use crate::catalog::Catalog;
use crate::catalog::Route;
use crate::cold::ColdBound;
use crate::cost::CostState;
use crate::crash::CrashTracker;
use crate::demand::AccountShare;
use crate::demand::Demand;
use crate::digest::Digest;
use crate::entry::BuildId;
use crate::entry::ShortId;
use crate::evacuation::Evacuations;
use crate::health::AnswerCounts;
use crate::limit::DemandLevel;
use crate::limit::LimitCounts;
use crate::limit::OwnDemand;
use crate::limit::ServerLimits;
use crate::origin::StreamOrigins;
use crate::place::PartId;
use crate::place::PrefixCache;
use crate::place::Prompt;
use crate::poison::PoisonTracker;
use crate::poison::Probe;
use crate::prefill::PrefillModel;
use crate::server::Load;
use crate::server::Servers;
use crate::window::Window;

/// Settings of one gateway and of its deployment.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Incarnation of the gateway.
    pub incarnation: Incarnation,
    /// Availability zone of the gateway.
    pub zone: ZoneId,
    /// Address of the gateway.
    pub ip: IpAddr,
    /// Processor time of the gateway's host, in thousandths of a core; relays are those with most.
    pub capacity: u32,
    /// Retries allowed for every thousand requests, over the fleet.
    pub retry_permille: u32,
    /// Retries allowed beyond that, over the fleet.
    pub retry_slack: u32,
    /// What all gateways together may send to a cold server; none if that is not bounded.
    pub cold_bound: Option<ColdBound>,
    /// Whether requests are placed by the cost that servers report; see [`cost`](crate::cost).
    pub place_by_cost: bool,
}

/// A request to be placed on a server.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Pool, picked from the route's targets.
    pub pool: PoolId,
    /// Account of the caller, if callers have accounts.
    pub account: Option<AccountId>,
    /// Identifies retries of the same request.
    pub fingerprint: Fingerprint,
    /// Prompt, if the request has one.
    pub prompt: Option<Prompt>,
    /// Parts of the prompt that other requests share, in order.
    pub parts: Arc<[PartId]>,
    /// Arrival time.
    pub arrived: Mono,
    /// Time after which the response is useless to the caller.
    pub deadline: Mono,
    /// Servers at which earlier attempts failed.
    pub tried: Vec<ServerId>,
    /// Build that began the stream; none if the request begins it.
    pub build: Option<BuildId>,
    /// The caller's estimate of the output, in tokens.
    pub length_hint: Option<u64>,
}

impl PlacementRequest {
    /// Whether the request goes on with a stream that has begun, as its caller says.
    pub fn is_continuation(&self) -> bool {
        self.build.is_some()
    }
}

/// A request placed on a server; passed to [`Fleet::finish_attempt`] when the attempt ends.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The server.
    pub server: ServerId,
    /// Start time of the server's incarnation, in milliseconds of wall clock time.
    pub born_ms: u64,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Build that the server runs.
    pub build: BuildId,
    /// Load of the request.
    pub load: Load,
    /// Predicted time to the first event or the response.
    pub predicted: Duration,
    /// Tokens to be processed before the first event, including those of other requests.
    pub queued_tokens: u64,
    /// Time at which the server was chosen.
    pub started: Mono,
    /// Whether the response states its length or is sent in chunks. Otherwise it ends with its
    /// connection, as it also would if the server crashed.
    pub end_certain: bool,
    /// Usage and shares of the account at the decision; none of a retry on another server.
    pub share: Option<AccountShare>,
    /// What limits left of the servers that could run the request; none if no server is limited.
    pub limits: Option<LimitCounts>,
    /// Short id of the server's incarnation.
    short_id: ShortId,
    pool: PoolId,
    first_event_at: Option<Mono>,
    /// Expected number of events of the stream; zero for pools that are not cost-aware.
    expected_steps: u64,
    /// Events that have arrived.
    events: u64,
    /// Whether the run has lasted for [`SURVIVAL_TIME`](crate::poison::SURVIVAL_TIME).
    survived: bool,
}

/// Outcome of an attempt to run a request on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AttemptOutcome {
    /// The caller got its response.
    #[display("good")]
    Good,
    /// The server answered that it did not run the request.
    #[display("not_run")]
    NotRun,
    /// The server answered with a failure.
    #[display("failed")]
    Failed,
    /// The connection broke when the request may already have been sent, before or within the
    /// answer.
    #[display("broken")]
    Broken,
    /// No connection could be made, the server was silent for too long, or it answered that the
    /// request was meant for another server.
    #[display("unreachable")]
    Unreachable,
    /// The caller left, or the deadline passed.
    #[display("given_up")]
    GivenUp,
}

/// Reason for the refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// The pool has no server that can be used.
    #[display("no_server")]
    NoServer,
    /// It is not known which build began the stream.
    #[display("unknown_build")]
    UnknownBuild,
    /// The platform's list cannot be read to see whether another build may have begun the stream.
    #[display("builds_unchecked")]
    BuildsUnchecked,
    /// No usable server runs the build that began the stream.
    #[display("no_server_of_build")]
    NoServerOfBuild,
    /// The request would wait too long.
    #[display("overload")]
    Overload,
    /// The request would wait too long for an account that is over its fair share.
    #[display("over_share")]
    OverShare,
    /// The servers that could run the request said that they want none for now.
    #[display("declined")]
    Declined,
    /// All servers that could run the request are in evacuated zones.
    #[display("zone_evacuated")]
    ZoneEvacuated,
    /// No server has enough memory and a free slot.
    #[display("no_room")]
    NoRoom,
    /// All servers get as many requests as the limits allow that they named.
    #[display("server_limits")]
    ServerLimits,
    /// The request crashed the servers that ran it.
    #[display("crashes_servers")]
    CrashesServers,
    /// The request may not be retried on another server.
    #[display("retry_budget")]
    RetryBudget,
}

/// Refusal of a request, which has not run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry is likely to be admitted.
    pub retry_after: Duration,
    /// Predicted wait; zero if the reason is not a wait.
    pub predicted: Duration,
    /// Longest wait that would have been admitted; zero if the reason is not a wait.
    pub allowed: Duration,
    /// Usage and shares of the account at the decision; none if they did not matter.
    pub share: Option<AccountShare>,
    /// What limits left of the servers that could run the request; none if no server is limited.
    pub limits: Option<LimitCounts>,
}

/// Decision on a request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Send the request to a server.
    Send(Placement),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Another gateway, and its latest digest.
#[derive(Debug)]
struct Peer {
    ip: IpAddr,
    last_received: Mono,
    digest: Digest,
}

/// Measurements and retry budget of a pool.
#[derive(Debug)]
struct PoolState {
    prefill: PrefillModel,
    /// Smoothed time of a plain call.
    call_time: Duration,
    budget: Budget,
    /// Requests of this gateway over [`ARRIVAL_WINDOW`](limits::ARRIVAL_WINDOW).
    arrivals: Window,
}

/// What one gateway knows of the tables, the servers and the other gateways.
#[derive(Debug)]
pub struct Fleet {
    config: FleetConfig,
    catalog: Option<Arc<Catalog>>,
    servers: Servers,
    list_version: u64,
    /// List version of the last known join or removal of a server.
    members_version: u64,
    /// List version up to which no server has joined, as a relay published it.
    joins_version: u64,
    /// Time since which the list of servers cannot be read.
    list_unreadable_since: Option<Mono>,
    pools: HashMap<PoolId, PoolState>,
    prefix_cache: PrefixCache,
    demand: Demand,
    crashes: CrashTracker,
    poison: PoisonTracker,
    limits: ServerLimits,
    quorum: ZoneQuorum,
    /// Servers to probe, since they are cold if they crashed.
    cold_probes: Vec<Probe>,
    origins: StreamOrigins,
    evacuations: Evacuations,
    cost: CostState,
    peers: HashMap<Incarnation, Peer>,
    /// Addresses at which there may be a gateway, with the time at which each was first mentioned in
    /// a digest, was last configured or listed by the platform, or last sent a digest.
    contacts: HashMap<IpAddr, Mono>,
    /// Loads and answers of servers, summed over the digests of the other gateways.
    peer_sums: HashMap<ShortId, (Load, AnswerCounts)>,
    seq: u64,
    /// Whether this gateway refuses requests because it does not keep up.
    overloaded: bool,
    /// Part in the exchange of digests.
    role: Role,
    /// Gateways that were heard of.
    known: HashMap<IpAddr, KnownGateway>,
    /// Demand that this gateway publishes, and its level as the relay of the zone passes it on.
    own_demand: OwnDemand,
    returned_demand: DemandLevel,
    /// Relay whose sums count, for each other zone.
    zone_writers: BTreeMap<ShortId, Incarnation>,
    /// Number of gateways among which the retry slack is divided.
    slack_sharers: u32,
}

impl Fleet {
    /// Creates the state of a gateway that knows no tables, servers or other gateways yet.
    pub fn new(config: FleetConfig) -> Self {
        Self {
            demand: Demand::new(config.incarnation),
            config,
            catalog: None,
            servers: Servers::default(),
            list_version: 0,
            members_version: 0,
            joins_version: 0,
            list_unreadable_since: None,
            pools: HashMap::new(),
            prefix_cache: PrefixCache::default(),
            crashes: CrashTracker::default(),
            poison: PoisonTracker::default(),
            limits: ServerLimits::default(),
            quorum: ZoneQuorum::default(),
            cold_probes: Vec::new(),
            origins: StreamOrigins::default(),
            evacuations: Evacuations::default(),
            cost: CostState::default(),
            peers: HashMap::new(),
            contacts: HashMap::new(),
            peer_sums: HashMap::new(),
            seq: 0,
            overloaded: false,
            role: Role::default(),
            known: HashMap::new(),
            own_demand: OwnDemand::default(),
            returned_demand: 0,
            zone_writers: BTreeMap::new(),
            slack_sharers: gossip::INITIAL_SHARERS,
        }
    }

    /// Returns the tables in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.clone()
    }

    /// Whether requests can be served, that is, tables and servers are known.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_some() && !self.servers.is_empty()
    }

    /// Returns the version of the list of servers.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns the number of gateways with a recent digest, including this one.
    pub fn gateway_count(&self) -> usize {
        let counted = self.peers.values().filter(|peer| self.counts(&peer.digest));
        let gateways = counted.map(|peer| peer.digest.relay.gateways.max(1));
        gateways.sum::<u32>() as usize + 1
    }

    fn pool(&mut self, pool: &str) -> &mut PoolState {
        let (config, slack_sharers) = (&self.config, self.slack_sharers);
        self.pools
            .entry(pool.to_owned())
            .or_insert_with(|| PoolState {
                prefill: PrefillModel::default(),
                call_time: placement::INITIAL_CALL_TIME,
                budget: Budget::new(config.budget_bounds(slack_sharers)),
                arrivals: Window::new(limits::ARRIVAL_WINDOW),
            })
    }
}
