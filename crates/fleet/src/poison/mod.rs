//! Detection of prompt parts that crash servers.
//!
//! A part of a prompt may crash each server that begins to answer a request with it, whatever else
//! the request holds. Such requests come from any caller and are never the same twice, so
//! [`CrashTracker`](crate::crash::CrashTracker), which counts runs of one request, does not see
//! them. This module counts the deaths of servers by part.
//!
//! When a connection breaks during an answer, the server is probed. If it is gone, the shared parts
//! of all requests that it had not answered for long become suspects of its death. Most of them are
//! innocent. A part is cleared of all deaths before the beginning of a run that survived, that is,
//! one that ended well or went on for [`SURVIVAL_TIME`]. Gateways exchange deaths and survivals. A
//! part with enough deaths is quarantined, which explains these deaths, so that they no longer
//! count against the parts that were on the same servers by chance. Of several such parts, the one
//! with the most deaths is taken, then the one that never survived a run.
//!
//! Deaths that come at once have a common cause such as a failed rack or link, and count as one.
//! When a quarantine is over, one further death renews it for a longer time.

mod evidence;
mod report;

pub use report::DeathReport;
pub use report::PoisonReport;
pub use report::QuarantineReport;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;

use crate::entry::ShortId;
use crate::place::PartId;

/// Time after its first event from which a run is taken to have survived.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Time from the first death to the quarantine of a part that survived runs before: if it is sound,
/// runs that begin after that death survive, and other gateways report them.
const REVIEW_TIME: Duration = Duration::from_secs(2);
/// Time for which a survival is remembered.
const SURVIVAL_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of parts whose survival is remembered.
const MAX_SURVIVALS: usize = 4_096;
/// Time for which a death counts.
const DEATH_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of deaths that are remembered; the newest are preferred.
const MAX_DEATHS: usize = 256;
/// Maximum number of suspects of one death; those of other deaths, and then those without a recent
/// survival, are preferred.
const MAX_SUSPECTS: usize = 128;
/// Time within which a death has to be confirmed after a connection broke.
const BREAK_LIFETIME: Duration = Duration::from_secs(10);
/// Time after a reported death from which data of the server shows that it is alive. Earlier data
/// may have been received before the death and read after it.
const ALIVE_MARGIN: Duration = Duration::from_millis(250);
/// Length of the first quarantine of a part; each further one is [`QUARANTINE_FACTOR`] times as
/// long, up to [`MAX_QUARANTINE`].
const QUARANTINE_TIME: Duration = Duration::from_secs(15 * 60);
/// Ratio of the lengths of two quarantines of one part in succession.
const QUARANTINE_FACTOR: u32 = 4;
/// Longest quarantine, and the time for which a past one is remembered.
const MAX_QUARANTINE: Duration = Duration::from_secs(24 * 3_600);
/// Time for which a death is published.
const PUBLISH_TIME: Duration = Duration::from_secs(5);
/// Maximum number of deaths in a digest; the newest are preferred.
const MAX_PUBLISHED_DEATHS: usize = 6;
/// Maximum number of suspects of one death in a digest.
const MAX_PUBLISHED_SUSPECTS: usize = 20;
/// Maximum number of survivals in a digest; the newest are preferred.
const MAX_PUBLISHED_SURVIVALS: usize = 24;
/// Maximum number of quarantined parts in a digest; the newest are preferred.
const MAX_PUBLISHED_QUARANTINES: usize = 32;

/// A server to be probed, since a connection to it broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// Short id of the server's incarnation.
    pub server: ShortId,
    /// Its address.
    pub addr: SocketAddr,
}

/// A change of the quarantined parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Requests with a part are refused from now on.
    Began {
        /// The quarantine.
        quarantine: QuarantineReport,
        /// Deaths that it explains, as this gateway knows them; zero if it was reported to it.
        deaths: usize,
    },
    /// A quarantine was ended, since it was wrong.
    Released(PartId),
}

#[derive(Debug)]
struct Break {
    at: Mono,
    suspects: Vec<PartId>,
}

#[derive(Debug)]
struct Death {
    at: Mono,
    suspects: Vec<PartId>,
}

#[derive(Debug, Clone, Copy)]
struct Quarantine {
    since: Mono,
    until: Mono,
    count: u32,
}

impl Quarantine {
    fn report(&self, part: PartId, now: Mono) -> QuarantineReport {
        QuarantineReport {
            part,
            age_ms: whole_millis(now.saturating_sub(self.since)),
            left_ms: whole_millis(self.until.saturating_sub(now)),
            count: self.count,
        }
    }
}

/// Deaths of servers by the prompt parts that may have caused them.
#[derive(Debug, Default)]
pub struct PoisonTracker {
    /// Servers with a broken connection whose deaths are not confirmed.
    breaks: BTreeMap<ShortId, Break>,
    probes: Vec<Probe>,
    deaths: BTreeMap<ShortId, Death>,
    /// When the latest run of each part began that survived.
    survivals: HashMap<PartId, Mono>,
    quarantines: BTreeMap<PartId, Quarantine>,
    /// Parts whose quarantine was ended as wrong, with the time from which it was.
    released: BTreeMap<PartId, Mono>,
    changes: Vec<QuarantineChange>,
    /// Time until which known evidence may still become enough for a quarantine.
    review_until: Mono,
}

impl PoisonTracker {
    /// Records that the connection to a server broke before a request had been answered for long.
    /// The server has to be probed if this is its first broken connection.
    pub fn record_break(&mut self, probe: Probe, parts: &[PartId], now: Mono) {
        if parts.is_empty() {
            return;
        }
        if self.deaths.contains_key(&probe.server) {
            self.add_death(probe.server, now, parts, now);
            return;
        }
        let known = self.breaks.entry(probe.server).or_insert_with(|| {
            self.probes.push(probe);
            Break {
                at: now,
                suspects: Vec::new(),
            }
        });
        known.at = now;
        add_suspects(&mut known.suspects, parts);
    }

    /// Returns the servers to probe that were not returned before.
    pub fn take_probes(&mut self) -> Vec<Probe> {
        std::mem::take(&mut self.probes)
    }

    /// Returns the servers whose deaths are not confirmed.
    pub fn unconfirmed(&self) -> impl Iterator<Item = ShortId> + '_ {
        self.breaks.keys().copied()
    }

    /// Records that a server with a broken connection is gone.
    pub fn confirm_death(&mut self, server: ShortId, now: Mono) {
        if let Some(broken) = self.breaks.remove(&server) {
            self.add_death(server, broken.at, &broken.suspects, now);
        }
    }

    /// Records that a server with a broken connection is alive.
    pub fn dismiss_break(&mut self, server: ShortId) {
        self.breaks.remove(&server);
    }

    /// Records that a run of a request with these parts survived; it began at `began`.
    pub fn record_survival(&mut self, parts: &[PartId], began: Mono) {
        for part in parts {
            let is_known = self.survivals.contains_key(part);
            if !is_known && self.survivals.len() >= MAX_SURVIVALS {
                continue;
            }
            let latest = self.survivals.entry(*part).or_insert(began);
            *latest = began.max(*latest);
            // It was on servers that something else crashed.
            let was_wrong = |quarantine: &Quarantine| began > quarantine.since;
            if self.quarantines.get(part).is_some_and(was_wrong) {
                self.release(*part, began);
            }
        }
    }

    /// Ends a quarantine that was wrong, as if a run that began at `began` had survived.
    fn release(&mut self, part: PartId, began: Mono) {
        self.quarantines.remove(&part);
        self.survivals.insert(part, began);
        self.released.insert(part, began);
        self.changes.push(QuarantineChange::Released(part));
    }

    /// Whether a part is a suspect of a death, or quarantined.
    pub fn is_suspect(&self, part: PartId) -> bool {
        let mut deaths = self.deaths.values();
        self.quarantines.contains_key(&part) || deaths.any(|death| death.suspects.contains(&part))
    }

    /// Returns how much longer requests with these parts are refused; none if they are not.
    pub fn refused_for(&self, parts: &[PartId], now: Mono) -> Option<Duration> {
        let quarantines = parts.iter().filter_map(|part| self.quarantines.get(part));
        let left = quarantines.map(|quarantine| quarantine.until.saturating_sub(now));
        left.max().filter(|left| !left.is_zero())
    }

    /// Returns the number of parts in quarantine.
    pub fn quarantined_count(&self, now: Mono) -> usize {
        let active = self.quarantines.values();
        active.filter(|quarantine| quarantine.until > now).count()
    }

    /// Returns the quarantines in force, and the parts that were released lately.
    pub fn states(&self, now: Mono) -> (Vec<QuarantineReport>, Vec<PartId>) {
        let active = self.quarantines.iter();
        let active = active.filter(|(_, quarantine)| quarantine.until > now);
        let reports = active.map(|(part, quarantine)| quarantine.report(*part, now));
        let released = self.released.keys().copied();
        (reports.collect(), released.collect())
    }

    /// Returns the quarantines that began or were ended as wrong since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Merges what another gateway published.
    pub fn merge(&mut self, report: &PoisonReport, now: Mono) {
        let before = |age_ms: u32| now.saturating_sub(millis(age_ms));
        for (part, age_ms) in &report.survivals {
            self.record_survival(&[*part], before(*age_ms));
        }
        for quarantine in &report.quarantined {
            self.adopt_quarantine(*quarantine, now);
        }
        for death in &report.deaths {
            self.confirm_death(death.server, now);
            self.add_death(death.server, before(death.age_ms), &death.suspects, now);
        }
    }

    /// Adopts a quarantine that another gateway began.
    pub fn adopt_quarantine(&mut self, report: QuarantineReport, now: Mono) {
        let left = millis(report.left_ms).min(MAX_QUARANTINE);
        let since = now.saturating_sub(millis(report.age_ms));
        let known = self.quarantines.get(&report.part);
        let is_known = known.is_some_and(|known| known.until > now || known.count >= report.count);
        let survived = self.survivals.get(&report.part);
        let was_wrong = survived.is_some_and(|began| *began > since);
        if is_known || was_wrong || left.is_zero() {
            return;
        }
        let quarantine = Quarantine {
            since,
            until: now + left,
            count: report.count,
        };
        self.quarantines.insert(report.part, quarantine);
        self.changes.push(QuarantineChange::Began {
            quarantine: report,
            deaths: 0,
        });
    }

    /// Quarantines the parts with enough evidence. `last_activity` returns when a server last sent
    /// data to this gateway.
    pub fn review(&mut self, last_activity: impl Fn(ShortId) -> Option<Mono>, now: Mono) {
        if now >= self.review_until {
            return;
        }
        self.deaths.retain(|server, death| {
            let is_alive = |at: Mono| at > death.at + ALIVE_MARGIN;
            !last_activity(*server).is_some_and(is_alive)
        });
        while let Some((part, deaths)) = self.strongest_suspect(now) {
            let count = self.quarantines.get(&part).map_or(0, |past| past.count) + 1;
            let factor = QUARANTINE_FACTOR.saturating_pow(count - 1);
            let length = QUARANTINE_TIME.saturating_mul(factor).min(MAX_QUARANTINE);
            let quarantine = Quarantine {
                since: now,
                until: now + length,
                count,
            };
            self.quarantines.insert(part, quarantine);
            self.changes.push(QuarantineChange::Began {
                quarantine: quarantine.report(part, now),
                deaths,
            });
        }
        self.release_bystanders(now);
    }

    /// Returns what to publish.
    pub fn report(&self, now: Mono) -> PoisonReport {
        let age_ms = |at: Mono| whole_millis(now.saturating_sub(at));
        let unexplained = self.deaths.iter().filter(|(_, death)| {
            !self.is_explained(death) && now.saturating_sub(death.at) < PUBLISH_TIME
        });
        let mut deaths: Vec<(&ShortId, &Death)> = unexplained.collect();
        deaths.sort_by_key(|(_, death)| Reverse(death.at));
        deaths.truncate(MAX_PUBLISHED_DEATHS);
        let evidence = if deaths.is_empty() {
            BTreeMap::new()
        } else {
            self.evidence()
        };
        let mut survivals: Vec<(PartId, u32)> = Vec::new();
        let suspects = deaths.iter().flat_map(|(_, death)| &death.suspects);
        let released = self.released.keys();
        for part in suspects.chain(self.quarantines.keys()).chain(released) {
            let age = self.survivals.get(part).map(|began| age_ms(*began));
            let is_listed = survivals.iter().any(|(listed, _)| listed == part);
            if let Some(age) = age.filter(|_| !is_listed) {
                survivals.push((*part, age));
            }
        }
        survivals.sort_by_key(|(_, age)| *age);
        survivals.truncate(MAX_PUBLISHED_SURVIVALS);
        let mut active: Vec<_> = self.quarantines.iter().collect();
        active.retain(|(_, quarantine)| quarantine.until > now);
        active.sort_by_key(|(_, quarantine)| Reverse(quarantine.since));
        active.truncate(MAX_PUBLISHED_QUARANTINES);
        let deaths = deaths.into_iter().map(|(server, death)| DeathReport {
            server: *server,
            age_ms: age_ms(death.at),
            suspects: self.rank_suspects(death.suspects.clone(), MAX_PUBLISHED_SUSPECTS, &evidence),
        });
        let quarantined = active
            .into_iter()
            .map(|(part, quarantine)| QuarantineReport {
                part: *part,
                age_ms: age_ms(quarantine.since),
                left_ms: whole_millis(quarantine.until.saturating_sub(now)),
                count: quarantine.count,
            });
        PoisonReport {
            deaths: deaths.collect(),
            survivals,
            quarantined: quarantined.collect(),
        }
    }

    /// Drops expired state.
    pub fn expire(&mut self, now: Mono) {
        let is_younger = |at: Mono, lifetime| now.saturating_sub(at) < lifetime;
        self.breaks
            .retain(|_, broken| is_younger(broken.at, BREAK_LIFETIME));
        self.deaths
            .retain(|_, death| is_younger(death.at, DEATH_LIFETIME));
        self.survivals
            .retain(|_, began| is_younger(*began, SURVIVAL_LIFETIME));
        self.released
            .retain(|_, began| is_younger(*began, SURVIVAL_LIFETIME));
        self.quarantines
            .retain(|_, quarantine| is_younger(quarantine.until, MAX_QUARANTINE));
    }

    fn add_death(&mut self, server: ShortId, at: Mono, suspects: &[PartId], now: Mono) {
        let death = self.deaths.entry(server).or_insert(Death {
            at,
            suspects: Vec::new(),
        });
        death.at = death.at.min(at);
        if !add_suspects(&mut death.suspects, suspects) {
            return;
        }
        self.review_until = now + REVIEW_TIME * 2;
        if death.suspects.len() > MAX_SUSPECTS {
            let suspects = std::mem::take(&mut death.suspects);
            let kept = self.rank_suspects(suspects, MAX_SUSPECTS, &self.evidence());
            if let Some(death) = self.deaths.get_mut(&server) {
                death.suspects = kept;
            }
        }
        if self.deaths.len() > MAX_DEATHS {
            let oldest = self.deaths.iter().min_by_key(|(_, death)| death.at);
            if let Some(oldest) = oldest.map(|(server, _)| *server) {
                self.deaths.remove(&oldest);
            }
        }
    }
}

/// Adds parts to the suspects of a death; returns whether one of them was new.
fn add_suspects(suspects: &mut Vec<PartId>, parts: &[PartId]) -> bool {
    let known = suspects.len();
    for part in parts {
        if !suspects.contains(part) {
            suspects.push(*part);
        }
    }
    suspects.len() > known
}

fn millis(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}

fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
