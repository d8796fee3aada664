//! The operator listeners of the routers.

use std::net::SocketAddr;

use primrose_report::status::RouterStatus;
use primrose_report::status::SuspectStatus;
use snafu::Snafu;

/// Why a router gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum FleetError {
    /// The router could not be reached, or did not answer in time.
    #[snafu(display("failed to reach the router: {detail}"))]
    Unreachable {
        /// What was seen.
        detail: String,
    },
    /// The router refused.
    #[snafu(display("the router answered with status {status}: {detail}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// What it said.
        detail: String,
    },
    /// The answer could not be read.
    #[snafu(display("failed to read the router's answer: {detail}"))]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}

/// Result of a call to a router.
pub type Result<T> = std::result::Result<T, FleetError>;

/// What the operator listeners offer; routers are named by the address of that listener.
pub trait Fleet: Send + Sync {
    /// Returns a router's state.
    fn status(&self, router: SocketAddr) -> Result<RouterStatus>;

    /// Returns the text of the tables that a router has in force.
    fn tables(&self, router: SocketAddr) -> Result<String>;

    /// Begins a graceful shutdown.
    fn drain(&self, router: SocketAddr) -> Result<()>;

    /// Returns the requests that are suspected of crashing servers.
    fn suspects(&self, router: SocketAddr) -> Result<Vec<SuspectStatus>>;

    /// Allows a refused request again, on the whole fleet.
    fn lift(&self, router: SocketAddr, fingerprint: &str) -> Result<()>;

    /// Returns the page of a local day as JSON; today's if no date is given.
    fn day(&self, router: SocketAddr, date: Option<&str>) -> Result<String>;
}
