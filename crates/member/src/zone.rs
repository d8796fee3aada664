//! The routers of this zone, as their records show them.
//!
//! Two routers are joined if each lists the other in its record; the live routers are those joined
//! to this one, over any number of steps. A record of a dead router is harmless, because nobody
//! lists the router any more.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;

use primrose_core::clock::Mono;
use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use xxhash_rust::xxh3::Xxh3;

use crate::heartbeat::Record;
use crate::heartbeat::RecordVersion;

/// Most records that are kept, far beyond the routers of a zone.
const MAX_RECORDS: usize = 1024;

/// Routers of one zone.
#[derive(Debug)]
pub(crate) struct Zone {
    me: HostId,
    records: BTreeMap<HostId, Record>,
    /// For each live router, the peer over which it is reached; this router itself included.
    first_hops: BTreeMap<HostId, HostId>,
    /// When a router that is not live was last live or first heard of.
    idle_since: BTreeMap<HostId, Mono>,
}

impl Zone {
    /// Starts with this router alone.
    pub(crate) fn new(own: Record) -> Self {
        let me = own.member.host.clone();
        Self {
            records: BTreeMap::from([(me.clone(), own)]),
            first_hops: BTreeMap::from([(me.clone(), me.clone())]),
            idle_since: BTreeMap::new(),
            me,
        }
    }

    /// Returns the record of this router.
    pub(crate) fn own(&self) -> &Record {
        &self.records[&self.me]
    }

    /// Publishes a new state of this router; true if it differs from the last.
    pub(crate) fn publish(
        &mut self,
        draining: bool,
        links: Vec<HostId>,
        linked_zones: Vec<ZoneId>,
    ) -> bool {
        let own = self.own();
        if own.draining == draining && own.links == links && own.gates == linked_zones {
            return false;
        }
        let mut own = own.clone();
        own.version += 1;
        own.draining = draining;
        own.links = links;
        own.gates = linked_zones;
        self.records.insert(self.me.clone(), own);
        true
    }

    /// Takes the record of another router; true if it is newer than what was known.
    pub(crate) fn merge(&mut self, record: &Record, now: Mono) -> bool {
        let host = &record.member.host;
        let known = self.records.get(host);
        let newer = known.is_none_or(|old| version_order(old) < version_order(record));
        let full = known.is_none() && self.records.len() >= MAX_RECORDS;
        if *host == self.me || !newer || full {
            return false;
        }
        self.records.insert(host.clone(), record.clone());
        self.idle_since.insert(host.clone(), now);
        true
    }

    /// Finds the live routers anew.
    pub(crate) fn update_reachability(&mut self, now: Mono) {
        let mut first_hops = BTreeMap::from([(self.me.clone(), self.me.clone())]);
        let mut queue = VecDeque::from([self.me.clone()]);
        while let Some(host) = queue.pop_front() {
            for neighbor in self.mutual_links(&host) {
                if first_hops.contains_key(neighbor) {
                    continue;
                }
                let first_hop = if host == self.me {
                    neighbor
                } else {
                    &first_hops[&host]
                };
                first_hops.insert(neighbor.clone(), first_hop.clone());
                queue.push_back(neighbor.clone());
            }
        }
        for host in self
            .first_hops
            .keys()
            .filter(|host| !first_hops.contains_key(*host))
        {
            self.idle_since.insert(host.clone(), now);
        }
        self.first_hops = first_hops;
    }

    /// Returns the routers that list this one and are listed by it.
    fn mutual_links<'a>(&'a self, host: &'a HostId) -> impl Iterator<Item = &'a HostId> {
        let links = self.records.get(host).map(|r| &r.links[..]);
        let mutual = move |neighbor: &&HostId| {
            let theirs = self.records.get(*neighbor);
            theirs.is_some_and(|r| r.links.contains(host))
        };
        links.unwrap_or_default().iter().filter(mutual)
    }

    /// Drops records of routers that have not been live for long.
    pub(crate) fn expire(&mut self, retention: Mono, now: Mono) {
        let first_hops = &self.first_hops;
        self.idle_since
            .retain(|host, _| !first_hops.contains_key(host));
        let idle_since = &self.idle_since;
        self.records.retain(|host, _| {
            let since = idle_since.get(host);
            since.is_none_or(|since| now.saturating_sub(*since) < retention)
        });
        let records = &self.records;
        self.idle_since.retain(|host, _| records.contains_key(host));
    }

    /// Returns the records of the live routers, this one included.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Record> {
        self.first_hops
            .keys()
            .filter_map(|host| self.records.get(host))
    }

    /// Returns the live routers that take duties.
    pub(crate) fn eligible(&self) -> impl Iterator<Item = &Record> {
        self.live().filter(|record| !record.draining)
    }

    /// Returns the hosts among which the zone's own duties are shared out.
    ///
    /// Draining routers do them only while there is nobody else.
    pub(crate) fn duty_hosts(&self) -> Vec<&str> {
        let all_draining = self.eligible().next().is_none();
        let hosts = self.live().filter(|r| all_draining || !r.draining);
        hosts.map(|r| r.member.host.as_str()).collect()
    }

    /// Returns a live router.
    pub(crate) fn member(&self, host: &str) -> Option<&Member> {
        self.first_hops.get(host)?;
        self.records.get(host).map(|record| &record.member)
    }

    /// Returns a record, live or not.
    pub(crate) fn record(&self, host: &str) -> Option<&Record> {
        self.records.get(host)
    }

    /// Whether a router hears another of the zone over a link of its own, or is it.
    ///
    /// Who hears the one that news come from has them from there; in a full mesh nobody passes
    /// them on. A list of links that is out of date costs a repair, not the news.
    pub(crate) fn has_link(&self, host: &HostId, other: &HostId) -> bool {
        let record = self.records.get(host);
        host == other || record.is_some_and(|record| record.links.contains(other))
    }

    /// Returns the peer over which a live router is reached.
    pub(crate) fn first_hop(&self, host: &str) -> Option<&HostId> {
        self.first_hops.get(host)
    }

    /// Returns the versions of the live routers' records.
    pub(crate) fn versions(&self) -> Vec<RecordVersion> {
        let version = |record: &Record| RecordVersion {
            member: record.member.clone(),
            version: record.version,
        };
        self.live().map(version).collect()
    }

    /// Returns a digest of the live routers' records.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for record in self.live() {
            (&record.member, record.version).hash(&mut hash);
        }
        hash.finish()
    }
}

/// Orders the records of one host.
fn version_order(record: &Record) -> (u64, u64) {
    (record.member.incarnation, record.version)
}
