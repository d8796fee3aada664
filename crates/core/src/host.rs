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
    /// The host takes work.
    #[display("live")]
    Live,
    /// The host finishes what it has and takes no new work.
    #[display("leaving")]
    Leaving,
}

/// One host, as the host list shows it; the list lags behind the truth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host; a replaced host may come back under the same name.
    pub id: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Service that runs on it, such as `primrosed` or the name that a pool selects by.
    pub service: String,
    /// Where the service listens.
    pub addr: SocketAddr,
    /// Live or leaving.
    pub state: HostState,
    /// Grows when the host is replaced under the same name; 0 if the list does not tell.
    pub incarnation: u64,
}
