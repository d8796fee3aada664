//! What happens to a request.
//!
//! Every event of an attempt names its connection, so that what arrives late from a connection
//! that was given up is told apart and dropped.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;

/// Number of one event of a streamed answer, or of one block of a whole answer; counts from 1
/// without gaps.
pub type Seq = u64;

/// One connection of an attempt; a resumed stream is a further connection of the same attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
#[display("{attempt}/{number}")]
pub struct ConnId {
    /// The attempt.
    pub attempt: AttemptId,
    /// Counts the connections of the attempt from 1.
    pub number: u32,
}

/// A slot that the dispatcher gave to an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The attempt that may start.
    pub attempt: AttemptId,
    /// Backend server with the free slot.
    pub server: ServerId,
    /// Where the server listens.
    pub addr: SocketAddr,
    /// Monotonic time of this router until which the attempt may start.
    pub valid_until: Mono,
}

/// What the claims desk answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// This request holds the claim.
    Made,
    /// An earlier request with the key ran to its end; its answer is at hand.
    Done,
    /// An earlier request with the key is under way.
    Busy,
    /// It is not known whether an earlier request with the key ran.
    Unknown,
    /// The key was closed without a run.
    NotRun,
    /// The key was used with another body.
    Conflict,
    /// The claim could not be recorded.
    Unavailable {
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailureStage {
    /// It is certain that no byte of the request left for the server.
    BeforeSend,
    /// The server said that it refused the request before running it.
    RefusedNotRun,
    /// The request may have run: the connection broke, or the answer made no sense.
    AfterSend,
}

/// What happens on one connection to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnEvent {
    /// The connection is open; no byte of the request has left.
    Connected,
    /// The server answered with a status line and headers.
    Head {
        /// HTTP status.
        status: u16,
    },
    /// One event of a stream, or one block of a whole answer.
    Item {
        /// Its number.
        seq: Seq,
    },
    /// The held blocks of a whole answer reached the limit; the rest must flow through.
    HoldLimit,
    /// The answer ended as its protocol says it ends, not by a broken connection.
    BodyEnd,
    /// The connection failed.
    Failed(FailureStage),
    /// The server goes on with the stream after the event that was asked for.
    Resumed,
    /// The server no longer holds the stream.
    ResumeRefused,
    /// The server is known to be gone.
    ServerLost,
}

/// Answer of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// A further attempt may be queued.
    Allowed {
        /// How long to wait first.
        delay: Duration,
        /// Whether the request must now run apart from others.
        suspect: bool,
    },
    /// The budget is used up.
    Denied,
    /// The request's fingerprint is refused, because it crashed servers.
    Poisoned {
        /// When the refusal ends.
        retry_after: Duration,
    },
}

/// Something that happened to the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The request has been read whole and admitted.
    Start,
    /// The claims desk answered.
    Claim(ClaimReply),
    /// The dispatcher granted a slot.
    Granted(Grant),
    /// The queue refused the attempt.
    QueueRefused {
        /// The attempt that was to wait.
        attempt: AttemptId,
        /// Why it was refused.
        code: ErrorCode,
        /// When the caller may try again.
        retry_after: Option<Duration>,
    },
    /// Something happened on a connection.
    Conn {
        /// Which connection.
        conn: ConnId,
        /// What happened.
        event: ConnEvent,
    },
    /// The retry budget answered.
    Retry(RetryDecision),
    /// The caller closed the connection.
    CallerDisconnected,
    /// The route's deadline passed.
    Deadline,
    /// The pool's longest run passed since the attempt was opened.
    RunLimit,
    /// The router ends now; what is in flight is cut off.
    Shutdown,
}
