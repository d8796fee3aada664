//! A server as the platform's list shows it.

use std::net::SocketAddr;

use primrose_core::id::PoolId;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Short name of a server or an account in digests.
pub type ShortId = u32;

/// Returns the short name. Two names that collide share their sums, which costs accuracy only.
pub fn short_id(name: &str) -> ShortId {
    // The lower half of a good hash is as good as the whole.
    (xxh3_64(name.as_bytes()) & u64::from(u32::MAX)) as ShortId
}

/// Returns the short name of one start of a server.
pub fn short_start_id(entry: &ServerEntry) -> ShortId {
    short_id(&entry.id).rotate_left(1) ^ short_id(&entry.born_ms.to_string())
}

/// One start of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Name; usually new at each start, but not always.
    pub id: ServerId,
    /// Pool that it serves.
    pub pool: PoolId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Wall clock time of its start in milliseconds, which tells two starts of one name apart.
    pub born_ms: u64,
}
