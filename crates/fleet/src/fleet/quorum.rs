//! Which gateways share the rates of cold servers.
//!
//! Only gateways of a cold server's availability zone send to it, and of these only the few that
//! rendezvous hashing picks. All gateways of the zone have to agree on them. A gateway therefore
//! sends only while it hears more than half of the gateways of its zone that it remembers, and has
//! done so for [`SETTLE_TIME`]. It stops after [`HEARD_TIMEOUT`] of silence, and the others fill its
//! place after the longer [`REPLACE_TIMEOUT`]. Of a zone that fell apart, the smaller part sends
//! nothing and forgets nobody, so that it does not take itself for the whole zone later.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use primrose_core::clock::Mono;

use super::roles::Role;
use super::Fleet;
use crate::digest::DigestScope;
use crate::digest::QuorumState;
use crate::entry::short_id;
use crate::entry::ShortId;
use crate::place::share_key;

/// Time for which most gateways of the zone have to be heard before this one sends to cold servers.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Silence after which a gateway is not heard any more.
const HEARD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which another gateway shares in its place. The silent gateway has stopped before,
/// unless it still hears most others; then there is one sharer too many, for which the bound has room.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Silence after which a gateway that hears most others forgets one.
const FORGET_TIME: Duration = Duration::from_secs(60);
/// Maximum number of gateways that are remembered; above the design size of 380.
const MAX_GATEWAYS: usize = 1_024;

/// A gateway that was heard of.
#[derive(Debug, Clone, Copy)]
struct Member {
    zone: ShortId,
    last_seen: Mono,
}

/// Whether this gateway hears most gateways of its zone.
#[derive(Debug, Default)]
pub(super) struct ZoneQuorum {
    /// Gateways of all zones that were heard of. Those of other zones are kept so that their
    /// addresses are not taken for unknown gateways of this one.
    members: BTreeMap<IpAddr, Member>,
    /// Until this gateway is settled: addresses at which there may be a gateway that was not heard of.
    unheard: BTreeSet<IpAddr>,
    /// Since when most gateways of the zone are heard.
    held_since: Option<Mono>,
    /// Whether this gateway was ever settled.
    was_settled: bool,
}

impl ZoneQuorum {
    /// Returns the remembered gateways of a zone, with the time since each was heard.
    fn of_zone(&self, zone: ShortId, now: Mono) -> impl Iterator<Item = (&IpAddr, Duration)> {
        let members = self.members.iter();
        let members = members.filter(move |(_, member)| member.zone == zone);
        members.map(move |(ip, member)| (ip, now.saturating_sub(member.last_seen)))
    }

    /// Whether the gateway may send to cold servers.
    fn is_settled(&self, now: Mono) -> bool {
        let since = self.held_since;
        since.is_some_and(|since| now.saturating_sub(since) >= SETTLE_TIME)
    }

    pub(super) fn state(&self, now: Mono) -> QuorumState {
        if self.is_settled(now) {
            QuorumState::Held
        } else if self.was_settled && self.held_since.is_none() {
            QuorumState::Lost
        } else {
            QuorumState::Unknown
        }
    }
}

/// The gateways of a zone, as one of them sees them.
pub(super) struct Sharers {
    /// Key of this gateway.
    own: u64,
    /// Keys of the others that are present.
    others: Vec<u64>,
}

impl Sharers {
    /// Returns the part of a cold server's rate that this gateway may use. The name of the server
    /// picks the gateways, not its incarnation: those that know of a restart and those that do not
    /// yet pick the same ones.
    pub(super) fn share(&self, server: ShortId, most: usize) -> f64 {
        let key = |gateway: u64| share_key([u64::from(server), gateway]);
        let own = key(self.own);
        let before = self
            .others
            .iter()
            .filter(|other| key(**other) > own)
            .count();
        let sharers = most.min(self.others.len() + 1);
        if before < sharers {
            1.0 / sharers as f64
        } else {
            0.0
        }
    }
}

impl Fleet {
    /// Returns the gateways that may share the rates of the cold servers of this zone; none if this
    /// gateway knows too little to be one of them.
    pub(super) fn sharers_by_key(&self, now: Mono) -> Option<Sharers> {
        if !self.quorum.is_settled(now) {
            return None;
        }
        let key = |ip: &IpAddr| u64::from(short_id(&ip.to_string()));
        let zone = self.own_zone();
        let present = self.quorum.of_zone(zone, now);
        let present = present.filter(|(_, silence)| *silence < REPLACE_TIMEOUT);
        Some(Sharers {
            own: key(&self.config.ip),
            others: present.map(|(ip, _)| key(ip)).collect(),
        })
    }

    /// Determines whether this gateway hears most gateways of its zone.
    pub(super) fn update_quorum(&mut self, now: Mono) {
        for (ip, gateway) in &self.known {
            if *ip == self.config.ip {
                continue;
            }
            let is_known = self.quorum.members.contains_key(ip);
            if is_known || self.quorum.members.len() < MAX_GATEWAYS {
                let member = Member {
                    zone: gateway.zone,
                    last_seen: gateway.last_seen,
                };
                self.quorum.members.insert(*ip, member);
            }
        }
        self.update_unheard();
        let (held, lost) = self.neighbor_quorums(now);
        if self.quorum.is_settled(now) || held > 0 {
            let zone = self.own_zone();
            self.quorum.members.retain(|_, member| {
                member.zone != zone || now.saturating_sub(member.last_seen) < FORGET_TIME
            });
        }
        // A gateway that has just started does not know how many are missing; those that lost most of
        // their zone do.
        let is_in_lost_part = !self.quorum.was_settled && lost > 0 && held == 0;
        if self.hears_most(now) && !is_in_lost_part {
            self.quorum.held_since.get_or_insert(now);
        } else {
            self.quorum.held_since = None;
        }
        self.quorum.was_settled |= self.quorum.is_settled(now);
    }

    /// Remembers the addresses that were not heard of, until this gateway is settled. Contacts of
    /// other zones are among them, so that a gateway that starts in a part of the fleet that is cut
    /// off does not take the part for the whole.
    fn update_unheard(&mut self) {
        if self.quorum.was_settled {
            self.quorum.unheard.clear();
            return;
        }
        let room = MAX_GATEWAYS.saturating_sub(self.quorum.unheard.len());
        self.quorum.unheard.extend(self.contacts.keys().take(room));
        let members = &self.quorum.members;
        self.quorum.unheard.retain(|ip| !members.contains_key(ip));
    }

    /// Returns how many gateways of this zone say that they hear most of it, and how many that they do
    /// not any more.
    fn neighbor_quorums(&self, now: Mono) -> (usize, usize) {
        let zone = self.own_zone();
        let recent = self.peers.values().filter(|peer| {
            let digest = &peer.digest;
            digest.zone == zone
                && digest.relay.scope != DigestScope::Zone
                && now.saturating_sub(peer.last_received) < HEARD_TIMEOUT
        });
        recent.fold((0, 0), |(held, lost), peer| match peer.digest.cold.quorum {
            QuorumState::Held => (held + 1, lost),
            QuorumState::Lost => (held, lost + 1),
            QuorumState::Unknown => (held, lost),
        })
    }

    /// Whether this gateway hears more than half of the gateways of its zone that it remembers. Of
    /// two halves, the one with the lowest address counts as the larger one.
    fn hears_most(&self, now: Mono) -> bool {
        let known = self.quorum.members.len() + 1;
        if self.quorum.unheard.len() >= known {
            return false;
        }
        // In a small fleet, all gateways are heard directly: a contact that is silent since the start
        // may be one of this zone.
        let unknown = match self.role {
            Role::Mesh => {
                let contacts = self.contacts.keys();
                contacts
                    .filter(|ip| !self.quorum.members.contains_key(*ip))
                    .count()
            }
            Role::Relay | Role::Member { .. } => 0,
        };
        let zone = self.own_zone();
        let all = self.quorum.of_zone(zone, now).count() + 1 + unknown;
        let is_heard = |silence: Duration| silence < HEARD_TIMEOUT;
        let heard = self.quorum.of_zone(zone, now);
        let heard = heard.filter(|(_, silence)| is_heard(*silence)).count() + 1;
        let lowest = self.quorum.of_zone(zone, now).next();
        let has_lowest =
            lowest.is_none_or(|(ip, silence)| *ip > self.config.ip || is_heard(silence));
        heard * 2 > all || (heard * 2 == all && unknown == 0 && has_lowest)
    }
}
