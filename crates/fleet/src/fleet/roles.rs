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
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Incarnation;

use super::Fleet;
use crate::digest::Contact;
use crate::digest::Digest;
use crate::digest::DigestScope;
use crate::digest::RelayInfo;
use crate::digest::ServerRow;
use crate::entry::short_id;
use crate::entry::ShortId;
use crate::place::share_key;

/// Minimum interval between two digests. Within it, two gateways may select the same free server,
/// which costs a wait of one prompt; about one request in ten arrives this soon after another.
const MIN_MESH_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval with relays, whose views are longer.
const MIN_RELAY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval for each receiver, which bounds the datagrams per second.
const INTERVAL_PER_RECEIVER: Duration = Duration::from_millis(6);
/// Largest fleet in which each gateway sends its digest to all others.
pub const MAX_MESH: usize = 12;
/// Relays of a zone; one of them may be lost without a gap.
const RELAY_COUNT: usize = 2;
/// Gateways to which a gateway without a view sends its digest.
const FALLBACK_RELAY_COUNT: usize = 4;
/// Time without a digest after which a gateway is not taken for a relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age of a view at which a gateway asks another relay for one.
const VIEW_TIMEOUT: Duration = Duration::from_millis(900);
/// Age of a view from which on a newer one of another relay is used instead.
const VIEW_REPLACE_TIME: Duration = Duration::from_millis(700);
/// Time for which a gateway of another zone is remembered.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(60);
/// Gateways that a relay names as further sources of a snapshot.
const MAX_SOURCES: usize = 6;
/// Contacts in a combined digest.
const MAX_CONTACTS: usize = 160;
/// Contacts in a combined digest besides relays and the receiver's zone.
const SAMPLE_CONTACTS: usize = 6;
/// Gateways of a zone that its relays are told of by those of another zone.
const NAMED_RELAYS: usize = 4;
/// Gateways to which the relays are named in one round.
const MAX_REFERRALS: usize = 8;
/// Gateways of a zone that are tried at a time while none of its relays is heard of.
const LOST_ZONE_CONTACTS: usize = 4;

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
    zone: ShortId,
    capacity: u32,
    last_seen: Mono,
}

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
            last_seen: now,
        };
        self.known.insert(ip, writer);
        let own_ip = self.config.ip;
        for contact in digest.relay.contacts.iter().filter(|c| c.ip != own_ip) {
            let age = Duration::from_millis(u64::from(contact.age_ms));
            let seen = KnownGateway {
                zone: contact.zone,
                capacity: contact.capacity,
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
        let is_small = self.known.len() < MAX_MESH;
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
    fn ranked(&self, zone: ShortId, timeout: Duration, now: Mono) -> Vec<IpAddr> {
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

    fn relays_of(&self, zone: ShortId, now: Mono) -> Vec<IpAddr> {
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

    fn member_digests(
        &self,
        mut own: Digest,
        view: Option<Incarnation>,
        now: Mono,
    ) -> Vec<Outgoing> {
        let mut relays = self.ranked(self.own_zone(), RELAY_TIMEOUT, now);
        relays.retain(|ip| *ip != self.config.ip);
        let view_from = view.and_then(|view| self.peers.get(&view));
        let is_fresh = |peer: &&super::Peer| now.saturating_sub(peer.last_received) < VIEW_TIMEOUT;
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
        let is_recent =
            |peer: &&super::Peer| now.saturating_sub(peer.last_received) < RELAY_TIMEOUT;
        let is_relay = self.is_relay();
        let is_lost = |peer: &&super::Peer| {
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

    fn relay_digests(&self, mut own: Digest, now: Mono) -> Vec<Outgoing> {
        let zone = self.own_zone();
        let mut outgoing = Vec::new();
        let is_recent = |peer: &&super::Peer| {
            let digest = &peer.digest;
            let is_member = digest.relay.scope == DigestScope::Gateway && digest.zone == zone;
            is_member && now.saturating_sub(peer.last_received) < RELAY_TIMEOUT
        };
        let members: Vec<&super::Peer> = self.peers.values().filter(is_recent).collect();
        let mut relays = self.relays_of(zone, now);
        relays.retain(|ip| *ip != self.config.ip);
        let view = self.combined(&own, DigestScope::Fleet, now);
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

    /// Adds the sums of this gateway and of those digests that belong to a scope.
    fn combined(&self, own: &Digest, scope: DigestScope, now: Mono) -> Digest {
        let mut sums: BTreeMap<ShortId, ServerRow> = BTreeMap::new();
        let mut accounts: BTreeMap<ShortId, crate::demand::TokenSums> = BTreeMap::new();
        let counted = self.peers.values().map(|peer| &peer.digest);
        let counted = counted.filter(|digest| {
            let belongs = scope == DigestScope::Fleet || digest.zone == own.zone;
            belongs && self.counts(digest)
        });
        let mut info = RelayInfo {
            scope,
            capacity: own.relay.capacity,
            overloaded: own.relay.overloaded,
            gateways: 1,
            zone_load: (1, u32::from(own.relay.overloaded)),
            ..RelayInfo::default()
        };
        for digest in counted.chain([own]) {
            for row in &digest.servers {
                let sum = sums.entry(row.server).or_insert(ServerRow {
                    server: row.server,
                    load: crate::server::Load::default(),
                    counts: crate::health::AnswerCounts::default(),
                });
                sum.load.add(row.load);
                sum.counts.good += row.counts.good;
                sum.counts.failed += row.counts.failed;
            }
            for (account, tokens) in &digest.accounts {
                accounts.entry(*account).or_default().add(*tokens);
            }
            if digest.writer == own.writer {
                continue;
            }
            info.gateways += digest.relay.gateways.max(1);
            if digest.zone == own.zone {
                info.zone_load.0 += 1;
                info.zone_load.1 += u32::from(digest.relay.overloaded);
            }
            let runs = digest.broken_runs.iter();
            let runs = runs.map(|(fingerprint, runs)| (digest.writer, *fingerprint, *runs));
            info.broken_runs.extend(runs);
            info.broken_runs
                .extend(digest.relay.broken_runs.iter().copied());
        }
        if scope == DigestScope::Fleet {
            info.contacts = self.zone_contacts(now);
        }
        info.contacts.extend(self.sample_contacts(now));
        info.contacts.truncate(MAX_CONTACTS);
        info.sources = self.snapshot_holders();
        Digest {
            servers: sums.into_values().collect(),
            accounts: accounts.into_iter().collect(),
            peers: Vec::new(),
            relay: info,
            ..own.clone()
        }
    }

    /// Returns the gateways of this zone that are heard of.
    fn zone_contacts(&self, now: Mono) -> Vec<Contact> {
        let zone = self.own_zone();
        let known = self.known.iter().filter(|(_, gateway)| {
            gateway.zone == zone && now.saturating_sub(gateway.last_seen) < RELAY_TIMEOUT
        });
        known
            .map(|(ip, gateway)| contact(*ip, gateway, now))
            .collect()
    }

    /// Returns some gateways of all zones, others each time: should all relays of a zone be lost,
    /// the other zones know more of its gateways.
    fn sample_contacts(&self, now: Mono) -> Vec<Contact> {
        let mut known: Vec<(u64, Contact)> = Vec::with_capacity(self.known.len());
        for (ip, gateway) in &self.known {
            let order = spread(self.config.incarnation, *ip, self.seq);
            known.push((order, contact(*ip, gateway, now)));
        }
        known.sort_unstable_by_key(|(order, _)| *order);
        let sample = known.into_iter().take(SAMPLE_CONTACTS);
        sample.map(|(_, contact)| contact).collect()
    }

    /// Returns the relays of all zones.
    fn relay_contacts(&self, now: Mono) -> Vec<Contact> {
        let zones: BTreeSet<ShortId> = self.known.values().map(|gateway| gateway.zone).collect();
        let relays = zones.into_iter().flat_map(|zone| self.relays_of(zone, now));
        let relays = relays.filter_map(|ip| {
            let gateway = self.known.get(&ip)?;
            let is_recent = now.saturating_sub(gateway.last_seen) < RELAY_TIMEOUT;
            is_recent.then(|| contact(ip, gateway, now))
        });
        relays.collect()
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

    /// Returns gateways of this zone whose tables and servers are as new as this gateway's.
    fn snapshot_holders(&self) -> Vec<IpAddr> {
        let holders = self.peers.values().filter(|peer| {
            let digest = &peer.digest;
            digest.relay.scope == DigestScope::Gateway
                && digest.zone == self.own_zone()
                && digest.generation == self.generation()
                && digest.members_version >= self.members_version
        });
        holders.map(|peer| peer.ip).take(MAX_SOURCES).collect()
    }
}

fn contact(ip: IpAddr, gateway: &KnownGateway, now: Mono) -> Contact {
    let age = now.saturating_sub(gateway.last_seen);
    Contact {
        ip,
        zone: gateway.zone,
        capacity: gateway.capacity,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Removes the sums of one writer from a digest that includes them.
fn remove_writer(digest: &mut Digest, writer: &Digest) {
    for row in &writer.servers {
        if let Ok(index) = digest
            .servers
            .binary_search_by_key(&row.server, |row| row.server)
        {
            let sum = &mut digest.servers[index];
            sum.load.remove(row.load);
            sum.counts.good = sum.counts.good.saturating_sub(row.counts.good);
            sum.counts.failed = sum.counts.failed.saturating_sub(row.counts.failed);
        }
    }
    for (account, tokens) in &writer.accounts {
        if let Ok(index) = digest.accounts.binary_search_by_key(account, |(id, _)| *id) {
            digest.accounts[index].1.remove(*tokens);
        }
    }
    digest.relay.gateways = digest.relay.gateways.saturating_sub(1);
    digest
        .relay
        .broken_runs
        .retain(|(id, ..)| *id != writer.writer);
    let own_share = u32::from(writer.relay.overloaded);
    digest.relay.zone_load.1 = digest.relay.zone_load.1.saturating_sub(own_share);
}

/// Orders two gateways for the same snapshot.
pub(super) fn spread(own: Incarnation, other: IpAddr, seq: u64) -> u64 {
    share_key([own, u64::from(short_id(&other.to_string())), seq])
}
