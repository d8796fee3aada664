//! What a router sees during the day and counts.
//!
//! The daemon hands these in as they happen. Each is counted by exactly one router: what belongs to
//! a request by the router that holds the caller's connection, what belongs to slots and queues by
//! the dispatcher of the zone and pool.

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
    /// The caller got the whole answer.
    Whole,
    /// The caller got a part and a clear error.
    Broken,
    /// The caller went away first.
    Abandoned,
}

/// What could not be reached.
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

/// A time between two tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenGap {
    /// The time.
    pub time: Duration,
    /// How often it was seen.
    pub count: u64,
}

/// One thing that a router saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// The router ran and counted for this long, since the last of these.
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
        /// Amount.
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
        /// Time since the token before.
        time: Duration,
    },
    /// Further tokens of an answer were sent to the caller.
    InterTokens {
        /// Pool.
        pool: PoolId,
        /// Times since the token before, each with how often it was seen.
        gaps: Vec<TokenGap>,
    },
    /// An answer that had begun came to its end.
    Answer {
        /// Pool.
        pool: PoolId,
        /// How.
        ending: Ending,
    },
    /// The caller of a non-idempotent request was told its outcome.
    Order {
        /// Pool.
        pool: PoolId,
        /// What it was told.
        outcome: Outcome,
    },
    /// A non-idempotent request was found to have run twice.
    DuplicateRun {
        /// Pool.
        pool: PoolId,
    },
    /// A request was refused.
    Refused {
        /// Cause.
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
    /// A server got new work although it had been leaving for longer than allowed.
    AfterLeaving {
        /// Pool.
        pool: PoolId,
    },
    /// A shutdown cut off requests in flight.
    Cut {
        /// How many.
        requests: u64,
    },
    /// A generation of the tables came into force at this router.
    InForce {
        /// The generation.
        generation: Generation,
        /// Time since it was accepted, as far as the router can tell.
        lag: Option<Duration>,
    },
    /// Control messages were sent to or received from other routers and the platform.
    Control {
        /// Bytes in both directions.
        bytes: u64,
        /// Messages in both directions.
        messages: u64,
    },
    /// The dispatcher's view of a pool in its zone over some time.
    Slots {
        /// Pool.
        pool: PoolId,
        /// How long it was like this.
        span: Duration,
        /// Slots of the servers.
        slots: u64,
        /// Slots that were taken.
        busy: u64,
        /// Requests that waited.
        waiting: u64,
    },
    /// The dispatcher compared the service of backlogged accounts over the fleet.
    Gap {
        /// Pool.
        pool: PoolId,
        /// Account that got most for its weight.
        ahead: AccountId,
        /// Account that got least for its weight.
        behind: AccountId,
        /// Difference of their service, each divided by its weight.
        gap: Service,
    },
    /// Observations found no room and were not counted.
    Lost {
        /// How many.
        observations: u64,
    },
    /// Something could not be reached; told again, with the same beginning, while it lasts.
    Outage {
        /// What.
        outage: Outage,
        /// When it began.
        began: SystemTime,
        /// How long it has lasted.
        span: Duration,
    },
}
