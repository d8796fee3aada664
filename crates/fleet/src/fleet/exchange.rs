//! Which digests a gateway sends, and to whom; see [`super::roles`] for the roles.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Incarnation;

use super::combine::contact;
use super::combine::remove_writer;
use super::combine::spread;
use super::roles::Role;
use super::roles::CONTACT_TIMEOUT;
use super::roles::RELAY_COUNT;
use super::roles::RELAY_TIMEOUT;
use super::Fleet;
use super::Peer;
use crate::digest::Digest;
use crate::digest::DigestScope;
use crate::entry::ShortId;

/// Minimum interval between two digests. Within it, two gateways may select the same free server,
/// which costs a wait of one prompt; about one request in ten arrives this soon after another.
const MIN_MESH_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval with relays, whose views are longer.
const MIN_RELAY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval for each receiver, which bounds the datagrams per second.
const INTERVAL_PER_RECEIVER: Duration = Duration::from_millis(6);
/// Gateways to which a gateway without a view sends its digest.
const FALLBACK_RELAY_COUNT: usize = 4;
/// Age of a view at which a gateway asks another relay for one.
const VIEW_TIMEOUT: Duration = Duration::from_millis(900);
/// Gateways of a zone that its relays are told of by those of another zone.
const NAMED_RELAYS: usize = 4;
/// Gateways to which the relays are named in one round.
const MAX_REFERRALS: usize = 8;
/// Gateways of a zone that are tried at a time while none of its relays is heard of.
const LOST_ZONE_CONTACTS: usize = 4;

/// A digest and the gateways to send it to.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Receivers.
    pub receivers: Vec<IpAddr>,
    /// The digest.
    pub digest: Digest,
}

impl Fleet {
    /// Returns the digests to send now.
    pub fn outgoing(&mut self, now: Mono) -> Vec<Outgoing> {
        let own = self.digest(now);
        match self.role {
            Role::Mesh => vec![Outgoing {
                receivers: self.contacts(),
                digest: own,
            }],
            Role::Member { view } => self.member_digests(own, view, now),
            Role::Relay => self.relay_digests(own, now),
        }
    }

    /// Returns the time until the next digests are due after some were sent.
    pub fn send_interval(&self, sent: &[Outgoing]) -> Duration {
        let receivers: usize = sent.iter().map(|out| out.receivers.len()).sum();
        let receivers = u32::try_from(receivers).unwrap_or(u32::MAX);
        let least = match self.role {
            Role::Mesh => MIN_MESH_INTERVAL,
            Role::Relay | Role::Member { .. } => MIN_RELAY_INTERVAL,
        };
        least.max(INTERVAL_PER_RECEIVER.saturating_mul(receivers))
    }

    fn member_digests(
        &self,
        mut own: Digest,
        view: Option<Incarnation>,
        now: Mono,
    ) -> Vec<Outgoing> {
        let mut relays = self.ranked(self.own_zone(), RELAY_TIMEOUT, now);
        relays.retain(|ip| *ip != self.config.ip);
        let view_from = view.and_then(|view| self.peers.get(&view));
        let is_fresh = |peer: &&Peer| now.saturating_sub(peer.last_received) < VIEW_TIMEOUT;
        let Some(source) = view_from.filter(is_fresh).map(|peer| peer.ip) else {
            own.relay.wants_view = true;
            relays.truncate(FALLBACK_RELAY_COUNT);
            if relays.is_empty() || view.is_none() {
                relays = self.contacts();
            }
            return vec![Outgoing {
                receivers: relays,
                digest: own,
            }];
        };
        relays.truncate(RELAY_COUNT);
        // The best relay becomes the source of the view once it answers.
        let asked = relays.first().copied().unwrap_or(source);
        let mut asking = own.clone();
        asking.relay.wants_view = true;
        relays.retain(|ip| *ip != asked);
        let first = Outgoing {
            receivers: vec![asked],
            digest: asking,
        };
        let others = Outgoing {
            receivers: relays,
            digest: own,
        };
        let mut outgoing = vec![first, others];
        outgoing.extend(self.referrals(&outgoing[1].digest, now));
        outgoing
    }

    /// Returns a digest that names the relays to gateways that took this one for a relay, or that
    /// are not among the relays of their zone that this one knows.
    fn referrals(&self, own: &Digest, now: Mono) -> Option<Outgoing> {
        let is_recent = |peer: &&Peer| now.saturating_sub(peer.last_received) < RELAY_TIMEOUT;
        let is_relay = self.is_relay();
        let is_lost = |peer: &&Peer| {
            let digest = &peer.digest;
            match digest.relay.scope {
                DigestScope::Fleet => false,
                DigestScope::Zone => {
                    !is_relay || !self.relays_of(digest.zone, now).contains(&peer.ip)
                }
                DigestScope::Gateway => {
                    digest.relay.wants_view && !(is_relay && digest.zone == self.own_zone())
                }
            }
        };
        let lost = self.peers.values().filter(is_recent).filter(is_lost);
        let receivers: Vec<IpAddr> = lost.map(|peer| peer.ip).take(MAX_REFERRALS).collect();
        if receivers.is_empty() {
            return None;
        }
        let mut digest = own.clone();
        digest.relay.wants_view = false;
        digest.relay.contacts = self.relay_contacts(now);
        Some(Outgoing { receivers, digest })
    }

    fn relay_digests(&mut self, mut own: Digest, now: Mono) -> Vec<Outgoing> {
        let zone = self.own_zone();
        let origins = self.origins_to_pass_on();
        let mut outgoing = Vec::new();
        let is_recent = |peer: &&Peer| {
            let digest = &peer.digest;
            let is_member = digest.relay.scope == DigestScope::Gateway && digest.zone == zone;
            is_member && now.saturating_sub(peer.last_received) < RELAY_TIMEOUT
        };
        let members: Vec<&Peer> = self.peers.values().filter(is_recent).collect();
        let mut relays = self.relays_of(zone, now);
        relays.retain(|ip| *ip != self.config.ip);
        let mut view = self.combined(&own, DigestScope::Fleet, now);
        view.origins = origins;
        for member in &members {
            // The other relays of the zone use the same digests as this one.
            if !member.digest.relay.wants_view || relays.contains(&member.ip) {
                continue;
            }
            let mut digest = view.clone();
            remove_writer(&mut digest, &member.digest);
            digest.trim();
            outgoing.push(Outgoing {
                receivers: vec![member.ip],
                digest,
            });
        }
        let mut combined = self.combined(&own, DigestScope::Zone, now);
        combined.origins.clear();
        combined.trim();
        for (other_zone, receivers) in self.other_relays(now) {
            let mut digest = combined.clone();
            // Relays of a zone that do not know each other learn of it here.
            let mut relays = self.ranked(other_zone, RELAY_TIMEOUT, now);
            relays.truncate(NAMED_RELAYS);
            let known = |ip| Some(contact(ip, self.known.get(&ip)?, now));
            let contacts = relays.into_iter().filter_map(known);
            digest.relay.contacts.extend(contacts);
            outgoing.push(Outgoing { receivers, digest });
        }
        outgoing.extend(self.referrals(&own, now));
        // A relay that sends nothing may not know that it is one, or this one may be wrong.
        let sends = |ip: &IpAddr| members.iter().any(|member| member.ip == *ip);
        own.relay.wants_view = !relays.iter().all(sends);
        own.relay.contacts = self.relay_contacts(now);
        outgoing.push(Outgoing {
            receivers: relays,
            digest: own,
        });
        // Of several digests, a receiver would keep only one.
        let mut served = BTreeSet::new();
        for out in outgoing.iter_mut().rev() {
            out.receivers.retain(|ip| served.insert(*ip));
        }
        outgoing
    }

    /// Returns the relays of the other zones; for a zone whose relays are silent, some of its other
    /// gateways, others each time.
    fn other_relays(&self, now: Mono) -> Vec<(ShortId, Vec<IpAddr>)> {
        let own_zone = self.own_zone();
        let zones: BTreeSet<ShortId> = self.known.values().map(|gateway| gateway.zone).collect();
        let mut receivers = Vec::new();
        for zone in zones.into_iter().filter(|zone| *zone != own_zone) {
            let mut relays = self.ranked(zone, RELAY_TIMEOUT, now);
            relays.truncate(RELAY_COUNT);
            if !self.hears_zone(zone, now) {
                let mut others = self.ranked(zone, CONTACT_TIMEOUT, now);
                others.sort_unstable_by_key(|ip| spread(self.config.incarnation, *ip, self.seq));
                others.truncate(LOST_ZONE_CONTACTS);
                others.retain(|ip| !relays.contains(ip));
                relays.extend(others);
            }
            receivers.push((zone, relays));
        }
        receivers
    }

    /// Whether the sums of a zone arrive.
    fn hears_zone(&self, zone: ShortId, now: Mono) -> bool {
        let writer = self.zone_writers.get(&zone);
        let peer = writer.and_then(|writer| self.peers.get(writer));
        peer.is_some_and(|peer| now.saturating_sub(peer.last_received) < RELAY_TIMEOUT)
    }
}
