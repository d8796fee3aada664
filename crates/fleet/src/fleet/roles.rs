//! Which gateways exchange digests.
//!
//! In a small fleet, each gateway sends its digest to all others. In a large one that would cost
//! every host a datagram from every other, so the gateways of an availability zone send their
//! digests to its relays only. A relay adds them up. It sends the sums of its zone to the relays of
//! the other zones, and to each gateway of its zone the sums of the whole fleet without that
//! gateway's own. So each writer is counted once, whichever way its sums take.
//!
//! There is no election: every gateway ranks those of its zone of which it has heard recently by the
//! capacity of their hosts, and takes the first ones for relays. Gateways that disagree for a moment
//! only see older sums: a gateway uses the view of one relay at a time, and keeps the last one until
//! another arrives. A gateway that hears of no relay sends its digest to all that it knows.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Incarnation;

use super::Fleet;
use crate::digest::Digest;
use crate::digest::DigestScope;
use crate::entry::short_id;
use crate::entry::ShortId;
use crate::limit::DemandLevel;

/// Largest fleet in which each gateway sends its digest to all others.
pub const MAX_MESH: usize = 12;
/// Time without news after which a gateway does not count for the size of the fleet. Relays name each
/// gateway of another zone about once in ten seconds.
const FLEET_TIMEOUT: Duration = Duration::from_secs(30);
/// Relays of a zone; one of them may be lost without a gap.
pub(super) const RELAY_COUNT: usize = 2;
/// Time without a digest after which a gateway is not taken for a relay.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age of a view from which on a newer one of another relay is used instead.
const VIEW_REPLACE_TIME: Duration = Duration::from_millis(700);
/// Time for which a gateway of another zone is remembered.
pub(super) const CONTACT_TIMEOUT: Duration = Duration::from_secs(60);

/// How this gateway takes part in the exchange of digests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Role {
    /// Exchanges digests with all gateways.
    #[default]
    Mesh,
    /// Combines the digests of its zone.
    Relay,
    /// Uses the view of a relay, if there is one.
    Member {
        /// Writer of the view in use.
        view: Option<Incarnation>,
    },
}

/// A gateway that was heard of.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownGateway {
    pub(super) zone: ShortId,
    pub(super) capacity: u32,
    pub(super) demand: DemandLevel,
    pub(super) last_seen: Mono,
}

impl Fleet {
    /// Whether this gateway combines the digests of its zone.
    pub fn is_relay(&self) -> bool {
        self.role == Role::Relay
    }

    /// Returns the age of the view in use; zero if sums come from the gateways directly.
    pub fn view_age(&self, now: Mono) -> Duration {
        let Role::Member { view: Some(view) } = self.role else {
            return Duration::ZERO;
        };
        let peer = self.peers.get(&view);
        peer.map_or(Duration::ZERO, |peer| {
            now.saturating_sub(peer.last_received)
        })
    }

    /// Remembers the writer of a digest and the gateways that it names.
    pub(super) fn record_gateways(&mut self, digest: &Digest, ip: IpAddr, now: Mono) {
        let writer = KnownGateway {
            zone: digest.zone,
            capacity: digest.relay.capacity,
            demand: digest.relay.demand,
            last_seen: now,
        };
        self.known.insert(ip, writer);
        let own_ip = self.config.ip;
        if digest.relay.scope == DigestScope::Fleet {
            let mut contacts = digest.relay.contacts.iter();
            let own = contacts.find(|contact| contact.ip == own_ip);
            self.returned_demand = own.map_or(0, |contact| contact.demand);
        }
        for contact in digest.relay.contacts.iter().filter(|c| c.ip != own_ip) {
            let age = Duration::from_millis(u64::from(contact.age_ms));
            let seen = KnownGateway {
                zone: contact.zone,
                capacity: contact.capacity,
                demand: contact.demand,
                last_seen: now.saturating_sub(age),
            };
            let known = self.known.entry(contact.ip).or_insert(seen);
            if known.last_seen < seen.last_seen {
                *known = seen;
            }
        }
    }

    /// Determines the role and whose sums count; adds them up anew if that changes.
    pub(super) fn update_role(&mut self, now: Mono) {
        self.known
            .retain(|_, gateway| now.saturating_sub(gateway.last_seen) < CONTACT_TIMEOUT);
        let recent = self.known.values();
        let recent = recent.filter(|known| now.saturating_sub(known.last_seen) < FLEET_TIMEOUT);
        let is_small = recent.count() < MAX_MESH;
        let role = if is_small {
            Role::Mesh
        } else if self
            .relays_of(self.own_zone(), now)
            .contains(&self.config.ip)
        {
            Role::Relay
        } else {
            let view = self.choose_view(now);
            Role::Member { view }
        };
        let zone_writers = self.choose_zone_writers(now);
        if role != self.role || zone_writers != self.zone_writers {
            self.role = role;
            self.zone_writers = zone_writers;
            self.add_up();
        }
    }

    /// Whether the sums of a digest count.
    pub(super) fn counts(&self, digest: &Digest) -> bool {
        match (self.role, digest.relay.scope) {
            (Role::Mesh, scope) => scope == DigestScope::Gateway,
            (Role::Relay, DigestScope::Gateway) => digest.zone == self.own_zone(),
            (Role::Relay, DigestScope::Zone) => {
                self.zone_writers.get(&digest.zone) == Some(&digest.writer)
            }
            (Role::Member { view }, DigestScope::Fleet) => view == Some(digest.writer),
            (Role::Member { view }, DigestScope::Gateway) => view.is_none(),
            _ => false,
        }
    }

    pub(super) fn own_zone(&self) -> ShortId {
        short_id(&self.config.zone)
    }

    /// Returns the gateways of a zone that are heard of, best relays first.
    pub(super) fn ranked(&self, zone: ShortId, timeout: Duration, now: Mono) -> Vec<IpAddr> {
        let known = self.known.iter().filter(|(_, gateway)| {
            gateway.zone == zone && now.saturating_sub(gateway.last_seen) < timeout
        });
        let mut ranked: Vec<(u32, IpAddr)> =
            known.map(|(ip, known)| (known.capacity, *ip)).collect();
        if zone == self.own_zone() {
            ranked.push((self.config.capacity, self.config.ip));
        }
        ranked.sort_unstable_by_key(|(capacity, ip)| {
            let tie_break = short_id(&ip.to_string());
            (std::cmp::Reverse(*capacity), tie_break)
        });
        ranked.into_iter().map(|(_, ip)| ip).collect()
    }

    pub(super) fn relays_of(&self, zone: ShortId, now: Mono) -> Vec<IpAddr> {
        let mut relays = self.ranked(zone, RELAY_TIMEOUT, now);
        if relays.is_empty() {
            relays = self.ranked(zone, CONTACT_TIMEOUT, now);
        }
        relays.truncate(RELAY_COUNT);
        relays
    }

    /// Returns the writer of the view to use: the current one while its views arrive, else the
    /// newest.
    fn choose_view(&self, now: Mono) -> Option<Incarnation> {
        let views = self.peers.iter();
        let views = views.filter(|(_, peer)| peer.digest.relay.scope == DigestScope::Fleet);
        let newest = views.max_by_key(|(_, peer)| peer.last_received);
        if let Role::Member { view: Some(view) } = self.role {
            if let Some(peer) = self.peers.get(&view) {
                if now.saturating_sub(peer.last_received) < VIEW_REPLACE_TIME {
                    return Some(view);
                }
            }
        }
        newest.map(|(writer, _)| *writer)
    }

    /// Returns for each other zone the relay whose sums count, chosen like the view.
    fn choose_zone_writers(&self, now: Mono) -> BTreeMap<ShortId, Incarnation> {
        let mut newest: BTreeMap<ShortId, (Mono, Incarnation)> = BTreeMap::new();
        for (writer, peer) in &self.peers {
            let digest = &peer.digest;
            if digest.relay.scope != DigestScope::Zone || digest.zone == self.own_zone() {
                continue;
            }
            let is_current = self.zone_writers.get(&digest.zone) == Some(writer);
            let is_fresh = now.saturating_sub(peer.last_received) < VIEW_REPLACE_TIME;
            let received = if is_current && is_fresh {
                Mono::MAX
            } else {
                peer.last_received
            };
            let known = newest.entry(digest.zone).or_insert((received, *writer));
            *known = (*known).max((received, *writer));
        }
        newest
            .into_iter()
            .map(|(zone, (_, writer))| (zone, writer))
            .collect()
    }

    /// Adds the sums of all digests that count.
    fn add_up(&mut self) {
        self.demand.clear_remote();
        self.peer_sums.clear();
        let counted: Vec<Digest> = self
            .peers
            .values()
            .filter(|peer| self.counts(&peer.digest))
            .map(|peer| peer.digest.clone())
            .collect();
        for digest in &counted {
            self.replace_sums(None, Some(digest));
        }
    }
}
