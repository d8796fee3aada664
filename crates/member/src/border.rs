//! Links to other zones and regions: which of them this router is responsible for.
//!
//! For every other zone of the region, rendezvous hashing selects a few routers of this zone as
//! border routers; for every other region, it selects a few zones of this region and one router in
//! each. A border router dials one router of the other zone or region and, if that fails, the next
//! one, until it is linked to any of them. Links that the other side dialed count as well.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use primrose_core::clock::Mono;
use primrose_core::id::HostId;
use primrose_core::id::RegionId;
use primrose_core::id::ZoneId;

use crate::fleet::Fleet;
use crate::rendezvous::ranking;
use crate::settings::Settings;
use crate::zone::Zone;

/// A zone or region that a border router has to be linked to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BorderTarget {
    /// Any router of the zone.
    Zone(ZoneId),
    /// Any router of the region.
    Region(RegionId),
}

impl BorderTarget {
    /// Whether a link to a router of this zone satisfies the target.
    pub(crate) fn accepts(&self, zone: &ZoneId, regions: Regions<'_>) -> bool {
        match self {
            Self::Zone(target) => target == zone,
            Self::Region(target) => target == regions.of(zone),
        }
    }

    /// Returns the name of the duty of linking to the target, which all routers must hash alike.
    fn duty(&self) -> String {
        match self {
            Self::Zone(zone) => format!("gateway to zone {zone}"),
            Self::Region(region) => format!("gateway to region {region}"),
        }
    }
}

/// Looks up the regions of zones.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Regions<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a Fleet,
}

impl<'a> Regions<'a> {
    /// Returns the region of a zone: as configured, else as reported, else this router's own.
    pub(crate) fn of(self, zone: &str) -> &'a str {
        let configured = self.settings.regions.get(zone);
        let reported = || self.fleet.report(zone).map(|report| &report.region);
        configured
            .or_else(reported)
            .map_or(self.settings.own_region(), String::as_str)
    }
}

/// A router that can be dialed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RouterEntry {
    pub(crate) zone: ZoneId,
    pub(crate) addr: SocketAddr,
}

/// Known routers by host, from the host list, the records and the reports.
pub(crate) type Directory = BTreeMap<HostId, RouterEntry>;

/// The router that is being dialed, by its position in the ranking, and since when.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    index: usize,
    since: Mono,
}

/// Dial attempts for the targets of this router that have no link.
#[derive(Debug, Default)]
pub(crate) struct BorderDials {
    attempts: BTreeMap<BorderTarget, Attempt>,
}

impl BorderDials {
    /// Chooses the router to dial for a target that has no link.
    pub(crate) fn choose_router<'a>(
        &mut self,
        target: &BorderTarget,
        regions: Regions<'_>,
        directory: &'a Directory,
        now: Mono,
    ) -> Option<(&'a HostId, &'a RouterEntry)> {
        let settings = regions.settings;
        let accepts = |entry: &RouterEntry| target.accepts(&entry.zone, regions);
        let hosts = directory.iter().filter(|(_, entry)| accepts(entry));
        let hosts = hosts.map(|(host, _)| host.as_str());
        // Each border router has its own ranking, which spreads the links over the other routers.
        let ranked = ranking(hosts, &settings.me.host);
        let first = Attempt {
            index: 0,
            since: now,
        };
        let current = self.attempts.entry(target.clone()).or_insert(first);
        if now.saturating_sub(current.since) >= settings.timing.border_dial_timeout {
            current.index = current.index.wrapping_add(1);
            current.since = now;
        }
        let index = current.index.checked_rem(ranked.len())?;
        directory.get_key_value(ranked[index])
    }

    /// Removes the dial attempt for a target that has a link.
    pub(crate) fn clear(&mut self, target: &BorderTarget) {
        self.attempts.remove(target);
    }

    /// Removes the dial attempts for targets that this router is no longer responsible for.
    pub(crate) fn retain(&mut self, targets: &[BorderTarget]) {
        self.attempts.retain(|target, _| targets.contains(target));
    }
}

/// Returns the targets that this router is responsible for.
pub(crate) fn assigned_targets(
    settings: &Settings,
    zone: &Zone,
    fleet: &Fleet,
    directory: &Directory,
) -> Vec<BorderTarget> {
    let mut zones: BTreeSet<&ZoneId> = directory.values().map(|entry| &entry.zone).collect();
    zones.extend(fleet.known());
    zones.remove(&settings.zone);
    let regions = Regions { settings, fleet };
    let mut targets = BTreeSet::new();
    for zone in zones {
        let region = regions.of(zone);
        if region == settings.own_region() {
            targets.insert(BorderTarget::Zone(zone.clone()));
        } else {
            targets.insert(BorderTarget::Region(region.to_owned()));
        }
    }
    let assigned = |target: &BorderTarget| is_assigned(target, settings, zone, fleet);
    targets.into_iter().filter(assigned).collect()
}

/// Whether this router is responsible for a target.
fn is_assigned(target: &BorderTarget, settings: &Settings, zone: &Zone, fleet: &Fleet) -> bool {
    let duty = target.duty();
    let ranked = ranking(zone.duty_hosts(), &duty);
    let me = settings.me.host.as_str();
    match target {
        BorderTarget::Zone(_) => ranked
            .iter()
            .take(settings.border_routers)
            .any(|host| *host == me),
        BorderTarget::Region(_) => {
            let regions = Regions { settings, fleet };
            let is_same_region = |zone: &&ZoneId| regions.of(zone) == settings.own_region();
            let same_region = fleet.reachable().filter(is_same_region);
            let zones = same_region.chain([&settings.zone]).map(String::as_str);
            let zones = ranking(zones, &duty);
            let chosen = zones.iter().take(settings.border_routers);
            ranked.first() == Some(&me) && chosen.into_iter().any(|z| *z == settings.zone)
        }
    }
}
