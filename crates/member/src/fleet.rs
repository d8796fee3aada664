//! All zones, as their reports show them.
//!
//! Two zones are joined if the report of each lists the other. Paths over zones are shortest paths
//! over those joints, so a report of a zone that was cut off is harmless: its neighbours no longer
//! list it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;

use primrose_core::id::HostId;
use primrose_core::id::ZoneId;
use xxhash_rust::xxh3::Xxh3;

use crate::heartbeat::MemberEntry;
use crate::heartbeat::Report;
use crate::heartbeat::ReportVersion;

/// Most zones that are kept, far beyond those of any fleet.
const MAX_ZONES: usize = 256;

/// Reports by zone, and what follows from them.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    reports: BTreeMap<ZoneId, Report>,
    /// For each zone that can be reached, the neighbouring zone on the way.
    next_zones: BTreeMap<ZoneId, ZoneId>,
    /// Zone of each router in the reports.
    zones_by_host: BTreeMap<HostId, ZoneId>,
}

impl Fleet {
    /// Takes a report; true if it is newer than what was known.
    pub(crate) fn merge(&mut self, report: &Report) -> bool {
        let known = self.reports.get(&report.zone);
        let newer = known.is_none_or(|old| version_order(old) < version_order(report));
        let full = known.is_none() && self.reports.len() >= MAX_ZONES;
        if !newer || full {
            return false;
        }
        self.reports.insert(report.zone.clone(), report.clone());
        self.index_members();
        true
    }

    /// Finds the zone of each router anew.
    fn index_members(&mut self) {
        self.zones_by_host.clear();
        for report in self.reports.values() {
            for entry in &report.members {
                let zone = report.zone.clone();
                self.zones_by_host.insert(entry.member.host.clone(), zone);
            }
        }
    }

    /// Finds the paths from a zone with these joints anew.
    pub(crate) fn update_reachability(&mut self, own_zone: &ZoneId, linked_zones: &[ZoneId]) {
        let mut next_zones: BTreeMap<ZoneId, ZoneId> = BTreeMap::new();
        let mut queue = VecDeque::new();
        for neighbor in linked_zones {
            if self.reports_link(neighbor, own_zone)
                && next_zones
                    .insert(neighbor.clone(), neighbor.clone())
                    .is_none()
            {
                queue.push_back(neighbor.clone());
            }
        }
        while let Some(zone) = queue.pop_front() {
            let next_zone = next_zones[&zone].clone();
            for neighbor in self.linked_zones(&zone) {
                let seen = neighbor == own_zone || next_zones.contains_key(neighbor);
                if !seen && self.reports_link(neighbor, &zone) {
                    next_zones.insert(neighbor.clone(), next_zone.clone());
                    queue.push_back(neighbor.clone());
                }
            }
        }
        self.next_zones = next_zones;
    }

    /// Whether the report of a zone lists another as linked.
    fn reports_link(&self, zone: &ZoneId, other: &ZoneId) -> bool {
        self.linked_zones(zone).contains(other)
    }

    /// Returns the zones that a zone is linked to.
    fn linked_zones(&self, zone: &ZoneId) -> &[ZoneId] {
        let report = self.reports.get(zone);
        report.map_or(&[], |report| &report.gates)
    }

    /// Returns the report of a zone.
    pub(crate) fn report(&self, zone: &str) -> Option<&Report> {
        self.reports.get(zone)
    }

    /// Returns the routers of a zone.
    pub(crate) fn members(&self, zone: &str) -> &[MemberEntry] {
        let report = self.reports.get(zone);
        report.map_or(&[], |report| &report.members)
    }

    /// Returns the zone of a router.
    pub(crate) fn zone_of(&self, host: &str) -> Option<&ZoneId> {
        self.zones_by_host.get(host)
    }

    /// Returns the neighbouring zone on the way to a zone.
    pub(crate) fn next_zone(&self, zone: &str) -> Option<&ZoneId> {
        self.next_zones.get(zone)
    }

    /// Returns the zones that can be reached.
    pub(crate) fn reachable(&self) -> impl Iterator<Item = &ZoneId> {
        self.next_zones.keys()
    }

    /// Returns all zones that are known.
    pub(crate) fn known(&self) -> impl Iterator<Item = &ZoneId> {
        self.reports.keys()
    }

    /// Returns the versions of all reports.
    pub(crate) fn versions(&self) -> Vec<ReportVersion> {
        let version = |report: &Report| ReportVersion {
            zone: report.zone.clone(),
            number: report.number,
            author: report.author.clone(),
        };
        self.reports.values().map(version).collect()
    }

    /// Returns a digest of all reports.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        self.versions().hash(&mut hash);
        hash.finish()
    }
}

/// Orders the reports of one zone.
fn version_order(report: &Report) -> (u64, &primrose_core::id::Member) {
    (report.number, &report.author)
}
