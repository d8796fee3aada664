//! Entries of the platform's host list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::ZoneId;

/// State of a host in the host list.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host accepts work.
    #[display("live")]
    Live,
    /// The host finishes its current work and accepts no new work.
    #[display("leaving")]
    Leaving,
}

/// A host as recorded in the host list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host; a replacement may reuse the name.
    pub id: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Service that runs on the host: `primrosed`, or a name that pools select servers by.
    pub service: String,
    /// Address on which the service listens.
    pub addr: SocketAddr,
    /// Whether the host is live or leaving.
    pub state: HostState,
    /// Grows when the host is replaced under the same name; 0 if the list does not provide it.
    pub incarnation: u64,
}
