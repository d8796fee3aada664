//! Which gateways follow the platform, and from whom the others take over what changed.
//!
//! Where there are many, a few gateways read the platform's lists; the others learn from digests
//! that something changed and take a snapshot from a gateway that knows it, so that calls to the
//! platform do not grow with the fleet. Nobody is appointed: each gateway ranks itself among those
//! it hears, which gives every part of a divided fleet followers of its own.

use std::net::IpAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Incarnation;

use super::Fleet;
use super::Peer;
use crate::entry::short_id;
use crate::place::share_key;

/// Gateways that follow where there are many: about two a zone in today's larger deployments, so
/// that one of them may be lost.
pub const FOLLOWER_COUNT: usize = 6;
/// Up to so many gateways each follows, since calls are few: one that is cut off from the others
/// must not miss that a server leaves, which the users allow two seconds for.
pub const MAX_ALL_FOLLOW: usize = 12;
/// A follower that was silent for so long does not count. With a failed call after it, a gateway
/// that is cut off still knows of a leaving server within the three seconds of large deployments;
/// their digests come every half second.
const FOLLOWER_SILENCE: Duration = Duration::from_millis(1_200);

/// What a gateway wants to learn from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotScope {
    /// Tables; it reads the list of servers itself.
    Tables,
    /// Tables, and servers if any joined or left.
    Members,
    /// Tables, and the newest list of servers: it cannot read the list itself.
    List,
}

impl Fleet {
    /// Whether this gateway reads the platform's lists.
    pub fn is_follower(&self, now: Mono) -> bool {
        if self.gateway_count() <= MAX_ALL_FOLLOW {
            return true;
        }
        let own = rank(self.config.ip);
        let counts = |peer: &&Peer| {
            let heard = now.saturating_sub(peer.heard) < FOLLOWER_SILENCE;
            heard && !peer.digest.blind && peer.digest.list_version > 0
        };
        let followers = self.peers.values().filter(counts);
        let before = followers.filter(|peer| rank(peer.ip) < own).count();
        // One that cannot read goes on trying; others count without it.
        before < FOLLOWER_COUNT || self.list_unreadable_since.is_some()
    }

    /// Records since when the list of servers cannot be read, which the others are told.
    pub fn set_list_unreadable_since(&mut self, since: Option<Mono>) {
        self.list_unreadable_since = since;
    }

    /// Since when the list of servers cannot be read.
    pub fn list_unreadable_since(&self) -> Option<Mono> {
        self.list_unreadable_since
    }

    /// Records that servers joined or left, known up to a version of the list.
    pub fn record_membership_change(&mut self, version: u64) {
        self.members_version = self.members_version.max(version);
    }

    /// A gateway that knows better; one in this zone if there is one.
    pub fn snapshot_source(&self, wanted: SnapshotScope) -> Option<IpAddr> {
        let generation = self.generation();
        let near = short_id(&self.config.zone);
        let better = self.peers.iter().filter(|(_, peer)| {
            let digest = &peer.digest;
            let list = match wanted {
                SnapshotScope::Tables => false,
                SnapshotScope::Members => digest.members_version > self.list_version,
                SnapshotScope::List => digest.list_version > self.list_version,
            };
            digest.generation > generation || list
        });
        let best = better.max_by_key(|(writer, peer)| {
            let digest = &peer.digest;
            let order = self.spread(**writer);
            (digest.generation, digest.zone == near, order)
        });
        best.map(|(_, peer)| peer.ip)
    }

    /// Spreads gateways that take the same news over those that know it.
    fn spread(&self, writer: Incarnation) -> u64 {
        share_key([self.config.incarnation, writer, self.seq])
    }
}

fn rank(ip: IpAddr) -> u64 {
    u64::from(short_id(&ip.to_string()))
}
