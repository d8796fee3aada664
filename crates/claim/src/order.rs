//! What routers ask of a claims desk, and what it answers.
//!
//! Orders and replies can travel between routers: the desk of one router may write for a whole
//! zone, so that one commit carries the claims of many. Each order names its request, and asking
//! twice changes nothing.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use primrose_core::id::AccountId;
use primrose_core::id::Member;
use primrose_core::id::RequestId;

use crate::record::Answer;
use crate::record::BodyDigest;

/// What is to be written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wish {
    /// Claim the key for the request.
    Claim,
    /// Give the claim back: the request has not been sent and will not be.
    Release,
    /// Record that the request ran.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// The answer.
        answer: Answer,
    },
    /// Record that the request may have run.
    Unknown,
}

/// An order to a claims desk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The request.
    pub request: RequestId,
    /// The router that took it.
    pub member: Member,
    /// The client account.
    pub account: AccountId,
    /// The idempotency key, as the caller wrote it.
    pub key: String,
    /// Digest of the request body.
    pub body: BodyDigest,
    /// What is to be written.
    pub wish: Wish,
}

/// Answer to a wish to claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The request holds the claim.
    Made,
    /// An earlier request with the key ran.
    Done {
        /// HTTP status of its answer.
        status: u16,
        /// Its answer.
        answer: Answer,
    },
    /// An earlier request with the key is under way.
    Busy,
    /// It is not known whether an earlier request with the key ran.
    Unknown,
    /// The key was closed without a run.
    NotRun,
    /// The key was used with another body.
    Conflict,
    /// The claim could not be recorded; the request must not be sent.
    Unavailable {
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// Reply to an order; only wishes to claim are answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The request.
    pub request: RequestId,
    /// What became of the claim.
    pub result: ClaimResult,
}
