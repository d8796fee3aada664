//! Requests to a claim writer and its replies.
//!
//! Both can be sent between routers: the claim writer of one router may write for a whole
//! availability zone, so that one commit carries the claims of many routers. Each [`ClaimRequest`]
//! names the client request that it is for, so sending it twice has no further effect.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use primrose_core::id::AccountId;
use primrose_core::id::Member;
use primrose_core::id::RequestId;

use crate::record::Answer;
use crate::record::BodyDigest;

/// What to write under an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAction {
    /// Claims the key for the request.
    Claim,
    /// Releases the claim: the request has not been sent and will not be.
    Release,
    /// Records that the request ran.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// The answer.
        answer: Answer,
    },
    /// Records that the request may have run.
    Unknown,
}

/// A request to a claim writer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Client request that the claim is for.
    pub request: RequestId,
    /// Router that received the client request.
    pub member: Member,
    /// Client account.
    pub account: AccountId,
    /// Idempotency key, as the caller sent it.
    pub key: String,
    /// Digest of the request body.
    pub body: BodyDigest,
    /// What to write.
    #[serde(rename = "wish")]
    pub action: ClaimAction,
}

/// Result of [`ClaimAction::Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The request holds the claim.
    Made,
    /// An earlier request with the key ran.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// The answer.
        answer: Answer,
    },
    /// An earlier request with the key is in progress.
    Busy,
    /// It is not known whether an earlier request with the key ran.
    Unknown,
    /// The key was closed without a run.
    NotRun,
    /// An earlier request used the key with another body.
    Conflict,
    /// The claim could not be recorded; the request must not be sent.
    Unavailable {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

/// Reply to a [`ClaimRequest`]; only [`ClaimAction::Claim`] is replied to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Client request that the claim is for.
    pub request: RequestId,
    /// Whether the claim was made, or why not.
    pub result: ClaimResult,
}
