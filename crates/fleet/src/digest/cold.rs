//! What digests say of cold servers.

use serde::Deserialize;
use serde::Serialize;

use crate::cold::ColdReport;
use crate::entry::ShortId;

/// What a gateway says of cold servers, and of the gateways of its availability zone that share
/// their rates.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ColdDigest {
    /// Whether the writer hears most gateways of its zone.
    pub quorum: QuorumState,
    /// Cold servers.
    pub servers: Vec<ColdReport>,
}

/// Whether a gateway hears most gateways of its zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QuorumState {
    /// Not yet; older builds do not say.
    #[default]
    Unknown,
    /// It does.
    Held,
    /// Not any more.
    Lost,
}

/// Encoded form of [`ColdDigest`].
#[derive(Default, Serialize, Deserialize)]
pub(super) struct WireCold(u8, Vec<(ShortId, u32)>);

impl From<&ColdDigest> for WireCold {
    fn from(cold: &ColdDigest) -> Self {
        let servers = cold.servers.iter();
        let servers = servers.map(|report| (report.server, report.left_ms));
        Self(cold.quorum as u8, servers.collect())
    }
}

impl From<WireCold> for ColdDigest {
    fn from(WireCold(quorum, servers): WireCold) -> Self {
        let quorum = match quorum {
            1 => QuorumState::Held,
            2 => QuorumState::Lost,
            _ => QuorumState::Unknown,
        };
        let servers = servers.into_iter();
        let servers = servers.map(|(server, left_ms)| ColdReport { server, left_ms });
        Self {
            quorum,
            servers: servers.collect(),
        }
    }
}
