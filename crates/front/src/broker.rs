//! The border between the front and the rest of the router.
//!
//! The front owns sockets; everything it may not decide alone (tables in force, slots, claims,
//! retries) it asks of a [`Broker`]. Answers come back as [`Told`] into the request's [`Inbox`].
//! The router's daemon implements the trait over the bounded rings of its threads; a test puts a
//! small fake behind it.

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

/// Where a request receives what the broker tells it; bounded.
pub type Inbox = mpsc::Sender<Told>;

/// What the broker tells a request.
#[derive(Debug, Clone)]
pub enum Told {
    /// An event of the request's lifecycle.
    Event(Event),
    /// The key's claim is done; this is the answer that was stored with it.
    Stored(StoredAnswer),
}

/// An answer as it is stored with a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type; empty if the server named none.
    pub content_type: String,
    /// Whole body; `None` if it was too large to be stored.
    pub body: Option<Bytes>,
}

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The attempt that is to start.
    pub attempt: AttemptId,
    /// Client account.
    pub account: AccountId,
    /// Route.
    pub route: RouteId,
    /// Pool.
    pub pool: PoolId,
    /// Units of service that the caller's own bounds suggest; a hint.
    pub hint: Option<Service>,
    /// Units of service that the route's row states.
    pub cost: Service,
    /// Fingerprint of account, route and body.
    pub fingerprint: Fingerprint,
    /// Whether it must run apart from others.
    pub suspect: bool,
    /// Hashes of the input's growing prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Bytes of the body that wait with it.
    pub bytes: usize,
    /// Time that is left until the route's deadline.
    pub left: Duration,
    /// Servers on which earlier attempts failed.
    pub avoid: Vec<ServerId>,
}

/// How an attempt ended, with what was measured.
#[derive(Debug, Clone)]
pub struct Report {
    /// The attempt.
    pub attempt: AttemptId,
    /// Pool that it ran in.
    pub pool: PoolId,
    /// Server that it was granted.
    pub server: ServerId,
    /// Client account.
    pub account: AccountId,
    /// Route.
    pub route: RouteId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// How it ended.
    pub result: AttemptResult,
    /// Whether the server's process was seen to be gone right after the attempt broke.
    pub server_down: bool,
    /// Tokens used, as far as known.
    pub tokens: Tokens,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub inter_token: Option<Duration>,
    /// Times between tokens, each with how often it was seen.
    pub token_gaps: Vec<TokenGap>,
}

/// A time between two tokens, in steps of 100 microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenGap {
    /// The time.
    pub time: Duration,
    /// How often it was seen.
    pub count: u64,
}

/// How a request ended for its caller, for the sums of the day.
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
    /// Whether the route allows repeated runs.
    pub idempotent: bool,
    /// What the caller was told.
    pub outcome: Outcome,
    /// Error code; `None` for a whole answer.
    pub code: Option<ErrorCode>,
    /// Whether the caller had closed the connection.
    pub caller_gone: bool,
    /// Time from arrival to the first part of the answer.
    pub first_part: Option<Duration>,
    /// Time from arrival to the end.
    pub took: Duration,
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimName {
    /// Client account that sent the key.
    pub account: AccountId,
    /// The key.
    pub key: IdempotencyKey,
    /// Request that holds or asks for the claim.
    pub request: RequestId,
    /// Digest of the body.
    pub body: BodyDigest,
}

/// What the front asks of the rest of the router.
#[derive(Debug)]
pub enum Ask {
    /// Wait for a slot.
    Enqueue {
        /// What waits.
        waiting: Waiting,
        /// Where the grant goes.
        inbox: Inbox,
    },
    /// Stop waiting.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
        /// Pool in which it waits.
        pool: PoolId,
    },
    /// Tokens generated so far.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Pool in which it runs.
        pool: PoolId,
        /// Tokens so far.
        tokens: Tokens,
    },
    /// An attempt ended.
    Report(Report),
    /// Claim an idempotency key.
    Claim {
        /// The claim.
        name: ClaimName,
        /// Where the answer goes.
        inbox: Inbox,
    },
    /// Give a claim back; the request has not run.
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
        /// Its answer, if it is done.
        answer: Option<StoredAnswer>,
    },
    /// May the request be tried again?
    Retry {
        /// The attempt that failed.
        attempt: AttemptId,
        /// Pool in which it ran.
        pool: PoolId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// How it failed.
        stage: FailureStage,
        /// Where the answer goes.
        inbox: Inbox,
    },
    /// A request ended for its caller.
    Ended(Ended),
}

/// The ring towards the thread in charge is full; the ask comes back.
#[derive(Debug, Snafu)]
#[snafu(display("the router's decision queue is full; retry later"))]
pub struct Overloaded {
    /// What was asked.
    pub ask: Box<Ask>,
}

/// What is known of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// It ran on a server that went down; it may only run apart from others.
    Suspect,
    /// It is refused until this much time has passed.
    Refused(Duration),
}

/// The rest of the router, as the front sees it. No method blocks.
pub trait Broker: Send + Sync {
    /// The tables in force.
    fn table(&self) -> Arc<Table>;

    /// The client account that a bearer key belongs to.
    fn account(&self, bearer: &str) -> Option<AccountId>;

    /// Whether the balancer may send new requests here.
    fn ready(&self) -> bool;

    /// What is known of a fingerprint.
    fn standing(&self, fingerprint: Fingerprint) -> Standing;

    /// Hears that a request was refused before its life began, for the sums of the day.
    fn refused(&self, _code: ErrorCode) {}

    /// Hands an ask to the thread whose duty it is.
    fn ask(&self, ask: Ask) -> Result<(), Overloaded>;
}
