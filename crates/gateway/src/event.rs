//! Log events of a gateway: one typed event for each decision about a request, and for each change
//! of the gateway's view of the fleet.

use primrose_fleet::demand::AccountShare;
use primrose_fleet::limit::LimitCounts;
use serde::Serialize;

/// Usage and shares of a client account at a decision.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ShareRecord {
    /// Tokens of the request.
    pub tokens: u64,
    /// Tokens of the account's requests over four seconds.
    pub asked: u64,
    /// Tokens of its requests that were sent to servers over four seconds.
    pub granted: u64,
    /// Tokens of its requests a second.
    pub asked_rate: u64,
    /// Fair shares in use, in thousandths.
    pub used_permille: u64,
    /// Position of the request in `asked_rate`, by which it is considered or not; none in a small fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub position: Option<u64>,
    /// Tokens a second of all accounts that servers begin to answer.
    pub begun_rate: u64,
    /// Tokens a second that accounts within their quota miss since servers are full.
    pub missed_rate: u64,
    /// Configured token rate.
    pub configured_rate: u64,
    /// Share of the configured token rate, in tokens a second.
    pub quota_rate: u64,
    /// Fair share of what servers process, in tokens a second.
    pub fair_rate: u64,
}

impl ShareRecord {
    /// Creates the record of a decision on a request of `tokens`.
    pub fn new(tokens: u64, share: AccountShare) -> Self {
        Self {
            tokens,
            asked: share.asked,
            granted: share.granted,
            asked_rate: share.asked_rate,
            used_permille: (share.used * 1_000.0) as u64,
            position: share.position,
            begun_rate: share.begun_rate,
            missed_rate: share.missed_rate,
            configured_rate: share.configured_rate,
            quota_rate: share.quota_rate,
            fair_rate: share.fair_rate,
        }
    }
}

/// What limits of servers left of those that could run a request, at a decision.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LimitRecord {
    /// Servers that could run the request.
    pub candidates: u32,
    /// Those that named a limit or are cold.
    pub limited: u32,
    /// Those of `limited` of whose limit this gateway may use a part.
    pub limits_shared: u32,
    /// Those of `candidates` that may be sent the request now.
    pub open: u32,
    /// Limits of `limited` together, in requests per 1,000 seconds.
    pub limits_milli: u64,
    /// What this gateway may use of `limits_milli`.
    pub own_limits_milli: u64,
}

impl From<LimitCounts> for LimitRecord {
    fn from(counts: LimitCounts) -> Self {
        Self {
            candidates: counts.candidates,
            limited: counts.limited,
            limits_shared: counts.shared,
            open: counts.open,
            limits_milli: counts.rate_milli,
            own_limits_milli: counts.own_rate_milli,
        }
    }
}

/// A log event, written as one JSON line. The names of variants and fields are part of the log
/// format.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process has started to serve.
    Started {
        /// Number of this start of the process, as in its digests.
        incarnation: u64,
        /// Availability zone of the gateway.
        zone: String,
    },
    /// A signal has requested a shutdown.
    Stopping {
        /// Requests in progress.
        running: usize,
    },
    /// The process exits.
    Stopped {
        /// Requests that were still in progress.
        cut: usize,
    },
    /// The settings were reread.
    Reloaded {
        /// Why the new settings were rejected; the old ones stay in force.
        error: Option<String>,
    },
    /// The gateway begins or ends to refuse a part of the new requests, since its thread wakes late.
    Shedding {
        /// `began` or `ended`.
        change: &'static str,
        /// Lateness of the last wake-up in milliseconds.
        late_ms: u64,
        /// Requests in progress.
        running: usize,
        /// Open connections of callers.
        callers: usize,
        /// Number of gateways of the availability zone, this one included.
        zone_gateways: usize,
        /// Number of other gateways of the availability zone that shed load.
        zone_overloaded: usize,
    },
    /// Limits on callers were reached since the last such line, of which there is at most one a second.
    CallersBounded {
        /// Bodies refused for lack of memory.
        bodies: u64,
        /// Bodies over the maximum size.
        too_long: u64,
        /// Connections closed since a head did not arrive in time.
        heads: u64,
        /// Connections closed since an answer was not taken in time.
        answers: u64,
        /// Connections closed since there were too many.
        connections: u64,
        /// Open connections of callers.
        callers: usize,
        /// Memory that is buffered for others, in bytes.
        used_bytes: usize,
        /// Memory above which large bodies are refused, in bytes.
        limit_bytes: usize,
    },
    /// Calls to a dependency keep failing.
    DependencyLost {
        /// Name of the dependency.
        dependency: String,
        /// Description of the last failure.
        reason: String,
    },
    /// The dependency responds again.
    DependencyRegained {
        /// Name of the dependency.
        dependency: String,
        /// How long it was lost, in milliseconds.
        lost_ms: u64,
    },
    /// The platform's store was restored from an older copy.
    StoreRestored {
        /// The feed whose list is read anew.
        feed: String,
        /// Era of the store.
        era: u64,
    },
    /// The origins of streams were read from the platform's store after the start.
    OriginsRead {
        /// Streams whose origins are known now.
        streams: usize,
        /// Calls that failed before.
        failures: u32,
    },
    /// New tables are in force.
    TablesInForce {
        /// Generation of the new tables.
        generation: u64,
        /// Generation of the tables before.
        before: u64,
        /// Source of the tables.
        source: String,
    },
    /// No more requests are sent to the servers of a zone.
    ZoneEvacuated {
        /// The zone, or its short id if its name is not known.
        zone: String,
        /// Number of known servers in the zone; zero may mean that the zone is misspelt.
        servers: usize,
        /// Source of the change.
        source: String,
    },
    /// The servers of a zone are used again.
    ZoneRestored {
        /// The zone, or its short id if its name is not known.
        zone: String,
        /// Number of known servers in the zone.
        servers: usize,
        /// Source of the change.
        source: String,
    },
    /// An entry of the platform's list cannot be decoded.
    EntryUnusable {
        /// Name of the entry.
        name: String,
        /// Why it cannot be decoded.
        reason: String,
    },
    /// A server joined, left or disappeared.
    Server {
        /// The server.
        server: String,
        /// What changed.
        change: &'static str,
        /// Version of its software, if the server is known.
        #[serde(skip_serializing_if = "Option::is_none")]
        version: Option<String>,
        /// Version of the server list that is known.
        list_version: u64,
        /// Source of the change.
        source: String,
    },
    /// A server is cold: it gets few requests until it is warm.
    ServerCold {
        /// The server.
        server: String,
        /// Expected time until it is warm, in milliseconds.
        left_ms: u64,
        /// How the gateway learned of it: `entry`, `answer`, `crash` or `gateway`.
        source: String,
    },
    /// Requests with a prompt part are refused from now on, since the part crashes servers.
    PartQuarantined {
        /// The part, as a hexadecimal id.
        part: String,
        /// Servers that crashed under it, as this gateway knows; zero if another gateway reported
        /// the part.
        deaths: usize,
        /// Time for which such requests are refused, in milliseconds.
        length_ms: u64,
    },
    /// A quarantine was ended, since the part did not crash the servers.
    PartReleased {
        /// The part, as a hexadecimal id.
        part: String,
    },
    /// The first server of a pool reports how long work takes there; requests for the pool are placed
    /// by cost from now on.
    CostAware {
        /// The pool.
        pool: String,
        /// The server.
        server: String,
    },
    /// A request was sent to a server.
    Sent {
        /// Id of the request.
        request: String,
        /// Client account of the caller.
        account: Option<String>,
        /// Route of the request.
        route: String,
        /// The selected server.
        server: String,
        /// Attempt of the caller that brought the first event of the stream, if it resumes one.
        #[serde(skip_serializing_if = "Option::is_none")]
        resumes: Option<String>,
        /// Number of servers that were tried before.
        tried: usize,
        /// Expected wait in milliseconds.
        predicted_ms: u64,
        /// Tokens queued at the server before the first event, including those of this request.
        waiting_tokens: u64,
        /// Generation of the tables behind the decision.
        generation: u64,
        /// Version of the server list behind the decision.
        list_version: u64,
        /// Number of gateways whose load was counted, including this one.
        fleet: usize,
        /// Usage and shares of the account; none without a prompt or a token rate.
        #[serde(flatten)]
        share: Option<ShareRecord>,
        /// What limits left of the servers that could run the request; none if no server is limited.
        #[serde(flatten)]
        limits: Option<LimitRecord>,
        /// Age of the sums of the other gateways in milliseconds; zero if they arrive without a relay.
        view_age_ms: u64,
    },
    /// A request was refused and has not run.
    Refused {
        /// Id of the request.
        request: String,
        /// Client account of the caller, if known.
        account: Option<String>,
        /// Route of the request, if known.
        route: Option<String>,
        /// Attempt of the caller that brought the first event of the stream, if it resumes one.
        #[serde(skip_serializing_if = "Option::is_none")]
        resumes: Option<String>,
        /// Status of the response.
        status: u16,
        /// Reason of the refusal.
        reason: String,
        /// Expected wait in milliseconds.
        predicted_ms: u64,
        /// Longest wait that would have been accepted, in milliseconds.
        allowed_ms: u64,
        /// Retry-After of the response in milliseconds.
        retry_after_ms: u64,
        /// Time from the arrival of the request's head to the refusal, in milliseconds.
        waited_ms: u64,
        /// Usage and shares of the account; none if they did not matter.
        #[serde(flatten)]
        share: Option<ShareRecord>,
        /// What limits left of the servers that could run the request; none if no server is limited.
        #[serde(flatten)]
        limits: Option<LimitRecord>,
        /// Age of the sums of the other gateways in milliseconds; zero if they arrive without a relay.
        view_age_ms: u64,
        /// Generation of the tables behind the decision.
        generation: u64,
        /// Version of the server list behind the decision.
        list_version: u64,
    },
    /// An attempt on a server failed.
    AttemptFailed {
        /// Id of the request.
        request: String,
        /// The server.
        server: String,
        /// Shared parts of the prompt, as hexadecimal ids.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        parts: Vec<String>,
        /// How the attempt ended.
        outcome: String,
        /// Description of the failure.
        reason: String,
        /// Whether the server may have run the request.
        may_have_run: bool,
        /// Whether another server is tried.
        next: &'static str,
        /// Duration of the attempt in milliseconds.
        took_ms: u64,
    },
    /// No server was found that resumes a stream.
    NotResumed {
        /// Id of the request.
        request: String,
        /// Reason of the refusal.
        reason: String,
        /// Expected wait in milliseconds.
        predicted_ms: u64,
        /// Longest wait that would have been accepted, in milliseconds.
        allowed_ms: u64,
    },
    /// A response ended.
    Answered {
        /// Id of the request.
        request: String,
        /// The last server, if it served the response.
        server: Option<String>,
        /// Status of the response.
        status: u16,
        /// How the response ended.
        outcome: &'static str,
        /// Number of failed attempts whose servers may have run the request.
        runs: u32,
        /// Time to the first event or the whole response, in milliseconds; zero if neither arrived.
        first_ms: u64,
        /// Time to the end of the response in milliseconds.
        whole_ms: u64,
    },
    /// Log lines were dropped.
    LinesDropped {
        /// Number of dropped lines.
        count: u64,
    },
}
