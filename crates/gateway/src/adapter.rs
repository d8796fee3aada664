//! Traits that connect a gateway to a concrete platform.
//!
//! [`Protocol`] translates the headers of requests and responses; [`Platform`] reads and writes the
//! platform's store. An adapter crate implements both.

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
use primrose_core::id::ZoneId;
use primrose_fleet::catalog::ApiKey;
use primrose_fleet::catalog::Tables;
use primrose_fleet::entry::ServerEntry;
use primrose_fleet::origin::OriginHistory;
use primrose_fleet::place::PartId;
use primrose_fleet::place::Prompt;
use snafu::Snafu;

/// Id that a caller assigned to its request.
pub type CallerRequestId = String;
/// Id of an event within a stream.
pub type EventId = u64;
/// Number of the store's history. It grows when the store is restored from an older copy: what was
/// written since the copy is lost, and its revisions and leases are given out again.
pub type Era = u64;
/// Place in the store's changes, ordered by era and then by revision; the era is in the bits above
/// [`REVISION_BITS`](primrose_fleet::evacuation::REVISION_BITS).
pub type Version = primrose_fleet::evacuation::Version;
/// Id of a lease at the platform.
pub type LeaseId = u64;

/// A lease of this gateway at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its id, which another lease may have in another era.
    pub id: LeaseId,
    /// Era in which it was taken.
    pub era: Option<Era>,
}

/// A boxed future that runs on the thread that created it.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Decoded head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id that the caller assigned to the request.
    pub id: CallerRequestId,
    /// API key of the caller's client account.
    pub key: Option<ApiKey>,
    /// How long the caller is prepared to wait for the response.
    pub timeout_hint: Option<Duration>,
    /// Prompt of the request, if it states one.
    pub prompt: Option<Prompt>,
    /// Parts of the prompt that other requests share, in order.
    pub parts: Vec<PartId>,
    /// The caller's estimate of the output, in tokens.
    pub length_hint: Option<u64>,
    /// Last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<EventId>,
    /// Attempt that brought the stream's first event, if the caller resumes a stream and names it.
    pub resumes: Option<CallerRequestId>,
}

/// A request head with a header that is missing or cannot be parsed.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("header {header} is missing or cannot be read"))]
pub struct InvalidHead {
    /// Name of the header.
    pub header: &'static str,
}

/// What the gateway adds to the caller's headers when it forwards a request to a server.
#[derive(Debug)]
pub struct ForwardHead<'a> {
    /// The only server that may run the request.
    pub server: &'a ServerId,
    /// The caller's client account.
    pub account: Option<&'a AccountId>,
    /// Time left until the deadline of the request.
    pub remaining: Duration,
    /// Event after which the server resumes the stream.
    pub last_event_id: Option<EventId>,
}

/// Decoded head of a server's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that the response belongs to, if the response names it.
    pub id: Option<CallerRequestId>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the server signed the response.
    pub signed: bool,
    /// Requests a second that the server takes from all gateways together, if it names a limit.
    pub limit: Option<f64>,
    /// Time for which the server is still cold, if it says so.
    pub cold_for: Option<Duration>,
    /// How long work takes on the server at the moment, in percent of the usual time, if it says so.
    pub work_time: Option<f64>,
    /// Whether the server says that it leaves.
    pub leaving: bool,
    /// Time for which the server wants no requests from this gateway, if it turned this one away.
    pub declined_for: Option<Duration>,
}

/// Translates the heads of requests and responses.
pub trait Protocol {
    /// Decodes the head of a request.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, InvalidHead>;

    /// Returns the headers with which a request is forwarded to a server.
    fn forward_headers(&self, headers: &HeaderMap, forward: &ForwardHead<'_>) -> HeaderMap;

    /// Decodes the head of a server's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseInfo;

    /// Returns the headers of a response that the gateway itself generates.
    fn reply_headers(&self, id: &CallerRequestId) -> HeaderMap;
}

/// A list of the platform's store that can be read and watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Feed {
    /// The operators' tables and the evacuated zones.
    #[display("tables")]
    Tables,
    /// The backend servers.
    #[display("servers")]
    Servers,
    /// The gateways.
    #[display("gateways")]
    Gateways,
    /// The quarantined prompt parts. Reads of this list may be some seconds old.
    #[display("quarantines")]
    Quarantines,
    /// Builds that began streams, as gateways stored them.
    #[display("origins")]
    Origins,
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// A quarantine of a prompt part, as the platform's store keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// The part.
    pub part: PartId,
    /// Time at which it began.
    pub since_ms: UnixMillis,
    /// Time at which it is over.
    pub until_ms: UnixMillis,
    /// Number of quarantines of the part, this one included.
    pub count: u32,
}

/// An entry of a feed, or a change of one.
#[derive(Debug, Clone, PartialEq)]
pub enum PlatformEvent {
    /// New tables.
    Tables(Box<Tables>),
    /// No more requests may be sent to the servers of a zone.
    ZoneEvacuated(ZoneId),
    /// The servers of a zone may be used again.
    ZoneRestored(ZoneId),
    /// A server was added or changed.
    Server(ServerEntry),
    /// A server was removed from the list.
    ServerRemoved(ServerId),
    /// Address of a gateway.
    Gateway(IpAddr),
    /// A quarantined prompt part.
    Quarantine(StoredQuarantine),
    /// Builds that began streams at one gateway.
    Origins(OriginHistory),
    /// An entry that cannot be decoded.
    UnusableEntry {
        /// Name of the entry.
        name: String,
        /// Why it cannot be decoded.
        reason: String,
    },
}

/// Events that were read in one call.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The events, in the order of the store.
    pub events: Vec<PlatformEvent>,
    /// Revision up to which the events are complete.
    pub version: Version,
}

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// The platform could not be reached or did not respond.
    #[snafu(display("failed to reach the platform: {reason}"))]
    Unreachable {
        /// Description of the failure.
        reason: String,
    },
    /// The platform refused the call.
    #[snafu(display("the platform refused the call with status {status}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The response could not be decoded.
    #[snafu(display("failed to read the platform's answer: {reason}"))]
    Malformed {
        /// Description of the failure.
        reason: String,
    },
    /// The store no longer keeps the requested changes; the list has to be read anew.
    #[snafu(display("the platform no longer has the requested changes"))]
    Compacted,
    /// The store was restored from an older copy; what was read before may not be in it.
    #[snafu(display("the platform's store was restored from an older copy"))]
    Restored,
    /// The lease has expired, was revoked or is of an earlier era.
    #[snafu(display("the lease has ended"))]
    LeaseEnded,
}

/// The operations of the platform's store that gateways need.
pub trait Platform {
    /// Reads all entries of a feed.
    fn list(&self, feed: Feed) -> LocalFuture<'_, Result<Batch, PlatformError>>;

    /// Returns the newest era that the store has named; none if it has named none.
    fn era(&self) -> Option<Era>;

    /// Waits until the newest era is another one, and returns it.
    fn era_change(&self, known: Option<Era>) -> LocalFuture<'_, Option<Era>>;

    /// Returns the changes after a version; waits for one for at most `wait`. Fails with
    /// [`PlatformError::Restored`] if the store is in another era.
    fn watch(
        &self,
        feed: Feed,
        after: Version,
        wait: Duration,
    ) -> LocalFuture<'_, Result<Batch, PlatformError>>;

    /// Adds this gateway to the list of gateways, under a new lease of length `ttl`.
    fn register(&self, ttl: Duration) -> LocalFuture<'_, Result<Lease, PlatformError>>;

    /// Renews a lease.
    fn renew(&self, lease: Lease) -> LocalFuture<'_, Result<(), PlatformError>>;

    /// Writes the quarantine of a prompt part, or removes it if there is none.
    fn write_quarantine(
        &self,
        part: PartId,
        quarantine: Option<StoredQuarantine>,
    ) -> LocalFuture<'_, Result<(), PlatformError>>;

    /// Writes which builds began streams, under a lease of this gateway. The entry of an earlier
    /// process stays until its lease ends.
    fn write_origins<'a>(
        &'a self,
        lease: Lease,
        history: &'a OriginHistory,
    ) -> LocalFuture<'a, Result<(), PlatformError>>;

    /// Revokes a lease, which removes this gateway from the list.
    fn deregister(&self, lease: Lease) -> LocalFuture<'_, Result<(), PlatformError>>;
}
