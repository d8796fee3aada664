//! What a gateway needs of the outside, as traits that an adapter implements.

use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::time::Duration;

use derive_more::Display;
use http::request;
use http::response;
use http::HeaderMap;
use primrose_core::id::AccountId;
use primrose_core::id::ServerId;
use primrose_fleet::catalog::ApiKey;
use primrose_fleet::catalog::Tables;
use primrose_fleet::entry::ServerEntry;
use primrose_fleet::place::Prompt;
use snafu::Snafu;

/// Id that a caller gave its request.
pub type CallerRequestId = String;
/// Number of an event within a stream.
pub type EventId = u64;
/// Count of changes at the platform.
pub type Version = u64;
/// Lease at the platform.
pub type LeaseId = u64;

/// A future of this thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// The head of a caller's request, decoded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Its id.
    pub id: CallerRequestId,
    /// The caller's key.
    pub key: Option<ApiKey>,
    /// How long the caller waits.
    pub timeout_hint: Option<Duration>,
    /// Its prompt.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has, if it goes on with a stream.
    pub last_event_id: Option<EventId>,
}

/// Why a head is no request.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("header {header} is missing or cannot be read"))]
pub struct InvalidHead {
    /// The header.
    pub header: &'static str,
}

/// What a request carries to a server beside the caller's own headers.
#[derive(Debug)]
pub struct ForwardHead<'a> {
    /// The only server that may run it.
    pub server: &'a ServerId,
    /// The caller's account.
    pub account: Option<&'a AccountId>,
    /// Time that is left for it.
    pub remaining: Duration,
    /// Event after which the server is to go on.
    pub last_event_id: Option<EventId>,
}

/// What the head of a server's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The request that is answered, if named.
    pub id: Option<CallerRequestId>,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Whether the server vouches for the answer.
    pub signed: bool,
}

/// How requests and answers are written.
pub trait Protocol {
    /// Decodes the head of a request.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, InvalidHead>;

    /// Headers with which a request goes to a server.
    fn forward_headers(&self, headers: &HeaderMap, forward: &ForwardHead<'_>) -> HeaderMap;

    /// Decodes the head of a server's answer.
    fn parse_response(&self, head: &response::Parts) -> ResponseInfo;

    /// Headers of an answer of the gateway's own.
    fn reply_headers(&self, id: &CallerRequestId) -> HeaderMap;
}

/// What can be followed at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Feed {
    /// The operators' tables.
    #[display("tables")]
    Tables,
    /// The servers.
    #[display("servers")]
    Servers,
    /// The gateways.
    #[display("gateways")]
    Gateways,
}

/// One thing that the platform says.
#[derive(Debug, Clone, PartialEq)]
pub enum PlatformEvent {
    /// Tables.
    Tables(Box<Tables>),
    /// A server.
    Server(ServerEntry),
    /// A server left the list.
    ServerRemoved(ServerId),
    /// A gateway.
    Gateway(IpAddr),
    /// An entry that cannot be used.
    UnusableEntry {
        /// Its name.
        name: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// What the platform says at once.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// In order.
    pub events: Vec<PlatformEvent>,
    /// Up to which change it goes.
    pub version: Version,
}

/// Why the platform did not say anything.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// It did not answer.
    #[snafu(display("failed to reach the platform: {reason}"))]
    Unreachable {
        /// What went wrong.
        reason: String,
    },
    /// It turned the call away.
    #[snafu(display("the platform refused the call with status {status}"))]
    Refused {
        /// Status of its answer.
        status: u16,
    },
    /// It answered with something else.
    #[snafu(display("failed to read the platform's answer: {reason}"))]
    Malformed {
        /// What went wrong.
        reason: String,
    },
    /// The changes asked for are no longer there.
    #[snafu(display("the platform has forgotten its older changes"))]
    Compacted,
    /// The lease has ended.
    #[snafu(display("the lease has ended"))]
    LeaseEnded,
}

/// The platform's store, as far as gateways need it.
pub trait Platform {
    /// Says all that there is now.
    fn list(&self, feed: Feed) -> LocalFuture<'_, Result<Batch, PlatformError>>;

    /// Says what changed after a version; waits for it for at most `wait`.
    fn watch(
        &self,
        feed: Feed,
        after: Version,
        wait: Duration,
    ) -> LocalFuture<'_, Result<Batch, PlatformError>>;

    /// Lists this gateway under a lease.
    fn register(&self, ttl: Duration) -> LocalFuture<'_, Result<LeaseId, PlatformError>>;

    /// Keeps a lease.
    fn renew(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), PlatformError>>;

    /// Ends a lease.
    fn deregister(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), PlatformError>>;
}
