//! Learning: tables, servers, and what the other gateways tell.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Generation;
use primrose_core::id::PoolId;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use primrose_retry::BudgetConfig;
use serde::Serialize;

use super::Fleet;
use super::FleetConfig;
use super::Peer;
use crate::catalog::Catalog;
use crate::catalog::Tables;
use crate::digest::Digest;
use crate::digest::ServerRow;
use crate::entry::short_id;
use crate::entry::ServerEntry;
use crate::health::Counts;
use crate::server::Load;
use crate::server::ServerChange;
use crate::snapshot::Snapshot;

/// Gateways assumed before any was heard: dividing the retry slack by too many is safe.
pub(super) const SHARERS_AT_START: u32 = 12;
/// How long a silent gateway's sums count: its requests at servers outlive it for a while.
const PEER_MEMORY: Duration = Duration::from_secs(3);
/// How long an address is tried after it was last named or heard.
const CONTACT_MEMORY: Duration = Duration::from_secs(20);
/// Part of the fleet's retry slack that is handed out; the rest covers gateways that come and go.
const SLACK_PART: (u32, u32) = (3, 4);
/// Part of the retry ratio that is used, for the same reason.
const RATIO_PART: (u32, u32) = (3, 4);

/// What is believed of a server.
#[derive(Debug, Clone, Serialize)]
pub struct ServerStatus {
    /// The server.
    pub id: ServerId,
    /// Its pool.
    pub pool: PoolId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// What this gateway's requests take.
    pub own: Load,
    /// What the other gateways' requests take.
    pub fleet: Load,
    /// How much slower it is than its pool.
    pub slowness: f64,
}

impl FleetConfig {
    /// Bounds of one gateway's budget, if `sharers` gateways share the slack.
    pub(super) fn budget_bounds(&self, sharers: u32) -> BudgetConfig {
        let slack = self.retry_slack * SLACK_PART.0 / SLACK_PART.1;
        let burst = (slack / sharers).max(1);
        BudgetConfig {
            permille: self.retry_permille * RATIO_PART.0 / RATIO_PART.1,
            burst,
            reserve: burst,
        }
    }
}

impl Fleet {
    /// Puts tables into force, if they are newer; returns the generation before.
    pub fn adopt_tables(&mut self, tables: Tables) -> Option<Generation> {
        let before = self.generation();
        if tables.generation <= before {
            return None;
        }
        self.catalog = Some(Arc::new(Catalog::new(tables)));
        Some(before)
    }

    /// Generation of the tables in force; zero for none.
    pub fn generation(&self) -> Generation {
        self.catalog
            .as_ref()
            .map_or(0, |catalog| catalog.tables().generation)
    }

    /// Takes in an entry of the platform's list.
    pub fn upsert_server(&mut self, entry: ServerEntry, now: Mono) -> Vec<ServerChange> {
        self.servers.seen(entry, now)
    }

    /// Takes in that an entry was removed.
    pub fn remove_server(&mut self, id: &str, now: Mono) -> Vec<ServerChange> {
        self.servers.removed(id, now)
    }

    /// Takes in the whole list.
    pub fn replace_servers(&mut self, entries: Vec<ServerEntry>, now: Mono) -> Vec<ServerChange> {
        self.servers.replace(entries, now)
    }

    /// Records up to which change the list of servers is known.
    pub fn advance_list_version(&mut self, version: u64) {
        self.list_version = self.list_version.max(version);
    }

    /// Takes in that the platform answers again after an outage.
    pub fn record_outage_end(&mut self, now: Mono) {
        self.servers.record_outage_end(now);
    }

    /// What another gateway may take over.
    pub fn snapshot(&self) -> Snapshot {
        let tables = self.catalog.as_ref();
        Snapshot {
            tables: tables.map(|catalog| catalog.tables().clone()),
            servers: self.servers.iter().map(|s| s.entry.clone()).collect(),
            list_version: self.list_version,
            members_version: self.members_version,
        }
    }

    /// Takes over another gateway's list of servers, if it is newer.
    pub fn adopt_servers(&mut self, snapshot: &Snapshot, now: Mono) -> Vec<ServerChange> {
        if snapshot.list_version <= self.list_version || snapshot.servers.is_empty() {
            return Vec::new();
        }
        self.list_version = snapshot.list_version;
        self.record_membership_change(snapshot.members_version);
        self.servers.replace(snapshot.servers.clone(), now)
    }

    /// Records an address at which a gateway may be.
    pub fn add_contact(&mut self, ip: IpAddr, now: Mono) {
        if ip != self.config.ip {
            self.contacts.insert(ip, now);
        }
    }

    /// Addresses to tell.
    pub fn contacts(&self) -> Vec<IpAddr> {
        self.contacts.keys().copied().collect()
    }

    /// What to tell the other gateways now.
    pub fn digest(&mut self, now: Mono) -> Digest {
        self.seq += 1;
        let mut servers = Vec::new();
        for server in self.servers.iter_mut() {
            let counts = server.health.counts(now);
            if server.own != Load::default() || counts != Counts::default() {
                servers.push(ServerRow {
                    server: server.short_id,
                    load: server.own,
                    counts,
                });
            }
        }
        let mut digest = Digest {
            writer: self.config.incarnation,
            seq: self.seq,
            generation: self.generation(),
            list_version: self.list_version,
            members_version: self.members_version,
            zone: short_id(&self.config.zone),
            blind: self.list_unreadable_since.is_some(),
            servers,
            accounts: self.demand.own(now),
            broken: self.crashes.told(now),
            leaving: self.servers.marks(now),
            gone: self.servers.gone(now),
            peers: self.peers.values().map(|peer| peer.ip).collect(),
        };
        digest.trim();
        digest
    }

    /// Takes in a digest; returns changes of belief.
    pub fn merge(&mut self, digest: Digest, ip: IpAddr, now: Mono) -> Vec<ServerChange> {
        if digest.writer == self.config.incarnation {
            return Vec::new();
        }
        self.add_contact(ip, now);
        for peer in &digest.peers {
            let known = self.contacts.contains_key(peer);
            if !known {
                self.add_contact(*peer, now);
            }
        }
        let known = self.peers.get(&digest.writer);
        if known.is_some_and(|peer| peer.digest.seq >= digest.seq) {
            return Vec::new();
        }
        let mut changes = self.servers.merge_marks(&digest.leaving, now);
        changes.extend(self.servers.merge_gone(&digest.gone, now));
        self.crashes.merge(digest.writer, &digest.broken, now);
        self.forget_peer_at(ip, digest.writer);
        let before = self.peers.remove(&digest.writer);
        self.replace_sums(before.as_ref().map(|peer| &peer.digest), Some(&digest));
        let peer = Peer {
            ip,
            heard: now,
            digest,
        };
        self.peers.insert(peer.digest.writer, peer);
        self.share_slack();
        changes
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Mono) -> Vec<ServerChange> {
        let silent: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.heard) >= PEER_MEMORY)
            .map(|(writer, _)| *writer)
            .collect();
        for writer in silent {
            if let Some(peer) = self.peers.remove(&writer) {
                self.replace_sums(Some(&peer.digest), None);
            }
        }
        self.contacts
            .retain(|_, seen| now.saturating_sub(*seen) < CONTACT_MEMORY);
        self.kept.forget(now);
        self.crashes.forget(now);
        self.servers.expire(now)
    }

    /// Age of the oldest digest that counts; zero if none does.
    pub fn oldest_digest_age(&self, now: Mono) -> Duration {
        let ages = self.peers.values();
        let ages = ages.map(|peer| now.saturating_sub(peer.heard));
        ages.max().unwrap_or_default()
    }

    /// Requests that may be sent again at once, by pool.
    pub fn budgets(&self) -> Vec<(PoolId, u64)> {
        let pools = self.pools.iter();
        let left = pools.map(|(pool, state)| (pool.clone(), state.budget.available()));
        left.collect()
    }

    /// What is believed of each server, for operators.
    pub fn status(&self) -> Vec<ServerStatus> {
        let rows = self.servers.iter().map(|server| ServerStatus {
            id: server.entry.id.clone(),
            pool: server.entry.pool.clone(),
            zone: server.entry.zone.clone(),
            leaving: server.entry.leaving,
            own: server.own,
            fleet: self
                .others
                .get(&server.short_id)
                .copied()
                .unwrap_or_default()
                .0,
            slowness: server.slowness.factor(),
        });
        rows.collect()
    }

    /// Divides the retry slack anew when more gateways are heard; fewer may only be cut off.
    fn share_slack(&mut self) {
        let size = u32::try_from(self.gateway_count()).unwrap_or(u32::MAX);
        if size <= self.sharers {
            return;
        }
        self.sharers = size;
        let bounds = self.config.budget_bounds(size);
        for pool in self.pools.values_mut() {
            pool.budget.resize(bounds);
        }
    }

    /// Forgets an earlier start of the gateway at an address.
    fn forget_peer_at(&mut self, ip: IpAddr, writer: u64) {
        let old = self
            .peers
            .iter()
            .find(|(known, peer)| peer.ip == ip && **known < writer)
            .map(|(known, _)| *known);
        if let Some(peer) = old.and_then(|old| self.peers.remove(&old)) {
            self.replace_sums(Some(&peer.digest), None);
        }
    }

    fn replace_sums(&mut self, before: Option<&Digest>, now: Option<&Digest>) {
        let accounts = |digest: Option<&Digest>| {
            let rows = digest.map(|digest| digest.accounts.clone());
            rows.unwrap_or_default()
        };
        self.demand.merge(&accounts(before), &accounts(now));
        for row in before.into_iter().flat_map(|digest| &digest.servers) {
            if let Some((load, counts)) = self.others.get_mut(&row.server) {
                load.remove(row.load);
                counts.good = counts.good.saturating_sub(row.counts.good);
                counts.failed = counts.failed.saturating_sub(row.counts.failed);
            }
        }
        for row in now.into_iter().flat_map(|digest| &digest.servers) {
            let (load, counts) = self.others.entry(row.server).or_default();
            load.add(row.load);
            counts.good += row.counts.good;
            counts.failed += row.counts.failed;
        }
        let empty = (Load::default(), Counts::default());
        self.others.retain(|_, sums| *sums != empty);
    }
}
