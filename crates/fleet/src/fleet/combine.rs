//! Combination of the digests of many gateways into one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;

use primrose_core::clock::Mono;
use primrose_core::id::Incarnation;

use super::cost::forwarded;
use super::roles::KnownGateway;
use super::roles::RELAY_TIMEOUT;
use super::Fleet;
use crate::cold::MAX_COMBINED;
use crate::cost::WorkReport;
use crate::cost::MAX_PUBLISHED_POOLS;
use crate::demand::FlowRates;
use crate::demand::TokenSums;
use crate::digest::Contact;
use crate::digest::Digest;
use crate::digest::DigestScope;
use crate::digest::RelayInfo;
use crate::digest::ServerRow;
use crate::entry::short_id;
use crate::entry::ShortId;
use crate::health::AnswerCounts;
use crate::place::share_key;
use crate::server::Load;
use crate::speed::SpeedSums;

/// Gateways that a relay names as further sources of a snapshot.
const MAX_SOURCES: usize = 6;
/// Contacts in a combined digest.
const MAX_CONTACTS: usize = 160;
/// Contacts in a combined digest besides relays and the receiver's zone.
const SAMPLE_CONTACTS: usize = 6;

impl Fleet {
    /// Adds the sums of this gateway and of those digests that belong to a scope.
    pub(super) fn combined(&self, own: &Digest, scope: DigestScope, now: Mono) -> Digest {
        let mut sums: BTreeMap<ShortId, ServerRow> = BTreeMap::new();
        let mut accounts: BTreeMap<ShortId, TokenSums> = BTreeMap::new();
        let counted = self.peers.values();
        let counted = counted.map(|peer| (&peer.digest, peer.last_received));
        let counted = counted.filter(|(digest, _)| {
            let belongs = scope == DigestScope::Fleet || digest.zone == own.zone;
            belongs && self.counts(digest)
        });
        let mut info = RelayInfo {
            scope,
            capacity: own.relay.capacity,
            overloaded: own.relay.overloaded,
            demand: own.relay.demand,
            gateways: 1,
            zone_load: (1, u32::from(own.relay.overloaded)),
            ..RelayInfo::default()
        };
        let mut begun = 0;
        let mut flow = FlowRates::default();
        let mut cost_pools = BTreeSet::new();
        for (digest, received) in counted.chain([(own, now)]) {
            begun += digest.begun;
            flow.add(digest.flow);
            cost_pools.extend(&digest.cost_pools);
            for row in &digest.servers {
                let sum = sums.entry(row.server).or_insert(ServerRow {
                    server: row.server,
                    load: Load::default(),
                    counts: AnswerCounts::default(),
                    speed: SpeedSums::default(),
                    report: None,
                });
                sum.speed.add(row.speed);
                let report = forwarded(row.report, received, now);
                sum.report = WorkReport::newer(sum.report, report);
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
            begun,
            flow,
            cold: self.cold_digest(MAX_COMBINED, now),
            cost_pools: cost_pools.into_iter().take(MAX_PUBLISHED_POOLS).collect(),
            peers: Vec::new(),
            relay: info,
            ..own.clone()
        }
    }

    /// Returns the gateways of this zone that are heard of.
    pub(super) fn zone_contacts(&self, now: Mono) -> Vec<Contact> {
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
    pub(super) fn sample_contacts(&self, now: Mono) -> Vec<Contact> {
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
    pub(super) fn relay_contacts(&self, now: Mono) -> Vec<Contact> {
        let zones: BTreeSet<ShortId> = self.known.values().map(|gateway| gateway.zone).collect();
        let relays = zones.into_iter().flat_map(|zone| self.relays_of(zone, now));
        let relays = relays.filter_map(|ip| {
            let gateway = self.known.get(&ip)?;
            let is_recent = now.saturating_sub(gateway.last_seen) < RELAY_TIMEOUT;
            is_recent.then(|| contact(ip, gateway, now))
        });
        relays.collect()
    }

    /// Returns gateways of this zone whose tables and servers are as new as this gateway's.
    pub(super) fn snapshot_holders(&self) -> Vec<IpAddr> {
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

pub(super) fn contact(ip: IpAddr, gateway: &KnownGateway, now: Mono) -> Contact {
    let age = now.saturating_sub(gateway.last_seen);
    Contact {
        ip,
        zone: gateway.zone,
        capacity: gateway.capacity,
        demand: gateway.demand,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Removes the sums of one writer from a digest that includes them.
pub(super) fn remove_writer(digest: &mut Digest, writer: &Digest) {
    for row in &writer.servers {
        if let Ok(index) = digest
            .servers
            .binary_search_by_key(&row.server, |row| row.server)
        {
            let sum = &mut digest.servers[index];
            sum.load.remove(row.load);
            sum.speed.remove(row.speed);
            sum.counts.good = sum.counts.good.saturating_sub(row.counts.good);
            sum.counts.failed = sum.counts.failed.saturating_sub(row.counts.failed);
        }
    }
    for (account, tokens) in &writer.accounts {
        if let Ok(index) = digest.accounts.binary_search_by_key(account, |(id, _)| *id) {
            digest.accounts[index].1.remove(*tokens);
        }
    }
    digest.begun = digest.begun.saturating_sub(writer.begun);
    digest.flow.remove(writer.flow);
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
