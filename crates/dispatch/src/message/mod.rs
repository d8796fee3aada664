//! Messages between requesters and dispatchers.
//!
//! Every message is about one pool. Field names are one letter on the wire, because the encoding
//! names fields and control traffic has a budget. All of them may be lost, doubled, late or out of
//! order: a message either states a level (everything that waits, everything that runs) or names the
//! one attempt or loan it is about.

mod compact;
mod zone;

use std::time::Duration;

use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::AttemptId;
use primrose_core::id::PoolId;
use primrose_core::id::RequestId;
use primrose_core::id::RouteId;
use primrose_core::id::ServerId;
use serde::Deserialize;
use serde::Serialize;

pub use zone::Borrowed;
pub use zone::Demand;
pub use zone::Digest;
pub use zone::Loan;
pub use zone::LoanId;
pub use zone::LoanReturn;
pub use zone::Loans;
pub use zone::Snapshot;
pub use zone::Wait;
pub use zone::Want;

/// Number that a requester's renewals count up.
pub type RenewalNumber = u64;
/// Number that a dispatcher's grants and loans count up.
pub type Sequence = u64;
/// Random number of one dispatcher's life.
pub type Epoch = u32;
/// Hash of a prompt's beginning, up to a block border.
pub type PrefixHash = u32;
/// Time in milliseconds.
pub type Millis = u32;

/// Converts a duration to the unit on the wire; saturates.
pub fn millis(time: Duration) -> Millis {
    Millis::try_from(time.as_millis()).unwrap_or(Millis::MAX)
}

/// One message between two routers about one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Pool that the message is about.
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// What is said.
    #[serde(rename = "b")]
    pub body: Body,
}

/// The state machine at the receiving router that a message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient {
    /// The router's [`Requester`](crate::requester::Requester).
    Requester,
    /// The pool's [`Dispatcher`](crate::dispatcher::Dispatcher), if the router has one.
    Dispatcher,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Requester to dispatcher: one more request waits.
    #[serde(rename = "r")]
    Register(Registration),
    /// Requester to dispatcher: everything that waits and runs.
    #[serde(rename = "s")]
    Sync(Sync),
    /// Requester to dispatcher: checksums of what waits and runs, and progress.
    #[serde(rename = "n")]
    Renew(Renew),
    /// Requester to dispatcher: a grant is not used.
    #[serde(rename = "d")]
    Decline(Decline),
    /// Requester to dispatcher: a request waits no longer.
    #[serde(rename = "w")]
    Withdraw(Withdraw),
    /// Requester to dispatcher: an attempt ended.
    #[serde(rename = "f")]
    Finished(Finished),
    /// Dispatcher to requester: run this request on this server.
    #[serde(rename = "g")]
    Grant(Grant),
    /// Dispatcher to requester: send a [`Sync`].
    #[serde(rename = "y")]
    Resync,
    /// Dispatcher to another zone's dispatcher: I am new; send a snapshot.
    #[serde(rename = "j")]
    Join,
    /// Dispatcher to a new dispatcher: where the accounts stand.
    #[serde(rename = "o")]
    Snapshot(Snapshot),
    /// Dispatcher to another zone's dispatcher: service charged, who waits, and loans in use.
    #[serde(rename = "i")]
    Digest(Digest),
    /// Dispatcher to another zone's dispatcher: what waits without a slot.
    #[serde(rename = "m")]
    Demand(Demand),
    /// Dispatcher to another zone's dispatcher: one slot to use.
    #[serde(rename = "l")]
    Loan(Loan),
    /// Dispatcher to the lender: a slot is free again.
    #[serde(rename = "t")]
    LoanReturn(LoanReturn),
}

impl Body {
    /// Returns the state machine that the message is for.
    pub fn recipient(&self) -> Recipient {
        match self {
            Self::Grant(_) | Self::Resync => Recipient::Requester,
            _ => Recipient::Dispatcher,
        }
    }
}

/// A request that waits at a requester.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// Number that the next attempt will have.
    #[serde(rename = "n")]
    pub number: u32,
    /// Client account.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Route.
    #[serde(rename = "o")]
    pub route: RouteId,
    /// Estimated cost in units, by the caller's hint or the route.
    #[serde(rename = "c")]
    pub cost: Service,
    /// The request may crash its server: run it alone on the server set apart.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub suspect: bool,
    /// Hashes of the prompt's beginning, shortest first.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub prefixes: Vec<PrefixHash>,
    /// Time that the request has waited, if it is registered anew.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub waited: Millis,
    /// Time left until the deadline.
    #[serde(rename = "d")]
    pub left: Millis,
}

impl Registration {
    /// Returns the attempt that the next grant is for.
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.number,
        }
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// The latest grant or loan that was received from a dispatcher.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Life of the dispatcher.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Highest sequence number.
    #[serde(rename = "s")]
    pub sequence: Sequence,
}

/// Everything that waits and runs at a requester.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sync {
    /// Number of this renewal.
    #[serde(rename = "b")]
    pub beat: RenewalNumber,
    /// Latest grant received.
    #[serde(rename = "s")]
    pub seen: Seen,
    /// Requests that wait, oldest first.
    #[serde(rename = "w")]
    pub waiting: Vec<Registration>,
    /// Attempts that run.
    #[serde(rename = "r")]
    pub running: Vec<Running>,
}

/// An attempt that runs, in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The attempt.
    #[serde(rename = "i", with = "compact")]
    pub attempt: AttemptId,
    /// Client account.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Route.
    #[serde(rename = "o")]
    pub route: RouteId,
    /// Backend server.
    #[serde(rename = "v")]
    pub server: ServerId,
    /// Loan by which the server was got from another zone.
    #[serde(rename = "l")]
    pub loan: Option<LoanId>,
    /// Units charged when it was granted.
    #[serde(rename = "c")]
    pub charged: Service,
    /// Units used so far.
    #[serde(rename = "u")]
    pub used: Service,
    /// Runs alone on the server set apart.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub suspect: bool,
}

/// Checksums of what waits and runs, and progress that changes what is charged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// Number of this renewal.
    #[serde(rename = "b")]
    pub beat: RenewalNumber,
    /// Latest grant received.
    #[serde(rename = "s")]
    pub seen: Seen,
    /// Requests that wait.
    #[serde(rename = "w")]
    pub waiting: Checksum,
    /// Attempts that run.
    #[serde(rename = "r")]
    pub running: Checksum,
    /// Attempts that have used more than was charged.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<Progress>,
}

/// Number of attempts, and exclusive or of their ids.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checksum {
    /// Number.
    #[serde(rename = "n")]
    pub count: u32,
    /// Exclusive or.
    #[serde(rename = "k")]
    pub check: u64,
}

impl Checksum {
    /// Counts one more.
    pub fn add(&mut self, attempt: AttemptId) {
        self.count += 1;
        self.check ^= Self::mark(attempt);
    }

    /// Counts one less, which was added before.
    pub fn remove(&mut self, attempt: AttemptId) {
        self.count -= 1;
        self.check ^= Self::mark(attempt);
    }

    /// Request ids are random; rotation tells the attempts of one request apart.
    fn mark(attempt: AttemptId) -> u64 {
        attempt.request.rotate_left(attempt.number)
    }
}

impl FromIterator<AttemptId> for Checksum {
    fn from_iter<T: IntoIterator<Item = AttemptId>>(attempts: T) -> Self {
        let mut sum = Self::default();
        for attempt in attempts {
            sum.add(attempt);
        }
        sum
    }
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The attempt.
    #[serde(rename = "i", with = "compact")]
    pub attempt: AttemptId,
    /// Units used so far.
    #[serde(rename = "u")]
    pub used: Service,
}

/// A grant that is not used; the request waits on if its requester still has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decline {
    /// The attempt.
    #[serde(rename = "i", with = "compact")]
    pub attempt: AttemptId,
    /// Life of the dispatcher that granted.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// The grant.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// The request still waits.
    #[serde(rename = "w")]
    pub waits: bool,
}

/// A request that waits no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdraw {
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
}

/// How an attempt ended, as far as the choice of servers is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ending {
    /// The whole answer came.
    #[serde(rename = "d")]
    Done,
    /// The server answered with an error of its own.
    #[serde(rename = "e")]
    Failed,
    /// The server refused the request before running it.
    #[serde(rename = "r")]
    Refused,
    /// The server could not be reached, or went away during the request.
    #[serde(rename = "l")]
    Lost,
    /// The caller went away, or the deadline passed.
    #[serde(rename = "c")]
    Cancelled,
    /// Nothing was sent to the server.
    #[serde(rename = "n")]
    Unsent,
}

/// What is known about an attempt at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// The attempt.
    #[serde(rename = "i", with = "compact")]
    pub attempt: AttemptId,
    /// How it ended.
    #[serde(rename = "e")]
    pub ending: Ending,
    /// Units used.
    #[serde(rename = "u")]
    pub used: Service,
    /// Time to the first token, in milliseconds.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub first: Option<Millis>,
    /// Mean time between tokens, in microseconds.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub inter: Option<u32>,
}

/// Leave to run one request on one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Life of the dispatcher.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Counts the dispatcher's grants.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// Latest renewal that the dispatcher had from the requester; the lease counts from there.
    #[serde(rename = "b")]
    pub beat: RenewalNumber,
    /// The attempt.
    #[serde(rename = "i", with = "compact")]
    pub attempt: AttemptId,
    /// Backend server.
    #[serde(rename = "v")]
    pub server: ServerId,
    /// Loan by which the server was got from another zone.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub loan: Option<LoanId>,
    /// Units charged.
    #[serde(rename = "c")]
    pub charged: Service,
}
