//! Actions that the lifecycle of a request returns to the router.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;

use crate::event::ConnId;
use crate::event::FailureStage;
use crate::event::Seq;

/// Outcome to record with the claim on an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// The request ran; its response, as held and forwarded, is stored with the claim.
    Done {
        /// HTTP status of the response.
        status: u16,
    },
    /// The request may have run.
    Unknown,
}

/// Part of the response to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponsePart {
    /// Status line and headers of the current attempt's response.
    Head {
        /// HTTP status.
        status: u16,
    },
    /// The item that arrived with the event just handled.
    Item {
        /// Number of the item.
        seq: Seq,
    },
    /// All held items, in the order of their arrival.
    Held,
    /// The complete response that was stored with the claim, including its status.
    Stored,
}

/// Time without an event on the connection after which a server that runs an attempt counts as
/// silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of an attempt, as reported to the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// The grant was not used.
    Unused,
    /// The response arrived completely.
    Done,
    /// The server refused the request before running it.
    Refused,
    /// The server could not be reached; nothing was sent.
    Unreachable,
    /// The response broke off, and the server still accepts connections.
    Broken,
    /// The response broke off, and the server no longer accepts connections.
    ServerLost,
    /// The router cancelled the attempt.
    Cancelled,
    /// The router cancelled the attempt after the server had been silent for
    /// [`SILENCE_TIMEOUT`]; the server may still run the request.
    Abandoned,
}

/// Final result of the request for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalResult {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Error code; none if the response is complete or the caller has disconnected.
    pub code: Option<ErrorCode>,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Whether part of the response has been forwarded, so that an error can only be sent as a
    /// terminal event.
    pub partial: bool,
}

/// Action for the router to carry out; a list of actions is carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Claim the idempotency key; the reply comes back as
    /// [`Event::Claim`](crate::event::Event::Claim).
    Claim,
    /// Release the claim; the request has not run and will not run under it.
    ReleaseClaim,
    /// Record the outcome of the claimed request.
    Settle(Settlement),
    /// Register the attempt with the dispatcher.
    Enqueue {
        /// The attempt.
        attempt: AttemptId,
        /// Delay before the registration.
        delay: Duration,
        /// Whether it must run alone on the server reserved for suspects.
        suspect: bool,
        /// Servers on which earlier attempts failed.
        avoid: Vec<ServerId>,
    },
    /// Withdraw the attempt from the dispatcher's queue.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Connect to the server without sending anything; success comes back as
    /// [`ConnEvent::Connected`](crate::event::ConnEvent::Connected).
    Open {
        /// The connection to make.
        conn: ConnId,
        /// The server.
        server: ServerId,
        /// Address of the server.
        addr: SocketAddr,
    },
    /// Send the request on the open connection.
    Send {
        /// The connection.
        conn: ConnId,
    },
    /// Reconnect to the server and request the rest of the stream.
    Resume {
        /// The connection to make.
        conn: ConnId,
        /// The server that started the stream.
        server: ServerId,
        /// Address of the server.
        addr: SocketAddr,
        /// Number of the last item that arrived; 0 for none. The stream continues after it.
        after: Seq,
        /// Delay before connecting.
        delay: Duration,
    },
    /// Open a new connection to check whether the server still accepts connections, and send
    /// nothing. The result must come back within a bounded time, as
    /// [`ConnEvent::Connected`](crate::event::ConnEvent::Connected) or
    /// [`ConnEvent::Failed`](crate::event::ConnEvent::Failed).
    Probe {
        /// The connection to make.
        conn: ConnId,
        /// The server.
        server: ServerId,
        /// Address of the server.
        addr: SocketAddr,
    },
    /// Close the connection without stopping the run at the server.
    Disconnect {
        /// The connection.
        conn: ConnId,
    },
    /// Stop the run at the server and close the connection.
    Cancel {
        /// The connection.
        conn: ConnId,
    },
    /// Request a retry decision from the retry budget and the register of suspects; it comes back
    /// as [`Event::Retry`](crate::event::Event::Retry).
    RequestRetry {
        /// The attempt that failed.
        attempt: AttemptId,
        /// Stage at which it failed.
        stage: FailureStage,
    },
    /// Buffer the item that arrived with the event just handled, to be forwarded later or
    /// discarded.
    Hold {
        /// Number of the item.
        seq: Seq,
    },
    /// Discard all held items, because the attempt that produced them was given up.
    DropHeld,
    /// Forward part of the response to the caller.
    Forward(ResponsePart),
    /// Report the result of a granted attempt to the dispatcher.
    Report {
        /// The attempt.
        attempt: AttemptId,
        /// The server on which it was granted a slot.
        server: ServerId,
        /// Result of the attempt.
        result: AttemptResult,
    },
    /// End the response to the caller; issued exactly once per request.
    Finish(FinalResult),
}
