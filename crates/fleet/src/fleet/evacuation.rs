//! Evacuated zones: which servers get no requests, and what is published.

use std::collections::BTreeSet;

use primrose_core::clock::Mono;
use primrose_core::id::ZoneId;

use super::Fleet;
use super::PlacementRequest;
use crate::entry::ShortId;
use crate::evacuation::EvacuationChange;
use crate::evacuation::EvacuationReport;
use crate::evacuation::Version;
use crate::server::Server;

impl Fleet {
    /// Replaces the evacuated zones by the whole list of the store, unless a newer one is known;
    /// returns the zones that are too many.
    pub fn replace_evacuations(
        &mut self,
        zones: Vec<ZoneId>,
        version: Version,
        now: Mono,
    ) -> Vec<ZoneId> {
        self.evacuations.replace(zones, version, now)
    }

    /// Applies changes of the store up to a version: zones, and whether they are evacuated. Returns
    /// the zones that are too many.
    pub fn change_evacuations(
        &mut self,
        changes: Vec<(ZoneId, bool)>,
        version: Version,
        now: Mono,
    ) -> Vec<ZoneId> {
        self.evacuations.apply(changes, version, now)
    }

    /// Merges the evacuated zones that another gateway published.
    pub fn merge_evacuations(&mut self, report: &EvacuationReport, now: Mono) {
        self.evacuations.merge(report, now);
    }

    /// Returns the zones that were evacuated or put back into use since the last call.
    pub fn take_evacuation_changes(&mut self) -> Vec<EvacuationChange> {
        self.evacuations.take_changes()
    }

    /// Returns the evacuated zones.
    pub fn evacuated_zones(&self) -> BTreeSet<ShortId> {
        self.evacuations.zones()
    }

    /// Returns the name of a zone if it is known, or else its short id.
    pub fn zone_name(&self, zone: ShortId) -> ZoneId {
        if let Some(name) = self.evacuations.name(zone) {
            return name.clone();
        }
        let server = self.servers.iter().find(|server| server.zone == zone);
        server.map_or_else(|| format!("{zone:x}"), |server| server.entry.zone.clone())
    }

    /// Returns the number of known servers of a zone.
    pub fn servers_in_zone(&self, zone: ShortId) -> usize {
        let servers = self.servers.iter();
        servers.filter(|server| server.zone == zone).count()
    }

    /// Whether a server is in an evacuated zone.
    pub(super) fn is_evacuated(&self, server: &Server) -> bool {
        self.evacuations.contains(server.zone)
    }

    /// Whether the only servers that could run a request are in evacuated zones.
    pub(super) fn is_pool_evacuated(&self, request: &PlacementRequest) -> bool {
        if self.evacuations.is_empty() {
            return false;
        }
        let servers = self.servers.iter();
        let mut able = servers.filter(|server| super::placement::may_run(server, request));
        let first = able.next();
        first.is_some_and(|first| self.is_evacuated(first))
            && able.all(|server| self.is_evacuated(server))
    }

    /// Returns the part of a token rate that the servers of a pool outside evacuated zones make up.
    pub(super) fn remaining_rate(&self, rate: u64, pool: &str) -> u64 {
        if self.evacuations.is_empty() {
            return rate;
        }
        let servers = self.servers.iter();
        let servers =
            servers.filter(|server| server.entry.pool == pool && server.accepts_requests());
        let (mut all, mut remaining) = (0_u32, 0_u32);
        for server in servers {
            all += 1;
            remaining += u32::from(!self.is_evacuated(server));
        }
        (rate as f64 * f64::from(remaining) / f64::from(all.max(1))) as u64
    }
}
