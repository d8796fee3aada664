//! What the router has to do for a request.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;

use crate::event::ConnId;
use crate::event::FailureStage;
use crate::event::Seq;

/// How the claim on an idempotency key ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// The request ran; the answer that was held and forwarded is stored with the claim.
    Done {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The request may have run.
    Unknown,
}

/// A part of the answer to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerPart {
    /// Status line and headers of the current attempt.
    Head {
        /// HTTP status.
        status: u16,
    },
    /// The item that the event brought.
    Item {
        /// Its number.
        seq: Seq,
    },
    /// All held items, in order.
    Held,
    /// The answer that the claims desk found stored, with its own status.
    Stored,
}

/// Time without a word after which a server that runs an attempt counts as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// How an attempt ended, for the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// The grant was not used.
    Unused,
    /// The answer came to its end.
    Done,
    /// The server refused the request before running it.
    Refused,
    /// The server could not be reached; nothing was sent.
    Unreachable,
    /// The answer broke off, and the server still listens.
    Broken,
    /// The answer broke off, and the server no longer listens.
    ServerLost,
    /// The router gave the attempt up.
    Cancelled,
    /// The router gave the attempt up when the server had not spoken for [`SILENCE_TIMEOUT`]; it may
    /// yet run the request.
    Abandoned,
}

/// How the request ends for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalResult {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The error, unless the answer is whole or nobody listens any more.
    pub code: Option<ErrorCode>,
    /// When the caller may try again.
    pub retry_after: Option<Duration>,
    /// Whether a part of the answer has been forwarded, so that an error can only follow it as a
    /// terminal event.
    pub partial: bool,
}

/// Something that the router has to do, in the order of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Claim the idempotency key, then answer with [`Event::Claim`](crate::event::Event::Claim).
    Claim,
    /// Give the claim back: the request has not run and will not run under it.
    ReleaseClaim,
    /// Record how the claimed request ended.
    Settle(Settlement),
    /// Register the attempt with the dispatcher.
    Enqueue {
        /// The attempt.
        attempt: AttemptId,
        /// How long to wait first.
        delay: Duration,
        /// Whether it must run apart from others.
        suspect: bool,
        /// Servers on which earlier attempts failed.
        avoid: Vec<ServerId>,
    },
    /// Take the attempt back from the dispatcher.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Connect to the server, then answer with `Connected`; send nothing yet.
    Open {
        /// The connection to make.
        conn: ConnId,
        /// The server.
        server: ServerId,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Send the request on the open connection.
    Send {
        /// The connection.
        conn: ConnId,
    },
    /// Connect again and ask for the stream from after an event on.
    Resume {
        /// The connection to make.
        conn: ConnId,
        /// The server that began the stream.
        server: ServerId,
        /// Where it listens.
        addr: SocketAddr,
        /// Number of the last event that arrived; 0 for none.
        after: Seq,
        /// How long to wait first.
        delay: Duration,
    },
    /// Connect anew to see whether the server still listens, and send nothing; answer with
    /// `Connected` or `Failed`, in any case and within a bounded time.
    Probe {
        /// The connection to make.
        conn: ConnId,
        /// The server.
        server: ServerId,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Close the connection, but leave the run at the server alone.
    Disconnect {
        /// The connection.
        conn: ConnId,
    },
    /// Stop the run at the server and close the connection.
    Cancel {
        /// The connection.
        conn: ConnId,
    },
    /// Ask the retry budget and the register of suspects, then answer with
    /// [`Event::Retry`](crate::event::Event::Retry).
    RequestRetry {
        /// The attempt that failed.
        attempt: AttemptId,
        /// How it failed.
        stage: FailureStage,
    },
    /// Keep the item that the event brought; the caller gets it later or not at all.
    Hold {
        /// Its number.
        seq: Seq,
    },
    /// Throw away all held items; the attempt that brought them was given up.
    DropHeld,
    /// Pass a part of the answer to the caller.
    Forward(AnswerPart),
    /// Tell the dispatcher how a granted attempt ended.
    Report {
        /// The attempt.
        attempt: AttemptId,
        /// The server that it was granted.
        server: ServerId,
        /// How it ended.
        result: AttemptResult,
    },
    /// End the answer to the caller; comes exactly once.
    Finish(FinalResult),
}
