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

/// Software version of the servers of a pool, as a hash of both names. What servers of two builds
/// write does not fit together in one stream.
pub type BuildId = ShortId;

/// Returns the id of a build.
pub fn build_id(pool: &str, version: &str) -> BuildId {
    short_id(pool).rotate_left(1) ^ short_id(version)
}

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
    /// Version of its software; empty if the entry names none.
    #[serde(default)]
    pub version: String,
    /// Start time in milliseconds of wall clock time, which distinguishes incarnations that share a
    /// name.
    pub born_ms: u64,
    /// Number of this entry among those that the incarnation wrote; zero if entries have none.
    #[serde(default)]
    pub seq: u64,
    /// For how much longer the server is cold, in milliseconds; zero if it is warm.
    #[serde(default)]
    pub cold_ms: u32,
}

impl ServerEntry {
    /// Returns the build that the server runs.
    pub fn build(&self) -> BuildId {
        build_id(&self.pool, &self.version)
    }
}
