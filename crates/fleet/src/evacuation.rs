//! Availability zones whose servers get no requests because the operators evacuated them.
//!
//! The platform's store holds the whole set. Gateways that read the store take the set from there,
//! and the others from digests and snapshots. A set has the version of the store up to which it is
//! complete; a newer version replaces the set, so it does not matter on which way it came.
//!
//! A store that was restored from an older copy may lack zones that are still to be evacuated, until
//! the operators write them again. Such zones stay evacuated for [`RESTORE_KEEP_TIME`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use primrose_core::clock::Mono;
use primrose_core::id::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::short_id;
use crate::entry::ShortId;

/// Place in the store's changes; see [`REVISION_BITS`]. Zero if the store was not read.
pub type Version = u64;

/// Bits of a version that hold the revision; those above hold the era of the store, which grows when
/// the store is restored from an older copy.
pub const REVISION_BITS: u32 = 40;
/// Maximum number of evacuated zones; twice the zones of the largest deployment.
pub const MAX_ZONES: usize = 64;
/// Time after a restore of the store for which zones stay evacuated that are missing only from the
/// restored copy. Operators write their keys again within about two seconds.
pub const RESTORE_KEEP_TIME: Duration = Duration::from_secs(3);
/// Maximum number of changes that wait to be logged: those of two whole sets.
const MAX_CHANGES: usize = 2 * MAX_ZONES;

/// What one gateway publishes of the evacuated zones. A report with version zero says nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Version up to which `zones` is complete.
    pub version: Version,
    /// Zones that are evacuated in the store.
    pub zones: Vec<ShortId>,
    /// Zones that were evacuated before the store was restored and are missing from the copy.
    pub kept: Vec<ShortId>,
}

/// Where a gateway learned of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EvacuationSource {
    /// The platform's store.
    #[display("platform")]
    Store,
    /// Another gateway.
    #[display("gateway")]
    Gateway,
    /// The time is over for which zones stay evacuated after a restore of the store.
    #[display("restore time over")]
    RestoreOver,
}

/// A zone that was evacuated or put back into use, as far as this gateway knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Short id of the zone.
    pub zone: ShortId,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
    /// Where the change was learned.
    pub source: EvacuationSource,
}

/// The evacuated zones that a gateway knows of.
#[derive(Debug, Default)]
pub struct Evacuations {
    version: Version,
    /// Zones that are evacuated in the store.
    zones: BTreeSet<ShortId>,
    /// Zones that are missing only from the restored copy of the store.
    kept: BTreeSet<ShortId>,
    /// Zones that the store of this era has named; they are not kept any more.
    settled: BTreeSet<ShortId>,
    /// When this gateway learned of the era of the store.
    era_since: Option<Mono>,
    /// Last version that this gateway knew of the era before; zero if it knew none.
    version_before: Version,
    /// Names of zones, as far as this gateway has read them in the store.
    names: BTreeMap<ShortId, ZoneId>,
    /// Changes that were not logged yet.
    changes: Vec<EvacuationChange>,
}

impl Evacuations {
    /// Returns the version up to which the set is complete; zero if nothing is known.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty() && self.kept.is_empty()
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: ShortId) -> bool {
        self.zones.contains(&zone) || self.kept.contains(&zone)
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> BTreeSet<ShortId> {
        &self.zones | &self.kept
    }

    /// Returns the name of a zone, if this gateway has read it in the store.
    pub fn name(&self, zone: ShortId) -> Option<&ZoneId> {
        self.names.get(&zone)
    }

    /// Returns what to publish to the other gateways.
    pub fn report(&self) -> EvacuationReport {
        EvacuationReport {
            version: self.version,
            zones: self.zones.iter().copied().collect(),
            kept: self.kept.iter().copied().collect(),
        }
    }

    /// Replaces the set by the whole list of the store, unless a newer one is known; returns the zones
    /// beyond [`MAX_ZONES`], which are not kept.
    pub fn replace(&mut self, names: Vec<ZoneId>, version: Version, now: Mono) -> Vec<ZoneId> {
        if version <= self.version {
            return Vec::new();
        }
        let mut names = names;
        let excess = names.split_off(names.len().min(MAX_ZONES));
        let zones = names.iter().map(|name| short_id(name)).collect();
        self.replace_zones(zones, version, EvacuationSource::Store, now);
        for name in names {
            self.record_name(name);
        }
        excess
    }

    /// Applies changes of the store up to a version, unless a newer version is known; returns the
    /// zones beyond [`MAX_ZONES`], which are not kept. The changes may begin before the known version:
    /// the last one of a zone says how it is in the end. Removals make room for the other zones.
    pub fn apply(
        &mut self,
        changes: Vec<(ZoneId, bool)>,
        version: Version,
        now: Mono,
    ) -> Vec<ZoneId> {
        if version <= self.version {
            return Vec::new();
        }
        let mut zones = self.zones.clone();
        let mut excess = Vec::new();
        let mut named = BTreeSet::new();
        for (zone, name, is_evacuated) in removals_first(changes) {
            if !is_evacuated {
                zones.remove(&zone);
            } else if zones.len() < MAX_ZONES || zones.contains(&zone) {
                zones.insert(zone);
                self.record_name(name);
            } else {
                excess.push(name);
                continue;
            }
            named.insert(zone);
        }
        let before = self.zones();
        self.set_zones(zones, version, now);
        self.settle(&named);
        self.record_changes(&before, EvacuationSource::Store);
        excess
    }

    /// Merges what another gateway published.
    pub fn merge(&mut self, report: &EvacuationReport, now: Mono) {
        if report.version == 0 {
            return;
        }
        if report.version > self.version {
            let zones = report.zones.iter().copied().take(MAX_ZONES).collect();
            self.replace_zones(zones, report.version, EvacuationSource::Gateway, now);
        }
        self.keep_reported(report, now);
    }

    /// Ends the time for which zones are kept after a restore.
    pub fn expire(&mut self, now: Mono) {
        if self.keeps(now) {
            return;
        }
        self.settled.clear();
        if !self.kept.is_empty() {
            let before = self.zones();
            self.kept.clear();
            self.record_changes(&before, EvacuationSource::RestoreOver);
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<EvacuationChange> {
        std::mem::take(&mut self.changes)
    }

    /// Whether zones that are missing from a restored copy may be kept.
    fn keeps(&self, now: Mono) -> bool {
        let since = self.era_since;
        since.is_some_and(|since| now.saturating_sub(since) < RESTORE_KEEP_TIME)
    }

    /// Keeps the zones of a gateway that knows more of the time before the restore than this one.
    fn keep_reported(&mut self, report: &EvacuationReport, now: Mono) {
        if !self.keeps(now) {
            return;
        }
        let is_earlier = era(report.version) < era(self.version);
        if is_earlier && report.version <= self.version_before {
            return;
        }
        let zones: &[ShortId] = if is_earlier { &report.zones } else { &[] };
        let before = self.zones();
        for zone in zones.iter().chain(&report.kept) {
            let is_known = self.contains(*zone) || self.settled.contains(zone);
            if !is_known && self.zones.len() + self.kept.len() < MAX_ZONES {
                self.kept.insert(*zone);
            }
        }
        self.record_changes(&before, EvacuationSource::Gateway);
    }

    fn replace_zones(
        &mut self,
        zones: BTreeSet<ShortId>,
        version: Version,
        source: EvacuationSource,
        now: Mono,
    ) {
        let before = self.zones();
        self.set_zones(zones, version, now);
        self.record_changes(&before, source);
    }

    fn set_zones(&mut self, zones: BTreeSet<ShortId>, version: Version, now: Mono) {
        let is_first = self.version == 0;
        if is_first || era(version) > era(self.version) {
            self.kept.append(&mut self.zones);
            self.settled.clear();
            self.era_since = Some(now);
            self.version_before = self.version;
        }
        self.settle(&zones);
        self.zones = zones;
        self.version = version;
        let room = MAX_ZONES - self.zones.len();
        while self.kept.len() > room {
            self.kept.pop_last();
        }
    }

    /// Goes by the store from now on for zones that it has named in this era.
    fn settle(&mut self, zones: &BTreeSet<ShortId>) {
        self.kept.retain(|zone| !zones.contains(zone));
        self.settled.extend(zones);
        while self.settled.len() > MAX_ZONES {
            self.settled.pop_last();
        }
    }

    fn record_name(&mut self, name: ZoneId) {
        if self.names.len() >= MAX_ZONES {
            let (zones, kept) = (&self.zones, &self.kept);
            self.names
                .retain(|zone, _| zones.contains(zone) || kept.contains(zone));
        }
        if self.names.len() < MAX_ZONES {
            self.names.insert(short_id(&name), name);
        }
    }

    fn record_changes(&mut self, before: &BTreeSet<ShortId>, source: EvacuationSource) {
        let after = self.zones();
        let changed = before.symmetric_difference(&after);
        let room = MAX_CHANGES.saturating_sub(self.changes.len());
        self.changes
            .extend(changed.take(room).map(|zone| EvacuationChange {
                zone: *zone,
                is_evacuated: after.contains(zone),
                source,
            }));
    }
}

/// Returns the last change of each zone, removals before additions.
fn removals_first(changes: Vec<(ZoneId, bool)>) -> Vec<(ShortId, ZoneId, bool)> {
    let mut seen = BTreeSet::new();
    let changes = changes.into_iter().rev();
    let mut last: Vec<_> = changes
        .map(|(name, is_evacuated)| (short_id(&name), name, is_evacuated))
        .filter(|(zone, ..)| seen.insert(*zone))
        .collect();
    last.reverse();
    last.sort_by_key(|(.., is_evacuated)| *is_evacuated);
    last
}

fn era(version: Version) -> u64 {
    version >> REVISION_BITS
}
