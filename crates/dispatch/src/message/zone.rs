//! Messages between the dispatchers of the same pool in different zones.

use primrose_core::id::AccountId;
use primrose_core::id::ServerId;
use primrose_share::Row;
use primrose_share::Standing;
use serde::Deserialize;
use serde::Serialize;

use super::is_false;
use super::is_zero;
use super::Epoch;
use super::Finished;
use super::Millis;
use super::Seen;
use super::Sequence;

/// Service of the accounts, for a new dispatcher to start from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Service of all known accounts.
    #[serde(rename = "s")]
    pub standings: Vec<Standing>,
}

/// Service charged by a dispatcher, and the accounts that wait at it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Sequence number of the digest; only the latest one determines which accounts wait.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// Time since the dispatcher began to count.
    #[serde(rename = "g")]
    pub age: Millis,
    /// Counters that changed, and a few unchanged ones.
    #[serde(rename = "r")]
    pub rows: Vec<Row>,
    /// Waiting accounts, not counting suspect requests.
    #[serde(rename = "w")]
    pub waiting: Vec<Wait>,
    /// Whether the zone has a server on which suspect requests could run.
    #[serde(rename = "h", default, skip_serializing_if = "is_false")]
    pub hosts: bool,
    /// Loans from the receiver that are in use; `None` while the dispatcher is too new to know
    /// them.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub loans: Option<Loans>,
}

/// Number of one account's requests that wait for a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Client account.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Number of requests.
    #[serde(rename = "n")]
    pub count: u32,
}

/// Waiting time of an account's oldest request in a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
    /// Client account.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Time that the request has waited.
    #[serde(rename = "t")]
    pub waited: Millis,
}

/// Requests that wait in a zone without a slot, as full state and not as a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Sequence number of the demand message; an older one is dropped.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// Latest loan received from the zone that this message is sent to.
    #[serde(rename = "l")]
    pub seen: Seen,
    /// Waiting accounts with the least service, least served first, and their numbers of requests.
    #[serde(rename = "w")]
    pub wants: Vec<Want>,
    /// Waiting suspect requests, which `wants` does not include.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub suspects: u32,
}

/// Id of a loan: the lending dispatcher's epoch and sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LoanId {
    /// Epoch of the lending dispatcher.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Sequence number among the lender's grants and loans.
    #[serde(rename = "s")]
    pub sequence: Sequence,
}

/// Slot of a server, lent to another zone for one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The loan.
    #[serde(rename = "i")]
    pub id: LoanId,
    /// The server.
    #[serde(rename = "v")]
    pub server: ServerId,
    /// Account whose oldest request is to run, if one waits; otherwise, or if `None`, the request
    /// that the borrower ranks first.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// Whether the slot is on the isolation server, to be used for a suspect request only.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub suspect: bool,
}

/// Notice that a loan has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// The loan.
    #[serde(rename = "i")]
    pub id: LoanId,
    /// How the attempt ended; `None` if the slot was not used or the ending is not known.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub finished: Option<Finished>,
    /// Whether the router that used the slot was lost, so that the request may still run.
    #[serde(rename = "o", default, skip_serializing_if = "is_false")]
    pub orphaned: bool,
}

/// Loan that is in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Borrowed {
    /// The loan.
    #[serde(rename = "i")]
    pub id: LoanId,
    /// The server.
    #[serde(rename = "v")]
    pub server: ServerId,
}

/// All loans from one lender that are in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loans {
    /// Latest loan received.
    #[serde(rename = "s")]
    pub seen: Seen,
    /// Loans in use.
    #[serde(rename = "l")]
    pub loans: Vec<Borrowed>,
}
