//! Which part caused the deaths of servers, from the deaths and survivals that are known.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::clock::Mono;

use super::Death;
use super::PoisonTracker;
use super::REVIEW_TIME;
use crate::entry::ShortId;
use crate::place::PartId;

/// Deaths after which a part is quarantined.
const DEATH_THRESHOLD: usize = 3;
/// The same while as many servers die of something else: the chance that a sound part is at several
/// of these deaths by coincidence grows with their number.
const DEATH_THRESHOLD_UNSTABLE: usize = 4;
/// Time for which deaths of other causes raise the threshold.
const UNSTABLE_TIME: Duration = Duration::from_secs(60);
/// Deaths within this time of the first of them count as one.
const BURST_TIME: Duration = Duration::from_millis(150);

/// Evidence against one part.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    /// Times of the deaths that count, in order.
    deaths: Vec<Mono>,
    /// Highest position of the part among the suspects of a death.
    position: usize,
}

impl PoisonTracker {
    /// Whether a part that was in quarantine at the time, or was quarantined for it, caused a death.
    pub(super) fn is_explained(&self, death: &Death) -> bool {
        let mut causes = death
            .suspects
            .iter()
            .filter_map(|part| self.quarantines.get(part));
        causes.any(|quarantine| death.at <= quarantine.until)
    }

    pub(super) fn evidence(&self) -> BTreeMap<PartId, Evidence> {
        let mut deaths: Vec<&Death> = self.deaths.values().collect();
        deaths.retain(|death| !self.is_explained(death));
        deaths.sort_by_key(|death| death.at);
        let mut evidence: BTreeMap<PartId, Evidence> = BTreeMap::new();
        for death in deaths {
            for (position, part) in death.suspects.iter().enumerate() {
                let survived = self.survivals.get(part);
                if survived.is_some_and(|began| *began >= death.at) {
                    continue;
                }
                let against = evidence.entry(*part).or_default();
                against.deaths.push(death.at);
                against.position = against.position.max(position);
            }
        }
        evidence
    }

    /// Returns the part with the strongest evidence if that is enough for a quarantine, and the
    /// number of deaths. Parts with weaker evidence wait for a decision on it, which may explain
    /// their deaths.
    pub(super) fn strongest_suspect(&self, now: Mono) -> Option<(PartId, usize)> {
        let evidence = self.evidence();
        let suspects = evidence.iter();
        let suspects = suspects.filter(|(part, against)| self.is_enough(**part, against, now));
        let strongest = suspects.max_by_key(|(part, against)| {
            let survived = self.survivals.get(part).copied();
            (
                burst_count(&against.deaths),
                Reverse(survived),
                against.position,
            )
        });
        let (part, against) = strongest?;
        let first = against.deaths.first()?;
        let is_reviewed = now.saturating_sub(*first) >= REVIEW_TIME;
        let is_decided = is_reviewed || !self.survivals.contains_key(part);
        is_decided.then_some((*part, against.deaths.len()))
    }

    fn is_enough(&self, part: PartId, against: &Evidence, now: Mono) -> bool {
        let others = self.deaths.values().filter(|death| {
            !death.suspects.contains(&part)
                && !self.is_explained(death)
                && now.saturating_sub(death.at) < UNSTABLE_TIME
        });
        let threshold = if self.quarantines.contains_key(&part) {
            1
        } else if others.count() < DEATH_THRESHOLD {
            DEATH_THRESHOLD
        } else {
            DEATH_THRESHOLD_UNSTABLE
        };
        burst_count(&against.deaths) >= threshold
    }

    /// Returns the strongest suspects of a death.
    pub(super) fn rank_suspects(
        &self,
        mut suspects: Vec<PartId>,
        most: usize,
        evidence: &BTreeMap<PartId, Evidence>,
    ) -> Vec<PartId> {
        let deaths_of = |part: &PartId| evidence.get(part).map_or(0, |found| found.deaths.len());
        if suspects.len() > most {
            suspects.sort_by_key(|part| (Reverse(deaths_of(part)), self.survivals.get(part)));
            suspects.truncate(most);
        }
        suspects
    }

    /// Ends the quarantines of parts most of whose deaths another quarantined part explains. If each
    /// of two parts explains the deaths of the other, the one that survived a run later, or else is
    /// the less specific, is released.
    pub(super) fn release_bystanders(&mut self, now: Mono) {
        let mut deaths: Vec<(PartId, BTreeSet<ShortId>)> = Vec::new();
        for part in self.quarantines.keys() {
            let own = self.deaths.iter();
            let own = own.filter(|(_, death)| death.suspects.contains(part));
            deaths.push((*part, own.map(|(server, _)| *server).collect()));
        }
        let stands_beside = |own: &BTreeSet<ShortId>, other: &BTreeSet<ShortId>| {
            own.difference(other).count() >= DEATH_THRESHOLD
        };
        let mut bystanders = Vec::new();
        for (part, own) in deaths.iter().filter(|(_, own)| !own.is_empty()) {
            let mut others = deaths.iter().filter(|(other, _)| other != part);
            let is_bystander = others.any(|(other, cause)| {
                own.intersection(cause).next().is_some()
                    && !stands_beside(own, cause)
                    && (stands_beside(cause, own) || self.strength(*part) < self.strength(*other))
            });
            if is_bystander {
                bystanders.push(*part);
            }
        }
        for part in bystanders {
            self.release(part, now);
        }
    }

    /// Orders parts with the same deaths by how likely they are the cause.
    fn strength(&self, part: PartId) -> (Reverse<Option<Mono>>, usize, PartId) {
        let position = |death: &Death| death.suspects.iter().position(|known| *known == part);
        let positions = self.deaths.values().filter_map(position);
        let survived = self.survivals.get(&part).copied();
        (Reverse(survived), positions.max().unwrap_or(0), part)
    }
}

/// Counts deaths in time order; those that come at once count as one.
fn burst_count(deaths: &[Mono]) -> usize {
    let mut bursts = 0;
    let mut burst_end = None;
    for at in deaths {
        if burst_end.is_none_or(|end| *at >= end) {
            bursts += 1;
            burst_end = Some(*at + BURST_TIME);
        }
    }
    bursts
}
