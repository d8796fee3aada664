//! Outcomes and error codes reported to callers; an outcome that is not certain is `Unknown`.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and the whole response is known.
    #[display("done")]
    Done,
    /// No byte of the request reached a backend server, or the server refused it before running.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Stable error codes, part of the public interface to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorCode {
    /// The request is invalid: bad JSON, bad header, unknown model or path.
    #[display("bad-request")]
    BadRequest,
    /// The bearer key is missing or belongs to no client account.
    #[display("unauthenticated")]
    Unauthenticated,
    /// No route serves this path or model.
    #[display("no-route")]
    NoRoute,
    /// The body or the headers exceed a size limit.
    #[display("too-large")]
    TooLarge,
    /// The account's queue is full.
    #[display("queue-full")]
    QueueFull,
    /// The deadline passed while the request was queued.
    #[display("deadline")]
    Deadline,
    /// The router has no memory left for the body.
    #[display("overloaded")]
    Overloaded,
    /// The router is shutting down.
    #[display("shutting-down")]
    ShuttingDown,
    /// The idempotency key is required by the route and missing.
    #[display("key-required")]
    KeyRequired,
    /// The idempotency key was used with another body.
    #[display("key-reused")]
    KeyReused,
    /// It is not known whether an earlier request with the idempotency key ran.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// The idempotency key was closed without a run.
    #[display("key-closed")]
    KeyClosed,
    /// Another request with the same idempotency key is in progress.
    #[display("in-progress")]
    InProgress,
    /// The claim could not be recorded because the key-value service does not respond.
    #[display("claims-unavailable")]
    ClaimsUnavailable,
    /// The request crashed backend servers and is temporarily refused.
    #[display("poison")]
    Poison,
    /// The connection to the backend server was lost during the request.
    #[display("server-lost")]
    ServerLost,
    /// The backend server refused the request before running it.
    #[display("server-refused")]
    ServerRefused,
    /// The backend server did not finish within the route's deadline.
    #[display("timeout")]
    Timeout,
    /// An internal error of the router.
    #[display("internal")]
    Internal,
}

impl ErrorCode {
    /// Returns the HTTP status that goes with the code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthenticated => 401,
            Self::NoRoute => 404,
            Self::InProgress | Self::OutcomeUnknown | Self::KeyClosed => 409,
            Self::TooLarge => 413,
            Self::KeyRequired | Self::KeyReused | Self::Poison => 422,
            Self::QueueFull => 429,
            Self::Internal => 500,
            Self::ServerLost | Self::ServerRefused => 502,
            Self::Overloaded | Self::ShuttingDown | Self::ClaimsUnavailable => 503,
            Self::Deadline | Self::Timeout => 504,
        }
    }
}
