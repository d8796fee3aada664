//! Interface between the front and the rest of the router.
//!
//! The front owns the sockets. For everything that it can't decide alone (tables in force, slots,
//! claims, retries) it submits an [`Ask`] to a [`Broker`]. Replies arrive as [`BrokerReply`] in the
//! request's [`Inbox`]. The router daemon implements the trait over the bounded queues of its
//! threads; tests use a small fake.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use primrose_core::cost::Service;
use primrose_core::cost::Tokens;
use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AccountId;
use primrose_core::id::AttemptId;
use primrose_core::id::PoolId;
use primrose_core::id::RequestId;
use primrose_core::id::RouteId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;
use primrose_core::table::Table;
use primrose_request::spec::BodyDigest;
use primrose_request::AttemptResult;
use primrose_request::Event;
use primrose_request::FailureStage;
use primrose_request::IdempotencyKey;
use primrose_request::Settlement;
use snafu::Snafu;
use tokio::sync::mpsc;

/// Bounded channel through which a request receives the broker's replies.
pub type Inbox = mpsc::Sender<BrokerReply>;

/// A message from the broker to a request.
#[derive(Debug, Clone)]
pub enum BrokerReply {
    /// An event of the request's lifecycle.
    Event(Event),
    /// The answer stored with the claim of an idempotency key whose request has already finished.
    Stored(StoredAnswer),
}

/// An answer stored with a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type; empty if the server sent none.
    pub content_type: String,
    /// Complete body; `None` if it was too large to store.
    pub body: Option<Bytes>,
}

/// A request to be queued for a slot.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The attempt to start.
    pub attempt: AttemptId,
    /// Client account.
    pub account: AccountId,
    /// Route.
    pub route: RouteId,
    /// Pool.
    pub pool: PoolId,
    /// Estimate of the cost in units of service, from the caller's own limits.
    pub hint: Option<Service>,
    /// Cost in units of service configured for the route.
    pub cost: Service,
    /// Fingerprint of account, route and body.
    pub fingerprint: Fingerprint,
    /// Whether it must run isolated from other requests.
    pub suspect: bool,
    /// Hashes of the input's growing prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Bytes of body held in memory while it is queued.
    pub bytes: usize,
    /// Time left until the route's deadline.
    pub left: Duration,
    /// Servers on which earlier attempts failed.
    pub avoid: Vec<ServerId>,
}

/// Result and measurements of an attempt that ended.
#[derive(Debug, Clone)]
pub struct Report {
    /// The attempt.
    pub attempt: AttemptId,
    /// Pool in which it ran.
    pub pool: PoolId,
    /// Server on which it was granted a slot.
    pub server: ServerId,
    /// Client account.
    pub account: AccountId,
    /// Route.
    pub route: RouteId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// How it ended.
    pub result: AttemptResult,
    /// Whether the server's process was found to be down right after the attempt failed.
    pub server_down: bool,
    /// Tokens used, as far as is known.
    pub tokens: Tokens,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub inter_token: Option<Duration>,
    /// Histogram of the times between tokens.
    pub token_gaps: Vec<TokenGap>,
}

/// One bucket of the histogram of times between tokens, in steps of 100 microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenGap {
    /// Lower bound of the bucket.
    pub time: Duration,
    /// Number of gaps in the bucket.
    pub count: u64,
}

/// Result of a request as its caller saw it, for the daily totals.
#[derive(Debug, Clone)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// Client account.
    pub account: AccountId,
    /// Route.
    pub route: RouteId,
    /// Pool.
    pub pool: PoolId,
    /// Whether the route allows a request to run more than once.
    pub idempotent: bool,
    /// Outcome reported to the caller.
    pub outcome: Outcome,
    /// Error code; `None` for a complete answer.
    pub code: Option<ErrorCode>,
    /// Whether the caller had closed the connection.
    pub caller_gone: bool,
    /// Time from arrival to the first part of the answer.
    pub first_part: Option<Duration>,
    /// Time from arrival until the request ended.
    pub took: Duration,
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimName {
    /// Client account that sent the key.
    pub account: AccountId,
    /// The key.
    pub key: IdempotencyKey,
    /// Request that holds or requests the claim.
    pub request: RequestId,
    /// Digest of the body.
    pub body: BodyDigest,
}

/// A request from the front to the router's deciding thread or its claims thread.
///
/// The names of its values and fields, and of the types that they hold, appear in the log through
/// `Debug`.
#[derive(Debug)]
pub enum Ask {
    /// Queue an attempt for a slot.
    Enqueue {
        /// The request to queue.
        waiting: Waiting,
        /// Receives the grant.
        inbox: Inbox,
    },
    /// Remove an attempt from the queue.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
        /// Pool in which it is queued.
        pool: PoolId,
    },
    /// Report the tokens that a running attempt has used so far.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Pool in which it runs.
        pool: PoolId,
        /// Tokens used so far.
        tokens: Tokens,
    },
    /// Report that an attempt ended.
    Report(Report),
    /// Claim an idempotency key.
    Claim {
        /// The claim.
        name: ClaimName,
        /// Receives the reply.
        inbox: Inbox,
    },
    /// Release a claim whose request has not run.
    Release {
        /// The claim.
        name: ClaimName,
    },
    /// Record how a claimed request ended.
    Settle {
        /// The claim.
        name: ClaimName,
        /// How it ended.
        settlement: Settlement,
        /// Its answer, if it completed.
        answer: Option<StoredAnswer>,
    },
    /// Request a decision on whether the request may be retried.
    Retry {
        /// The attempt that failed.
        attempt: AttemptId,
        /// Pool in which it ran.
        pool: PoolId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// How it failed.
        stage: FailureStage,
        /// Receives the reply.
        inbox: Inbox,
    },
    /// Report that a request ended for its caller.
    Ended(Ended),
}

/// The queue of the thread responsible is full; returns the rejected [`Ask`].
#[derive(Debug, Snafu)]
#[snafu(display("the router's decision queue is full; retry later"))]
pub struct Overloaded {
    /// The rejected request.
    pub ask: Box<Ask>,
}

/// Whether requests with a fingerprint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintStatus {
    /// No server failure is attributed to it.
    Clear,
    /// It ran on a server that went down, so it may only run isolated from other requests.
    Suspect,
    /// It is refused for this much longer.
    Refused(Duration),
}

/// Access to the rest of the router. No method blocks.
pub trait Broker: Send + Sync {
    /// Returns the tables in force.
    fn table(&self) -> Arc<Table>;

    /// Returns the client account that a bearer key belongs to.
    fn account(&self, bearer: &str) -> Option<AccountId>;

    /// Returns whether the load balancer may send new requests here.
    fn ready(&self) -> bool;

    /// Returns whether requests with a fingerprint may run.
    fn fingerprint_status(&self, fingerprint: Fingerprint) -> FingerprintStatus;

    /// Records for the daily totals that a request was refused before its lifecycle began.
    fn refused(&self, _code: ErrorCode) {}

    /// Queues a request for the thread responsible for it.
    fn submit(&self, ask: Ask) -> Result<(), Overloaded>;
}
