//! Updates of tables and servers, and exchange of digests with the other gateways.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Generation;
use primrose_core::id::Incarnation;
use primrose_core::id::PoolId;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use primrose_retry::BudgetConfig;
use serde::Serialize;

use super::cost::published_load;
use super::roles::Role;
use super::Fleet;
use super::FleetConfig;
use super::Peer;
use crate::catalog::Catalog;
use crate::catalog::Tables;
use crate::cold::MAX_PUBLISHED;
use crate::demand::per_second;
use crate::digest::Digest;
use crate::digest::DigestScope;
use crate::digest::RelayInfo;
use crate::digest::ServerRow;
use crate::entry::short_id;
use crate::entry::ServerEntry;
use crate::health::AnswerCounts;
use crate::server::Load;
use crate::server::ServerChange;
use crate::snapshot::Snapshot;

/// Number of gateways assumed at the start: dividing the retry slack by too many is safe.
pub(super) const INITIAL_SHARERS: u32 = 12;
/// Time for which the sums of a silent gateway count: its requests may still run on the servers for
/// a while.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which digests are sent to an address after it was last configured, listed by the
/// platform or sent one. A mention in the digest of another gateway adds an address, but does not
/// renew a known one.
const CONTACT_LIFETIME: Duration = Duration::from_secs(20);
/// Silence of a gateway after which a digest of another incarnation at its address is not taken for
/// a late one. A process takes longer to start.
const INCARNATION_CHANGE_TIME: Duration = Duration::from_millis(300);
/// Fraction of the fleet's retry slack that is divided among the gateways; the rest is a margin for
/// gateways that join or restart.
const SLACK_FRACTION: (u32, u32) = (3, 4);
/// Fraction of the fleet's retry ratio that is used; the rest is a margin for gateways that join or
/// restart.
const RATIO_FRACTION: (u32, u32) = (3, 4);

/// State of a server, as one gateway knows it.
#[derive(Debug, Clone, Serialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub id: ServerId,
    /// Pool of the server.
    pub pool: PoolId,
    /// Availability zone of the server.
    pub zone: ZoneId,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Load of this gateway's requests.
    pub own: Load,
    /// Load of the other gateways' requests.
    pub fleet: Load,
    /// Ratio of its times to first event to the pool's.
    pub slowness: f64,
    /// Its speed relative to the pool, learned over the fleet; one if the pool's servers do not report
    /// how long work takes.
    pub speed: f64,
}

impl FleetConfig {
    /// Returns the bounds of one gateway's retry budget if the slack is divided among
    /// `slack_sharers` gateways.
    pub(super) fn budget_bounds(&self, slack_sharers: u32) -> BudgetConfig {
        let slack = self.retry_slack * SLACK_FRACTION.0 / SLACK_FRACTION.1;
        let burst = (slack / slack_sharers).max(1);
        BudgetConfig {
            permille: self.retry_permille * RATIO_FRACTION.0 / RATIO_FRACTION.1,
            burst,
            reserve: burst,
        }
    }
}

impl Fleet {
    /// Puts tables into force if they are newer; returns the previous generation, or none if they are
    /// not newer.
    pub fn adopt_tables(&mut self, tables: Tables) -> Option<Generation> {
        let previous = self.generation();
        if tables.generation <= previous {
            return None;
        }
        self.origins.replace_routes(&tables.routes);
        self.catalog = Some(Arc::new(Catalog::new(tables)));
        self.drop_never_cold();
        Some(previous)
    }

    /// Returns the generation of the tables in force; zero for none.
    pub fn generation(&self) -> Generation {
        self.catalog
            .as_ref()
            .map_or(0, |catalog| catalog.tables().generation)
    }

    /// Adds or updates an entry of the platform's list.
    pub fn upsert_server(&mut self, entry: ServerEntry, now: Mono) -> Vec<ServerChange> {
        // Also the build of a server that the next change removes may have begun streams.
        self.record_listed(&entry, now);
        let cold = self.listed_cold(&entry);
        let changes = self.servers.upsert(entry, now);
        self.record_listed_cold(cold, now);
        changes
    }

    /// Returns the version of a server's software, if the server is known.
    pub fn server_version(&self, id: &str) -> Option<String> {
        let server = self.servers.get(id)?;
        Some(server.entry.version.clone())
    }

    /// Removes a server whose entry was removed from the platform's list.
    pub fn remove_server(&mut self, id: &str, now: Mono) -> Vec<ServerChange> {
        self.servers.remove(id, now)
    }

    /// Replaces the known servers by the whole list.
    pub fn replace_servers(&mut self, entries: Vec<ServerEntry>, now: Mono) -> Vec<ServerChange> {
        for entry in &entries {
            self.record_listed(entry, now);
        }
        let cold: Vec<_> = entries
            .iter()
            .map(|entry| self.listed_cold(entry))
            .collect();
        let changes = self.servers.replace(entries, now);
        for listed in cold {
            self.record_listed_cold(listed, now);
        }
        changes
    }

    /// Records the version up to which the list of servers is known.
    pub fn advance_list_version(&mut self, version: u64) {
        self.list_version = self.list_version.max(version);
    }

    /// Records that the platform is available again after an outage.
    pub fn record_outage_end(&mut self, now: Mono) {
        self.servers.record_outage_end(now);
    }

    /// Returns a snapshot of the tables and servers for another gateway.
    pub fn snapshot(&self) -> Snapshot {
        let tables = self.catalog.as_ref();
        Snapshot {
            tables: tables.map(|catalog| catalog.tables().clone()),
            servers: self.servers.iter().map(|s| s.entry.clone()).collect(),
            list_version: self.list_version,
            members_version: self.members_version,
            evacuations: self.evacuations.report(),
        }
    }

    /// Adopts the list of servers of another gateway if it is newer.
    pub fn adopt_servers(&mut self, snapshot: &Snapshot, now: Mono) -> Vec<ServerChange> {
        if snapshot.list_version <= self.list_version || snapshot.servers.is_empty() {
            return Vec::new();
        }
        self.list_version = snapshot.list_version;
        self.record_membership_change(snapshot.members_version);
        self.replace_servers(snapshot.servers.clone(), now)
    }

    /// Records an address at which there may be a gateway.
    pub fn add_contact(&mut self, ip: IpAddr, now: Mono) {
        if ip != self.config.ip {
            self.contacts.insert(ip, now);
        }
    }

    /// Returns the addresses to which digests are sent.
    pub fn contacts(&self) -> Vec<IpAddr> {
        self.contacts.keys().copied().collect()
    }

    /// Returns the next digest for the other gateways.
    pub fn digest(&mut self, now: Mono) -> Digest {
        self.seq += 1;
        let mut servers = Vec::new();
        for server in self.servers.iter_mut() {
            let counts = server.health.counts(now);
            if server.local_load != Load::default() || counts != AnswerCounts::default() {
                servers.push(ServerRow {
                    server: server.short_id,
                    load: published_load(server.local_load),
                    counts,
                    speed: server.cost.speed.sums(now),
                    report: server.cost.work_time.report(now),
                });
            }
        }
        let origins = self.origins_to_publish();
        let mut digest = Digest {
            writer: self.config.incarnation,
            seq: self.seq,
            generation: self.generation(),
            list_version: self.list_version,
            members_version: self.members_version,
            zone: short_id(&self.config.zone),
            list_unreadable: self.list_unreadable_since.is_some(),
            servers,
            accounts: self.demand.local_sums(now),
            begun: self.demand.local_begun(now),
            flow: self.demand.local_flow(now),
            has_rates: true,
            cost_pools: self.cost.pools_to_publish(now),
            broken_runs: self.crashes.to_publish(now),
            poison: self.poison.report(now),
            limits: self.limits.report(now),
            origins,
            evacuations: self.evacuations.report(),
            leaving: self.servers.recent_leaving(now),
            removed: self.servers.recent_removed(now),
            cold: self.cold_digest(MAX_PUBLISHED, now),
            peers: self.peers.values().map(|peer| peer.ip).collect(),
            relay: RelayInfo {
                scope: DigestScope::Gateway,
                capacity: self.config.capacity,
                // A gateway that knows few others asks for what they know.
                wants_view: self.role == Role::Mesh,
                overloaded: self.overloaded,
                demand: self.own_demand.level(),
                gateways: 1,
                ..RelayInfo::default()
            },
        };
        digest.trim();
        digest
    }

    /// Merges a digest; returns the changes of servers that it caused.
    pub fn merge(&mut self, mut digest: Digest, ip: IpAddr, now: Mono) -> Vec<ServerChange> {
        if digest.writer == self.config.incarnation {
            return Vec::new();
        }
        self.add_contact(ip, now);
        for peer in &digest.peers {
            let is_known = self.contacts.contains_key(peer);
            if !is_known {
                self.add_contact(*peer, now);
            }
        }
        let known = self.peers.get(&digest.writer);
        if known.is_some_and(|peer| peer.digest.seq >= digest.seq) {
            return Vec::new();
        }
        let is_new = known.is_none();
        if !self.remove_other_incarnation(ip, digest.writer, now) {
            return Vec::new();
        }
        self.record_gateways(&digest, ip, now);
        let mut changes = self.servers.merge_leaving(&digest.leaving, now);
        changes.extend(self.servers.merge_removed(&digest.removed, now));
        self.crashes.merge(digest.writer, &digest.broken_runs, now);
        for (writer, fingerprint, runs) in &digest.relay.broken_runs {
            if *writer != self.config.incarnation {
                self.crashes.merge(*writer, &[(*fingerprint, *runs)], now);
            }
        }
        self.poison.merge(&digest.poison, now);
        self.limits.merge(digest.writer, &digest.limits, now);
        self.merge_cold(&digest.cold, now);
        self.merge_origins(&digest, now);
        if is_new {
            self.publish_origins_to(ip, now);
        }
        self.evacuations.merge(&digest.evacuations, now);
        self.merge_cost(&digest, now);
        self.adopt_joins_version(&digest);
        if !digest.has_rates {
            self.estimate_rates(&mut digest);
        }
        let previous = self.peers.remove(&digest.writer).map(|peer| peer.digest);
        let previous = previous.filter(|digest| self.counts(digest));
        let current = Some(&digest).filter(|digest| self.counts(digest));
        self.replace_sums(previous.as_ref(), current);
        let peer = Peer {
            ip,
            last_received: now,
            digest,
        };
        self.peers.insert(peer.digest.writer, peer);
        self.divide_retry_slack();
        changes
    }

    /// Fills in what a digest of an older build does not hold.
    fn estimate_rates(&self, digest: &mut Digest) {
        digest.flow.begun = per_second(digest.begun);
        for (_, sums) in &mut digest.accounts {
            self.demand.estimate_present(sums);
        }
        digest.has_rates = true;
    }

    /// Drops expired state; returns the changes of servers that this caused.
    pub fn expire(&mut self, now: Mono) -> Vec<ServerChange> {
        let timed_out: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.last_received) >= PEER_TIMEOUT)
            .map(|(writer, _)| *writer)
            .collect();
        for writer in timed_out {
            self.remove_peer(writer);
        }
        self.update_role(now);
        self.contacts
            .retain(|_, seen| now.saturating_sub(*seen) < CONTACT_LIFETIME);
        self.prefix_cache.expire(now);
        self.crashes.expire(now);
        self.poison.expire(now);
        self.limits.expire(now);
        self.expire_origins(now);
        self.evacuations.expire(now);
        self.update_demand(now);
        self.divide_limits(now);
        self.divide_cold(now);
        self.review_deaths(now);
        self.update_speeds(now);
        self.servers.expire(now)
    }

    /// Sets whether this gateway refuses requests because it does not keep up; published to the
    /// others.
    pub fn set_overloaded(&mut self, overloaded: bool) {
        self.overloaded = overloaded;
    }

    /// Returns the number of gateways in this availability zone, this one included, and of those
    /// others that do not keep up.
    pub fn zone_load(&self) -> (usize, usize) {
        let zone = short_id(&self.config.zone);
        let others = self.peers.values().map(|peer| &peer.digest);
        let others = others.filter(|digest| digest.zone == zone && self.counts(digest));
        others.fold((1, 0), |(gateways, overloaded), digest| {
            let (more, busy) = match digest.relay.scope {
                DigestScope::Gateway => (1, u32::from(digest.relay.overloaded)),
                // A view counts this gateway, too.
                _ => (digest.relay.zone_load.0 - 1, digest.relay.zone_load.1),
            };
            (gateways + more as usize, overloaded + busy as usize)
        })
    }

    /// Returns the age of the oldest digest in use; zero if there is none.
    pub fn oldest_digest_age(&self, now: Mono) -> Duration {
        let ages = self.peers.values();
        let ages = ages.map(|peer| now.saturating_sub(peer.last_received));
        ages.max().unwrap_or_default()
    }

    /// Returns the number of retries that are allowed right now, by pool.
    pub fn budgets(&self) -> Vec<(PoolId, u64)> {
        let pools = self.pools.iter();
        let remaining = pools.map(|(pool, state)| (pool.clone(), state.budget.available()));
        remaining.collect()
    }

    /// Returns the state of each server, for operators.
    pub fn status(&self) -> Vec<ServerStatus> {
        let rows = self.servers.iter().map(|server| ServerStatus {
            id: server.entry.id.clone(),
            pool: server.entry.pool.clone(),
            zone: server.entry.zone.clone(),
            leaving: server.entry.leaving,
            own: server.local_load,
            fleet: self
                .peer_sums
                .get(&server.short_id)
                .copied()
                .unwrap_or_default()
                .0,
            slowness: server.slowness.factor(),
            speed: server.cost.speed.factor(),
        });
        rows.collect()
    }

    /// Divides the retry slack again when the fleet grows. When the fleet seems to shrink, the slack
    /// stays divided as before, since the missing gateways may only be cut off.
    fn divide_retry_slack(&mut self) {
        let size = u32::try_from(self.gateway_count()).unwrap_or(u32::MAX);
        if size <= self.slack_sharers {
            return;
        }
        self.slack_sharers = size;
        let bounds = self.config.budget_bounds(size);
        for pool in self.pools.values_mut() {
            pool.budget.resize(bounds);
        }
    }

    /// Drops another incarnation of the gateway at an address; returns whether this one is the
    /// current one. Incarnations are start times by the wall clock, which may have been set back:
    /// one that is lower is current once the other has been silent.
    fn remove_other_incarnation(&mut self, ip: IpAddr, writer: Incarnation, now: Mono) -> bool {
        let others = self.peers.iter();
        let mut others = others.filter(|(known, peer)| peer.ip == ip && **known != writer);
        let Some((other, peer)) = others.next() else {
            return true;
        };
        let silence = now.saturating_sub(peer.last_received);
        if *other > writer && silence < INCARNATION_CHANGE_TIME {
            return false;
        }
        let other = *other;
        self.remove_peer(other);
        true
    }

    /// Drops a gateway and its sums.
    fn remove_peer(&mut self, writer: Incarnation) {
        if let Some(peer) = self.peers.remove(&writer) {
            if self.counts(&peer.digest) {
                self.replace_sums(Some(&peer.digest), None);
            }
        }
    }

    /// Replaces the sums of a gateway's previous digest by those of its current one.
    pub(super) fn replace_sums<'a>(
        &mut self,
        previous: Option<&'a Digest>,
        current: Option<&'a Digest>,
    ) {
        let accounts = |digest: Option<&Digest>| {
            let rows = digest.map(|digest| digest.accounts.clone());
            rows.unwrap_or_default()
        };
        self.demand.merge(&accounts(previous), &accounts(current));
        let rows = |digest: Option<&'a Digest>| digest.map_or(&[][..], |digest| &digest.servers);
        self.cost.speeds.replace(rows(previous), rows(current));
        let flow = |digest: Option<&Digest>| digest.map(|digest| digest.flow);
        let flow = |digest| flow(digest).unwrap_or_default();
        self.demand.merge_flow(flow(previous), flow(current));
        for row in previous.into_iter().flat_map(|digest| &digest.servers) {
            if let Some((load, counts)) = self.peer_sums.get_mut(&row.server) {
                load.remove(row.load);
                counts.good = counts.good.saturating_sub(row.counts.good);
                counts.failed = counts.failed.saturating_sub(row.counts.failed);
            }
        }
        for row in current.into_iter().flat_map(|digest| &digest.servers) {
            let (load, counts) = self.peer_sums.entry(row.server).or_default();
            load.add(row.load);
            counts.good += row.counts.good;
            counts.failed += row.counts.failed;
        }
        let empty = (Load::default(), AnswerCounts::default());
        self.peer_sums.retain(|_, sums| *sums != empty);
    }
}
