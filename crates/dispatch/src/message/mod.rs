//! Messages between requesters and dispatchers.
//!
//! Every message concerns one pool. The encoding includes field names, so fields have one-letter
//! names on the wire to keep control traffic within its budget. Messages may be lost, duplicated,
//! delayed or reordered. Each therefore either carries full state (everything that waits,
//! everything that runs) or identifies the single attempt or loan that it concerns.

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

/// Sequence number of a requester's renewal.
pub type RenewalNumber = u64;
/// Sequence number of a dispatcher's message; grants and loans share one sequence.
pub type Sequence = u64;
/// Random number that identifies one incarnation of a dispatcher.
pub type Epoch = u32;
/// Hash of a prompt prefix that ends at a cache block boundary.
pub type PrefixHash = u32;
/// Time in milliseconds.
pub type Millis = u32;

/// Converts a duration to wire milliseconds, saturating.
pub fn millis(time: Duration) -> Millis {
    Millis::try_from(time.as_millis()).unwrap_or(Millis::MAX)
}

/// One message between two routers about one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Pool that the message concerns.
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// Content.
    #[serde(rename = "b")]
    pub body: Body,
}

/// State machine at the receiving router that a message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient {
    /// The router's [`Requester`](crate::requester::Requester).
    Requester,
    /// The pool's [`Dispatcher`](crate::dispatcher::Dispatcher), if the router has one.
    Dispatcher,
}

/// Content of a message, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Requester to dispatcher: registers a waiting request.
    #[serde(rename = "r")]
    Register(Registration),
    /// Requester to dispatcher: all running attempts and waiting requests, up to a maximum number.
    #[serde(rename = "s")]
    Sync(Sync),
    /// Requester to dispatcher: checksums of waiting requests and running attempts, and progress.
    #[serde(rename = "n")]
    Renew(Renew),
    /// Requester to dispatcher: declines a grant.
    #[serde(rename = "d")]
    Decline(Decline),
    /// Requester to dispatcher: a request no longer waits.
    #[serde(rename = "w")]
    Withdraw(Withdraw),
    /// Requester to dispatcher: an attempt ended.
    #[serde(rename = "f")]
    Finished(Finished),
    /// Dispatcher to requester: grants a request a slot on a server.
    #[serde(rename = "g")]
    Grant(Grant),
    /// Dispatcher to requester: requests a [`Sync`].
    #[serde(rename = "y")]
    Resync,
    /// New dispatcher to another zone's dispatcher: requests a snapshot.
    #[serde(rename = "j")]
    Join,
    /// Dispatcher to a new dispatcher in another zone: service of the accounts.
    #[serde(rename = "o")]
    Snapshot(Snapshot),
    /// Dispatcher to another zone's dispatcher: service charged, waiting accounts and loans in use.
    #[serde(rename = "i")]
    Digest(Digest),
    /// Dispatcher to another zone's dispatcher: requests that wait without a slot.
    #[serde(rename = "m")]
    Demand(Demand),
    /// Dispatcher to another zone's dispatcher: lends one slot.
    #[serde(rename = "l")]
    Loan(Loan),
    /// Dispatcher to the lender: returns a loan.
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

/// Waiting request that a requester registers with its dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// Number of the next attempt.
    #[serde(rename = "n")]
    pub number: u32,
    /// Client account.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Route.
    #[serde(rename = "o")]
    pub route: RouteId,
    /// Estimated cost in units, from the caller's hint or the route.
    #[serde(rename = "c")]
    pub cost: Service,
    /// Whether the request may crash its server and must run alone on the isolation server.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub suspect: bool,
    /// Hashes of the prompt's prefixes, shortest first.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub prefixes: Vec<PrefixHash>,
    /// Time that the request has waited so far; not zero if it is registered again.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub waited: Millis,
    /// Time left until the deadline.
    #[serde(rename = "d")]
    pub left: Millis,
}

impl Registration {
    /// Returns the id of the attempt that the next grant will start.
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

/// Acknowledges the latest grant or loan received from a dispatcher.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Epoch of the dispatcher.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Highest sequence number received.
    #[serde(rename = "s")]
    pub sequence: Sequence,
}

/// All running attempts of a requester and its waiting requests; waiting requests beyond a maximum
/// number follow as one [`Registration`] each.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sync {
    /// Sequence number of this renewal.
    #[serde(rename = "b")]
    pub beat: RenewalNumber,
    /// Latest grant received.
    #[serde(rename = "s")]
    pub seen: Seen,
    /// Waiting requests, oldest first.
    #[serde(rename = "w")]
    pub waiting: Vec<Registration>,
    /// Running attempts.
    #[serde(rename = "r")]
    pub running: Vec<Running>,
}

/// Full description of a running attempt.
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
    /// Loan that provided the slot, if another zone lent it.
    #[serde(rename = "l")]
    pub loan: Option<LoanId>,
    /// Units charged so far.
    #[serde(rename = "c")]
    pub charged: Service,
    /// Units used so far.
    #[serde(rename = "u")]
    pub used: Service,
    /// Whether the attempt runs alone on the isolation server.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub suspect: bool,
}

/// Checksums of a requester's waiting requests and running attempts, and progress beyond the
/// charge.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// Sequence number of this renewal.
    #[serde(rename = "b")]
    pub beat: RenewalNumber,
    /// Latest grant received.
    #[serde(rename = "s")]
    pub seen: Seen,
    /// Checksum of the waiting requests.
    #[serde(rename = "w")]
    pub waiting: Checksum,
    /// Running attempts.
    #[serde(rename = "r")]
    pub running: Checksum,
    /// Attempts that have used more than they were charged.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<Progress>,
}

/// Order-independent checksum of a set of attempts: their number, and the exclusive or of their
/// ids.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checksum {
    /// Number of attempts.
    #[serde(rename = "n")]
    pub count: u32,
    /// Exclusive or of the hashed ids.
    #[serde(rename = "k")]
    pub check: u64,
}

impl Checksum {
    /// Adds an attempt.
    pub fn add(&mut self, attempt: AttemptId) {
        self.count += 1;
        self.check ^= Self::mark(attempt);
    }

    /// Removes an attempt that was added before.
    pub fn remove(&mut self, attempt: AttemptId) {
        self.count -= 1;
        self.check ^= Self::mark(attempt);
    }

    /// Hashes an attempt id. Request ids are random already; the rotation distinguishes attempts of
    /// the same request.
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

/// Progress of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The attempt.
    #[serde(rename = "i", with = "compact")]
    pub attempt: AttemptId,
    /// Units used so far.
    #[serde(rename = "u")]
    pub used: Service,
}

/// Grant that a requester does not use; the request keeps waiting if the requester still has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decline {
    /// The attempt.
    #[serde(rename = "i", with = "compact")]
    pub attempt: AttemptId,
    /// Epoch of the dispatcher that granted.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Sequence number of the grant.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// Whether the request still waits.
    #[serde(rename = "w")]
    pub waits: bool,
}

/// Request that no longer waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdraw {
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
}

/// How an attempt ended, as far as it affects the server's limit and availability.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ending {
    /// The response was complete.
    #[serde(rename = "d")]
    Done,
    /// The server responded with an error.
    #[serde(rename = "e")]
    Failed,
    /// The server refused the request before running it.
    #[serde(rename = "r")]
    Refused,
    /// The server could not be reached, or was lost during the request.
    #[serde(rename = "l")]
    Lost,
    /// The caller disconnected, or the deadline passed.
    #[serde(rename = "c")]
    Cancelled,
    /// Nothing was sent to the server.
    #[serde(rename = "n")]
    Unsent,
}

/// Outcome and measurements of an ended attempt.
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

/// Leased permission to run one attempt on one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the dispatcher.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Sequence number of the grant.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// Latest renewal received from the requester; the lease starts when that renewal was sent.
    #[serde(rename = "b")]
    pub beat: RenewalNumber,
    /// The attempt.
    #[serde(rename = "i", with = "compact")]
    pub attempt: AttemptId,
    /// Backend server.
    #[serde(rename = "v")]
    pub server: ServerId,
    /// Loan that provided the slot, if another zone lent it.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub loan: Option<LoanId>,
    /// Units charged.
    #[serde(rename = "c")]
    pub charged: Service,
}
