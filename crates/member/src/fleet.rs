//! The zones of the fleet, according to their reports.
//!
//! Two zones are neighbours if the report of each lists the other. Paths are shortest paths over
//! neighbouring zones, so the report of a zone that was cut off does no harm: its former neighbours
//! no longer list it.

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

/// Maximum number of zones; far more than any fleet has.
const MAX_ZONES: usize = 256;

/// Reports by zone, with the indexes and paths derived from them.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    reports: BTreeMap<ZoneId, Report>,
    /// For each reachable zone, the neighbouring zone that is first on the path.
    next_zones: BTreeMap<ZoneId, ZoneId>,
    /// Zone of each router in the reports.
    zones_by_host: BTreeMap<HostId, ZoneId>,
}

impl Fleet {
    /// Merges a report; returns true if it is newer than the known one.
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

    /// Rebuilds the index of zones by router.
    fn index_members(&mut self) {
        self.zones_by_host.clear();
        for report in self.reports.values() {
            for entry in &report.members {
                let zone = report.zone.clone();
                self.zones_by_host.insert(entry.member.host.clone(), zone);
            }
        }
    }

    /// Recomputes the paths from this router's zone, given the zones that it is linked to.
    pub(crate) fn update_reachability(&mut self, own_zone: &ZoneId, linked_zones: &[ZoneId]) {
        let mut next_zones: BTreeMap<ZoneId, ZoneId> = BTreeMap::new();
        let mut queue = VecDeque::new();
        for neighbour in linked_zones {
            if self.reports_link(neighbour, own_zone)
                && next_zones
                    .insert(neighbour.clone(), neighbour.clone())
                    .is_none()
            {
                queue.push_back(neighbour.clone());
            }
        }
        while let Some(zone) = queue.pop_front() {
            let next_zone = next_zones[&zone].clone();
            for neighbour in self.linked_zones(&zone) {
                let seen = neighbour == own_zone || next_zones.contains_key(neighbour);
                if !seen && self.reports_link(neighbour, &zone) {
                    next_zones.insert(neighbour.clone(), next_zone.clone());
                    queue.push_back(neighbour.clone());
                }
            }
        }
        self.next_zones = next_zones;
    }

    /// Whether the report of a zone lists a link to another zone.
    fn reports_link(&self, zone: &ZoneId, other: &ZoneId) -> bool {
        self.linked_zones(zone).contains(other)
    }

    /// Returns the zones that a zone is linked to, according to its report.
    fn linked_zones(&self, zone: &ZoneId) -> &[ZoneId] {
        let report = self.reports.get(zone);
        report.map_or(&[], |report| &report.gates)
    }

    /// Returns the report of a zone.
    pub(crate) fn report(&self, zone: &str) -> Option<&Report> {
        self.reports.get(zone)
    }

    /// Returns the live routers of a zone, according to its report.
    pub(crate) fn members(&self, zone: &str) -> &[MemberEntry] {
        let report = self.reports.get(zone);
        report.map_or(&[], |report| &report.members)
    }

    /// Returns the zone of a router.
    pub(crate) fn zone_of(&self, host: &str) -> Option<&ZoneId> {
        self.zones_by_host.get(host)
    }

    /// Returns the neighbouring zone that is first on the path to a zone.
    pub(crate) fn next_zone(&self, zone: &str) -> Option<&ZoneId> {
        self.next_zones.get(zone)
    }

    /// Returns the reachable zones.
    pub(crate) fn reachable(&self) -> impl Iterator<Item = &ZoneId> {
        self.next_zones.keys()
    }

    /// Returns all zones that have a report.
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

/// Orders the reports of one zone by age.
fn version_order(report: &Report) -> (u64, &primrose_core::id::Member) {
    (report.number, &report.author)
}
