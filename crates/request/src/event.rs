//! Events that drive the lifecycle of a request.
//!
//! Every event of an attempt names its connection, so that the lifecycle can drop late events of a
//! connection that is no longer in use.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;

/// Sequence number of an item of a response; counts from 1 without gaps.
///
/// An item is an event of a streamed response, or a block of a buffered one.
pub type Seq = u64;

/// Id of a connection of an attempt; resuming a stream opens a new connection of the same attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
#[display("{attempt}/{number}")]
pub struct ConnId {
    /// The attempt.
    pub attempt: AttemptId,
    /// Number of the connection within the attempt, from 1.
    pub number: u32,
}

/// Dispatcher's leased permission to run one attempt on one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The attempt that may start.
    pub attempt: AttemptId,
    /// Backend server with the free slot.
    pub server: ServerId,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Time until which the attempt may start, by this router's monotonic clock.
    pub valid_until: Mono,
}

/// Reply to the claim on the idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// This request holds the claim.
    Made,
    /// An earlier request with the key completed; its stored response is available.
    Done,
    /// An earlier request with the key is in progress.
    Busy,
    /// It is unknown whether an earlier request with the key ran.
    Unknown,
    /// The key was closed, and its request did not run.
    NotRun,
    /// The key was used with a different body.
    Conflict,
    /// The claim could not be recorded.
    Unavailable {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// Stage at which an attempt failed; determines whether the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailureStage {
    /// No byte of the request was sent to the server.
    BeforeSend,
    /// The server reported that it refused the request before running it.
    RefusedNotRun,
    /// The request may have run: the connection broke, or the response was malformed.
    AfterSend,
}

/// Event on one connection to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnEvent {
    /// The connection is open; no byte of the request has been sent.
    Connected,
    /// The status line and headers of the response arrived.
    Head {
        /// HTTP status.
        status: u16,
    },
    /// An event of a streamed response or a block of a buffered one arrived.
    Item {
        /// Number of the item.
        seq: Seq,
    },
    /// The held blocks of a buffered response reached the size limit; the rest must be forwarded as
    /// it arrives.
    HoldLimit,
    /// The response ended as its protocol prescribes, not by a broken connection.
    BodyEnd,
    /// The connection failed.
    Failed(FailureStage),
    /// The server resumed the stream at the requested position.
    Resumed,
    /// The server no longer holds the stream.
    ResumeRefused,
    /// The server is known to be lost.
    ServerLost,
}

/// Decision on a retry, from the retry budget and the register of suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt may be queued.
    Allowed {
        /// Delay before the attempt.
        delay: Duration,
        /// Whether the request must now run alone on the server reserved for suspects.
        suspect: bool,
    },
    /// The budget is used up.
    Denied,
    /// Requests with this fingerprint are refused, because they crashed servers.
    Poisoned {
        /// Time until the fingerprint is no longer refused.
        retry_after: Duration,
    },
}

/// Event that a router passes to the lifecycle of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The request has been read completely and admitted.
    Start,
    /// The reply to the claim arrived.
    Claim(ClaimReply),
    /// The dispatcher granted the attempt a slot.
    Granted(Grant),
    /// The queue refused the attempt.
    QueueRefused {
        /// The refused attempt.
        attempt: AttemptId,
        /// Reason for the refusal.
        code: ErrorCode,
        /// Delay after which the caller may retry.
        retry_after: Option<Duration>,
    },
    /// An event occurred on a connection to a backend server.
    Conn {
        /// The connection.
        conn: ConnId,
        /// The event.
        event: ConnEvent,
    },
    /// The decision on a retry arrived.
    Retry(RetryDecision),
    /// The caller closed the connection.
    CallerDisconnected,
    /// The route's deadline passed.
    Deadline,
    /// The pool's maximum run time has passed since the request was sent to the server.
    RunLimit,
    /// The router shuts down now; whatever is in flight is cut off.
    Shutdown,
}
