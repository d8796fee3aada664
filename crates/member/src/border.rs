//! Links to other zones: which of them are this router's to make.
//!
//! Towards every other zone of the region, rendezvous hashing names a few routers of the zone as
//! gateways; towards every other region, it names a few zones of the region and one router in each.
//! A gateway dials one router over there and, if that fails, the next, until it is linked to any.
//! Links that the other side dialed count as well.

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

/// Something that this router has to be linked to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BorderTarget {
    /// Any router of the zone.
    Zone(ZoneId),
    /// Any router of the region.
    Region(RegionId),
}

impl BorderTarget {
    /// Whether routers of a zone meet the goal.
    pub(crate) fn accepts(&self, zone: &ZoneId, regions: Regions<'_>) -> bool {
        match self {
            Self::Zone(target) => target == zone,
            Self::Region(target) => target == regions.of(zone),
        }
    }

    /// Names the duty of being the gateway.
    fn duty(&self) -> String {
        match self {
            Self::Zone(zone) => format!("gateway to zone {zone}"),
            Self::Region(region) => format!("gateway to region {region}"),
        }
    }
}

/// Tells which region a zone is in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Regions<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a Fleet,
}

impl<'a> Regions<'a> {
    /// Returns the region of a zone: as set, else as reported, else this router's own.
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

/// Routers that are known of, from the host list and from reports.
pub(crate) type Directory = BTreeMap<HostId, RouterEntry>;

/// Which router is being tried.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    index: usize,
    since: Mono,
}

/// The goals of this router.
#[derive(Debug, Default)]
pub(crate) struct BorderDials {
    attempts: BTreeMap<BorderTarget, Attempt>,
}

impl BorderDials {
    /// Chooses whom to dial for a goal that is not met.
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
        // Every gateway has an order of its own, so that the links spread over the other side.
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

    /// Forgets the tries for a goal that is met.
    pub(crate) fn clear(&mut self, target: &BorderTarget) {
        self.attempts.remove(target);
    }

    /// Forgets the tries for goals that are no longer this router's.
    pub(crate) fn retain(&mut self, targets: &[BorderTarget]) {
        self.attempts.retain(|target, _| targets.contains(target));
    }
}

/// Returns the goals that fall to this router.
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

/// Whether a goal falls to this router.
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
