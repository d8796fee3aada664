//! Which gateways read the platform's lists, and where the others fetch snapshots.
//!
//! In a large fleet only a few gateways, the followers, read the platform's lists. The others see
//! in digests that something changed and fetch a snapshot from a gateway that has the change, so
//! that the number of calls to the platform does not grow with the fleet. There is no election:
//! each gateway ranks itself among those whose digests it receives, which gives every side of a
//! network partition its own followers.

use std::net::IpAddr;
use std::time::Duration;

use primrose_core::clock::Mono;

use super::combine::spread;
use super::roles::Role;
use super::Fleet;
use super::Peer;
use crate::digest::Digest;
use crate::digest::DigestScope;
use crate::entry::short_id;

/// Number of followers in a large fleet: about two for each zone of the larger deployments, so that
/// a zone can lose one.
pub const FOLLOWER_COUNT: usize = 6;
/// Largest fleet in which every gateway is a follower. The calls are few there, and a gateway that
/// is cut off from the others still sees within the required two seconds that a server leaves.
pub const MAX_ALL_FOLLOW: usize = 12;
/// Time without a digest after which a gateway does not count as a follower. Digests of large
/// deployments come every half second. A gateway that is cut off, and whose next call then fails,
/// still sees within the three seconds required there that a server leaves.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// What a gateway takes from the snapshots of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotScope {
    /// Tables only: the gateway reads the list of servers itself.
    Tables,
    /// Tables, and the list of servers if any joined or left.
    Members,
    /// Tables, and the newest list of servers: the gateway cannot read the list itself.
    List,
}

impl Fleet {
    /// Whether this gateway reads the platform's lists.
    pub fn is_follower(&self, now: Mono) -> bool {
        if self.gateway_count() <= MAX_ALL_FOLLOW {
            return true;
        }
        match self.role {
            Role::Mesh => {}
            Role::Relay => return true,
            Role::Member { view } => {
                let source = view.and_then(|view| self.peers.get(&view));
                let reads = |peer: &Peer| {
                    let is_recent = now.saturating_sub(peer.last_received) < FOLLOWER_TIMEOUT;
                    is_recent && !peer.digest.list_unreadable && peer.digest.list_version > 0
                };
                // A gateway that cannot read the list keeps trying, though others read it.
                return !source.is_some_and(reads) || self.list_unreadable_since.is_some();
            }
        }
        let own_rank = rank(self.config.ip);
        let can_follow = |peer: &&Peer| {
            let is_recent = now.saturating_sub(peer.last_received) < FOLLOWER_TIMEOUT;
            is_recent && !peer.digest.list_unreadable && peer.digest.list_version > 0
        };
        let followers = self.peers.values().filter(can_follow);
        let higher_ranked = followers.filter(|peer| rank(peer.ip) < own_rank).count();
        // A gateway that cannot read the list keeps trying, though others do not count it.
        higher_ranked < FOLLOWER_COUNT || self.list_unreadable_since.is_some()
    }

    /// Records the time since which the list of servers cannot be read, or that it can be read. The
    /// state is published to the other gateways.
    pub fn set_list_unreadable_since(&mut self, since: Option<Mono>) {
        self.list_unreadable_since = since;
    }

    /// Returns the time since which the list of servers cannot be read; none if it can.
    pub fn list_unreadable_since(&self) -> Option<Mono> {
        self.list_unreadable_since
    }

    /// Returns the version of the list up to which this gateway knows all servers that joined; zero if
    /// it knows none.
    pub fn joins_version(&self) -> u64 {
        self.joins_version.max(self.list_version)
    }

    /// Takes the version of a relay, which reads the list, unless a change of servers is not known yet.
    pub(super) fn adopt_joins_version(&mut self, digest: &Digest) {
        let is_relay = digest.relay.scope == DigestScope::Fleet;
        let reads = is_relay && !digest.list_unreadable;
        if reads && digest.members_version <= self.list_version {
            self.joins_version = self.joins_version.max(digest.list_version);
        }
    }

    /// Records a version of the list at which servers joined or left.
    pub fn record_membership_change(&mut self, version: u64) {
        self.members_version = self.members_version.max(version);
    }

    /// Returns the address of a gateway whose snapshot is newer in the given scope, preferably in
    /// this zone; none if there is none.
    pub fn snapshot_source(&self, scope: SnapshotScope) -> Option<IpAddr> {
        let generation = self.generation();
        let zone = short_id(&self.config.zone);
        let newer = self.peers.iter().filter(|(_, peer)| {
            let digest = &peer.digest;
            let has_newer_list = match scope {
                SnapshotScope::Tables => false,
                SnapshotScope::Members => digest.members_version > self.list_version,
                SnapshotScope::List => digest.list_version > self.list_version,
            };
            digest.generation > generation || has_newer_list
        });
        // Spreads the gateways that need the same snapshot over those that have it.
        let spread = |ip| spread(self.config.incarnation, ip, self.seq);
        let source = newer.max_by_key(|(_, peer)| {
            let digest = &peer.digest;
            (digest.generation, digest.zone == zone, spread(peer.ip))
        });
        let (_, peer) = source?;
        let others = peer.digest.relay.sources.iter().copied();
        let others = others.filter(|ip| *ip != self.config.ip);
        others.chain([peer.ip]).max_by_key(|ip| spread(*ip))
    }
}

fn rank(ip: IpAddr) -> u64 {
    u64::from(short_id(&ip.to_string()))
}
