//! Client interface to the operator listeners of the routers.

use std::net::SocketAddr;

use primrose_report::status::RouterStatus;
use primrose_report::status::SuspectStatus;
use snafu::Snafu;

/// Why a call to a router failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum FleetError {
    /// The router could not be reached, or did not answer in time.
    #[snafu(display("failed to reach the router: {detail}"))]
    Unreachable {
        /// The transport error.
        detail: String,
    },
    /// The router answered with an error status.
    #[snafu(display("the router answered with status {status}: {detail}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Start of the response body.
        detail: String,
    },
    /// The response could not be parsed.
    #[snafu(display("failed to read the router's answer: {detail}"))]
    Malformed {
        /// The parse error.
        detail: String,
    },
}

/// Result of a call to a router.
pub type Result<T> = std::result::Result<T, FleetError>;

/// Calls to the operator listeners; a router is identified by the address of its listener.
pub trait Fleet: Send + Sync {
    /// Returns the status of a router.
    fn status(&self, router: SocketAddr) -> Result<RouterStatus>;

    /// Returns the text of the tables that a router has in force.
    fn tables(&self, router: SocketAddr) -> Result<String>;

    /// Starts a graceful shutdown of a router.
    fn drain(&self, router: SocketAddr) -> Result<()>;

    /// Returns the requests that are suspected of crashing servers.
    fn suspects(&self, router: SocketAddr) -> Result<Vec<SuspectStatus>>;

    /// Clears the suspicion of a request by its fingerprint, so that the whole fleet accepts it again.
    fn lift(&self, router: SocketAddr, fingerprint: &str) -> Result<()>;

    /// Returns the daily page as JSON, for a date in the deployment's time zone or for today.
    fn day_page(&self, router: SocketAddr, date: Option<&str>) -> Result<String>;
}
