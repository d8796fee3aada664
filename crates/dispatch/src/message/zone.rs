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

/// Where the accounts stand, for a dispatcher that is new.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Standings of all accounts known.
    #[serde(rename = "s")]
    pub standings: Vec<Standing>,
}

/// Service charged by a dispatcher, and the accounts that wait there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Counts the dispatcher's digests; an older one says nothing about who waits.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// How long the dispatcher has been counting.
    #[serde(rename = "g")]
    pub age: Millis,
    /// Counters that changed, and a few others.
    #[serde(rename = "r")]
    pub rows: Vec<Row>,
    /// Accounts that wait.
    #[serde(rename = "w")]
    pub waiting: Vec<Wait>,
    /// The zone has a server on which suspects could run.
    #[serde(rename = "h", default, skip_serializing_if = "is_false")]
    pub hosts: bool,
    /// The receiver's loans that are in use; nothing while the dispatcher is new and may not know.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub loans: Option<Loans>,
}

/// Requests of one account that wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Client account.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Requests.
    #[serde(rename = "n")]
    pub count: u32,
}

/// How long the oldest request of an account has waited in a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
    /// Client account.
    #[serde(rename = "a")]
    pub account: AccountId,
    /// Time that it has waited.
    #[serde(rename = "t")]
    pub waited: Millis,
}

/// What waits in a zone without a slot: a level, not a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Counts the dispatcher's demands; an older one is dropped.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// Latest loan received from the zone that is told.
    #[serde(rename = "l")]
    pub seen: Seen,
    /// The accounts with the least service that wait, the lowest first, and how many requests.
    #[serde(rename = "w")]
    pub wants: Vec<Want>,
    /// Suspect requests that wait, apart from the others.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub suspects: u32,
}

/// Id of a loan: the lender's epoch and sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LoanId {
    /// Life of the lending dispatcher.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Counts the lender's grants and loans.
    #[serde(rename = "s")]
    pub sequence: Sequence,
}

/// One slot of a server, lent to another zone for one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The loan.
    #[serde(rename = "i")]
    pub id: LoanId,
    /// The server.
    #[serde(rename = "v")]
    pub server: ServerId,
    /// Account whose oldest request is to run, if one waits; nothing for the best of all.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// The server is set apart: for one suspect, and for nothing else.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub suspect: bool,
}

/// A loan that is over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// The loan.
    #[serde(rename = "i")]
    pub id: LoanId,
    /// How the attempt ended; nothing if the slot was not used.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub finished: Option<Finished>,
    /// The router that used the slot is gone; the request may still run.
    #[serde(rename = "o", default, skip_serializing_if = "is_false")]
    pub orphaned: bool,
}

/// One loan that is in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Borrowed {
    /// The loan.
    #[serde(rename = "i")]
    pub id: LoanId,
    /// The server.
    #[serde(rename = "v")]
    pub server: ServerId,
}

/// All loans of one lender that are in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loans {
    /// Latest loan received.
    #[serde(rename = "s")]
    pub seen: Seen,
    /// Loans in use.
    #[serde(rename = "l")]
    pub loans: Vec<Borrowed>,
}
