//! Entries of the platform's list of servers, and short ids for digests.

use std::net::SocketAddr;

use primrose_core::id::PoolId;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of the name of an account, zone or address, or of a server's name and start time.
pub type ShortId = u32;

/// Returns the short id of a name. Two names that collide share their sums, which only makes
/// decisions less accurate.
pub fn short_id(name: &str) -> ShortId {
    // The bits of the hash are independent, so its lower half is as good as any other.
    (xxh3_64(name.as_bytes()) & u64::from(u32::MAX)) as ShortId
}

/// Returns the short id of one incarnation of a server. Incarnations that collide also share their
/// marks as leaving or removed.
pub fn short_start_id(entry: &ServerEntry) -> ShortId {
    short_id(&entry.id).rotate_left(1) ^ short_id(&entry.born_ms.to_string())
}

/// One incarnation of a server, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Name; usually, but not always, new after each restart.
    pub id: ServerId,
    /// Pool that it serves.
    pub pool: PoolId,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Start time in milliseconds of wall clock time, which distinguishes incarnations that share a
    /// name.
    pub born_ms: u64,
    /// Number of this entry among those that the incarnation wrote; zero if entries have none.
    #[serde(default)]
    pub seq: u64,
}
