//! Events that a router counts for the daily report.
//!
//! The daemon records each [`Observation`] as it happens. Exactly one router counts each of them:
//! the router that holds the caller's connection counts requests, the dispatcher of the zone and
//! pool counts slots and queues.

use std::time::Duration;
use std::time::SystemTime;

use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::Generation;
use primrose_core::id::PoolId;
use primrose_core::id::ZoneId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;
use serde::Deserialize;
use serde::Serialize;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The caller received the complete answer.
    Whole,
    /// The caller received a part of the answer, followed by an error.
    Broken,
    /// The caller disconnected before the end.
    Abandoned,
}

/// Unreachable component.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// The platform's key-value service.
    #[display("the key-value service")]
    Platform,
    /// All routers of another availability zone.
    #[display("zone {_0}")]
    Zone(ZoneId),
}

/// Number of tokens that followed the previous token after the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenGap {
    /// Time since the previous token.
    pub time: Duration,
    /// Number of tokens.
    pub count: u64,
}

/// Event that a router counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// The router ran and counted for this long since the previous `Alive`.
    Alive {
        /// Time covered.
        span: Duration,
    },
    /// Service was charged to an account.
    Served {
        /// Pool.
        pool: PoolId,
        /// Account.
        account: AccountId,
        /// Service charged.
        service: Service,
    },
    /// The first token of an answer was sent to the caller.
    FirstToken {
        /// Pool.
        pool: PoolId,
        /// Time since the request arrived.
        time: Duration,
    },
    /// A further token of an answer was sent to the caller.
    InterToken {
        /// Pool.
        pool: PoolId,
        /// Time since the previous token.
        time: Duration,
    },
    /// Further tokens of an answer were sent to the caller.
    InterTokens {
        /// Pool.
        pool: PoolId,
        /// Times since the previous token, with the number of tokens for each.
        gaps: Vec<TokenGap>,
    },
    /// An answer that had started ended.
    Answer {
        /// Pool.
        pool: PoolId,
        /// How it ended.
        ending: Ending,
    },
    /// The outcome of a non-idempotent request was reported to its caller.
    Order {
        /// Pool.
        pool: PoolId,
        /// Reported outcome.
        outcome: Outcome,
    },
    /// A non-idempotent request was found to have run twice.
    DuplicateRun {
        /// Pool.
        pool: PoolId,
    },
    /// A request was refused.
    Refused {
        /// Error code sent to the caller.
        code: ErrorCode,
    },
    /// A backend server was lost while it ran a request that is now refused as poison.
    LostToPoison {
        /// Pool.
        pool: PoolId,
    },
    /// A request was refused as poison for the first time.
    Poison {
        /// Pool.
        pool: PoolId,
    },
    /// A server was given new work although it had been draining for longer than allowed.
    AfterLeaving {
        /// Pool.
        pool: PoolId,
    },
    /// A shutdown cut off requests in flight.
    Cut {
        /// Number of requests cut off.
        requests: u64,
    },
    /// A generation of the tables took effect at this router.
    InForce {
        /// Generation that took effect.
        generation: Generation,
        /// Time since it was accepted, if known to the router.
        lag: Option<Duration>,
    },
    /// Control messages were sent to or received from other routers and the platform.
    Control {
        /// Bytes in both directions.
        bytes: u64,
        /// Messages in both directions.
        messages: u64,
    },
    /// A dispatcher's view of a pool in its zone over a period of time.
    Slots {
        /// Pool.
        pool: PoolId,
        /// Time during which the values held.
        span: Duration,
        /// Slots of all servers.
        slots: u64,
        /// Slots in use.
        busy: u64,
        /// Waiting requests.
        waiting: u64,
    },
    /// The dispatcher compared the service of backlogged accounts over the whole fleet.
    Gap {
        /// Pool.
        pool: PoolId,
        /// Account with the most service relative to its weight.
        ahead: AccountId,
        /// Account with the least service relative to its weight.
        behind: AccountId,
        /// Difference of their service, each divided by its weight.
        gap: Service,
    },
    /// Observations were dropped because a queue was full.
    Lost {
        /// Number of observations dropped.
        observations: u64,
    },
    /// A component is unreachable; sent repeatedly with the same beginning while the outage lasts.
    Outage {
        /// Unreachable component.
        outage: Outage,
        /// When it began.
        began: SystemTime,
        /// How long it has lasted.
        span: Duration,
    },
}
