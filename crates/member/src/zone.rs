//! The routers of this zone, according to their records.
//!
//! Two routers have a mutual link if each lists the other in its record. The live routers are those
//! that this router reaches over any number of mutual links. The record of a dead router does no
//! harm, because no other record lists the router any more.

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

/// Maximum number of records; far more than a zone has routers.
const MAX_RECORDS: usize = 1024;

/// The routers of this zone, with the paths to them.
#[derive(Debug)]
pub(crate) struct Zone {
    me: HostId,
    records: BTreeMap<HostId, Record>,
    /// First hop on the path to each live router, including this router itself.
    first_hops: BTreeMap<HostId, HostId>,
    /// When a router that is not live was last live, or when its last new record arrived.
    idle_since: BTreeMap<HostId, Mono>,
}

impl Zone {
    /// Creates a zone with only this router.
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

    /// Updates the record of this router; returns true if it changed.
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

    /// Merges the record of another router; returns true if it is newer than the known one.
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

    /// Recomputes the live routers and the first hops to them.
    pub(crate) fn update_reachability(&mut self, now: Mono) {
        let mut first_hops = BTreeMap::from([(self.me.clone(), self.me.clone())]);
        let mut queue = VecDeque::from([self.me.clone()]);
        while let Some(host) = queue.pop_front() {
            for neighbour in self.mutual_links(&host) {
                if first_hops.contains_key(neighbour) {
                    continue;
                }
                let first_hop = if host == self.me {
                    neighbour
                } else {
                    &first_hops[&host]
                };
                first_hops.insert(neighbour.clone(), first_hop.clone());
                queue.push_back(neighbour.clone());
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

    /// Returns the routers that have a mutual link with a router.
    fn mutual_links<'a>(&'a self, host: &'a HostId) -> impl Iterator<Item = &'a HostId> {
        let links = self.records.get(host).map(|r| &r.links[..]);
        let mutual = move |neighbour: &&HostId| {
            let theirs = self.records.get(*neighbour);
            theirs.is_some_and(|r| r.links.contains(host))
        };
        links.unwrap_or_default().iter().filter(mutual)
    }

    /// Removes the records of routers that have not been live for the retention time.
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

    /// Returns the records of the live routers, including this one.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Record> {
        self.first_hops
            .keys()
            .filter_map(|host| self.records.get(host))
    }

    /// Returns the records of the live routers that are not draining.
    pub(crate) fn eligible(&self) -> impl Iterator<Item = &Record> {
        self.live().filter(|record| !record.draining)
    }

    /// Returns the hosts to which the duties of the zone are assigned.
    ///
    /// Draining routers are included only if all live routers are draining.
    pub(crate) fn duty_hosts(&self) -> Vec<&str> {
        let all_draining = self.eligible().next().is_none();
        let hosts = self.live().filter(|r| all_draining || !r.draining);
        hosts.map(|r| r.member.host.as_str()).collect()
    }

    /// Returns the live router on a host.
    pub(crate) fn member(&self, host: &str) -> Option<&Member> {
        self.first_hops.get(host)?;
        self.records.get(host).map(|record| &record.member)
    }

    /// Returns the record of a router, live or not.
    pub(crate) fn record(&self, host: &str) -> Option<&Record> {
        self.records.get(host)
    }

    /// Whether a router of the zone has a link to another one, or is the other one.
    ///
    /// A router that is linked to the sender of a change gets the change from there, so the change
    /// is not forwarded to it; in a full mesh no change is forwarded. If a list of links is out of
    /// date, the change is still delivered once the digests are compared.
    pub(crate) fn has_link(&self, host: &HostId, other: &HostId) -> bool {
        let record = self.records.get(host);
        host == other || record.is_some_and(|record| record.links.contains(other))
    }

    /// Returns the first hop on the path to a live router.
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

/// Orders the records of one host by age.
fn version_order(record: &Record) -> (u64, u64) {
    (record.member.incarnation, record.version)
}
