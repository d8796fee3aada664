//! The register of suspects of one router or dispatcher.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AccountId;
use primrose_core::id::RouteId;
use primrose_core::id::ServerId;

use crate::entry::Crash;
use crate::entry::Entry;
use crate::record::Clearing;
use crate::record::Death;
use crate::record::Lift;
use crate::record::Message;
use crate::record::Strike;
use crate::record::UnixMillis;

/// Number of records at which a [`Register::snapshot`] starts the next message.
pub const SNAPSHOT_MESSAGE_RECORDS: usize = 128;

/// Limits of a register.
#[derive(Debug, Clone)]
pub struct Limits {
    /// How long records are kept.
    pub retention: Duration,
    /// How long a fingerprint is refused after its second strike; each further strike multiplies
    /// the time by four, up to `retention`.
    pub refusal: Duration,
    /// Number of other servers whose death at the same time shows that the request is not the
    /// cause.
    pub mass_deaths: usize,
    /// Deaths no further apart than this count as simultaneous.
    pub mass_death_window: Duration,
    /// Maximum number of fingerprints kept.
    pub max_fingerprints: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3600),
            refusal: Duration::from_secs(15 * 60),
            mass_deaths: 3,
            mass_death_window: Duration::from_secs(5),
            max_fingerprints: 10_000,
        }
    }
}

/// Whether requests with a fingerprint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintStatus {
    /// It may run like any other.
    Clear,
    /// It may run only in isolation, on the one server of its pool reserved for suspects.
    Suspect,
    /// It must not run, because it is presumed to crash servers.
    Refused {
        /// Time until it may run again.
        retry_after: Duration,
    },
}

/// A suspect as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedSuspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether it may run.
    pub status: FingerprintStatus,
    /// Client account of the request.
    pub account: AccountId,
    /// Route of the request.
    pub route: RouteId,
    /// Servers that died while it was in flight on them.
    pub servers: Vec<ServerId>,
    /// Time of the last of these deaths.
    pub last_death: UnixMillis,
}

/// Strikes, clearings and lifts by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Register {
    limits: Limits,
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Register {
    /// Creates an empty register.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
        }
    }

    /// Returns whether requests with a fingerprint may run.
    pub fn status(&self, fingerprint: Fingerprint, now: UnixMillis) -> FingerprintStatus {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return FingerprintStatus::Clear;
        };
        let oldest = self.oldest_counted(now);
        let crashes: Vec<Crash> = entry.crashes();
        let crashes: Vec<Crash> = crashes.into_iter().filter(|c| c.at >= oldest).collect();
        let (mut strikes, isolated) = self.count_strikes(fingerprint, &crashes);
        // A suspected death counts only in addition to an observed one.
        if strikes == 1 && entry.abandoned_elsewhere(&crashes, oldest) {
            strikes += 1;
        }
        let last_death = crashes.last().map_or(0, |crash| crash.at);
        match self.remaining_refusal(strikes, last_death, now) {
            Some(retry_after) => FingerprintStatus::Refused { retry_after },
            None if isolated => FingerprintStatus::Suspect,
            None => FingerprintStatus::Clear,
        }
    }

    /// Returns the number of strikes, and whether the request has to run in isolation.
    ///
    /// A server that dies at the same time as several servers without the fingerprint has another
    /// cause of death, such as a rack or a network failure. Such a mass death counts as one strike,
    /// so that a poison request whose crashes coincide with mass deaths is still refused after the
    /// second one. It does not isolate the request: all requests of a failed rack would wait for
    /// hours to run one at a time.
    fn count_strikes(&self, fingerprint: Fingerprint, crashes: &[Crash]) -> (u32, bool) {
        let mut strikes = 0;
        let mut isolated = crashes.len() > 1;
        let mut last_mass_death: Option<UnixMillis> = None;
        for crash in crashes {
            if self.unrelated_deaths(fingerprint, crash) < self.limits.mass_deaths {
                strikes += 1;
                isolated = true;
                continue;
            }
            let window = millis(self.limits.mass_death_window);
            let same = last_mass_death.is_some_and(|at| crash.at.saturating_sub(at) <= window);
            strikes += u32::from(!same);
            last_mass_death = Some(crash.at);
        }
        (strikes, isolated)
    }

    /// Counts the servers that died at the same time as `crash` without the fingerprint.
    fn unrelated_deaths(&self, fingerprint: Fingerprint, crash: &Crash) -> usize {
        let window = millis(self.limits.mass_death_window);
        let in_window = |strike: &&Strike| !strike.weak && strike.at.abs_diff(crash.at) <= window;
        let own_servers = self.entries.get(&fingerprint);
        let own_servers: Vec<&ServerId> = own_servers
            .iter()
            .flat_map(|entry| entry.strikes())
            .filter(in_window)
            .map(|strike| &strike.server)
            .collect();
        let mut others: Vec<&ServerId> = self
            .entries
            .values()
            .flat_map(Entry::strikes)
            .filter(in_window)
            .map(|strike| &strike.server)
            .filter(|server| !own_servers.contains(server))
            .collect();
        others.sort();
        others.dedup();
        others.len()
    }

    /// Returns how much longer a fingerprint with this many strikes is refused, if it is.
    fn remaining_refusal(
        &self,
        strikes: u32,
        last_death: UnixMillis,
        now: UnixMillis,
    ) -> Option<Duration> {
        let further_strikes = strikes.checked_sub(2)?;
        let factor = 4_u32.saturating_pow(further_strikes);
        let refusal_time = self
            .limits
            .refusal
            .saturating_mul(factor)
            .min(self.limits.retention);
        let remaining = last_death
            .saturating_add(millis(refusal_time))
            .saturating_sub(now);
        (remaining > 0).then(|| Duration::from_millis(remaining))
    }

    /// Records the death of a server; returns the new records, for the other routers.
    pub fn server_died(&mut self, death: &Death, now: UnixMillis) -> Message {
        self.record_strikes(death, false, now)
    }

    /// Records that attempts were abandoned on a server that had stopped responding.
    ///
    /// The server may still run them and die without this router observing it. That counts as a
    /// strike only for a fingerprint that was in flight at the death of another server.
    pub fn attempts_abandoned(&mut self, death: &Death, now: UnixMillis) -> Message {
        self.record_strikes(death, true, now)
    }

    /// Adds a strike for each attempt in flight; `weak` if the death is only suspected.
    fn record_strikes(&mut self, death: &Death, weak: bool, now: UnixMillis) -> Message {
        let strikes = death.in_flight.iter().map(|in_flight| Strike {
            fingerprint: in_flight.fingerprint,
            attempt: in_flight.attempt,
            server: death.server.clone(),
            run: death.run,
            pool: death.pool.clone(),
            account: in_flight.account.clone(),
            route: in_flight.route.clone(),
            since: in_flight.since,
            weak,
            at: now,
        });
        let message = Message {
            strikes: strikes.collect(),
            ..Message::default()
        };
        self.merge(&message, now)
    }

    /// Records that an attempt completed; clears the strikes up to its start.
    pub fn completed(
        &mut self,
        fingerprint: Fingerprint,
        started: UnixMillis,
        now: UnixMillis,
    ) -> Message {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Message::default();
        };
        let cleared = entry.active_strikes().filter(|strike| strike.at <= started);
        let clearings = cleared.map(|strike| Clearing {
            fingerprint,
            attempt: strike.attempt,
            at: strike.at,
        });
        let message = Message {
            clearings: clearings.collect(),
            ..Message::default()
        };
        self.merge(&message, now)
    }

    /// Cancels all strikes of a fingerprint at an operator's command.
    pub fn lift(&mut self, fingerprint: Fingerprint, now: UnixMillis) -> Message {
        let latest = self
            .entries
            .get(&fingerprint)
            .map_or(0, Entry::latest_strike);
        let at = now.max(latest);
        let message = Message {
            lifts: vec![Lift { fingerprint, at }],
            ..Message::default()
        };
        self.merge(&message, now)
    }

    /// Merges the records of a message; returns the new ones, to be forwarded.
    pub fn merge(&mut self, message: &Message, now: UnixMillis) -> Message {
        let oldest = self.oldest_counted(now);
        let mut new = Message::default();
        for strike in message.strikes.iter().filter(|s| s.at >= oldest) {
            // The clock of the sender may run ahead; this must not make the strike last longer.
            let mut strike = strike.clone();
            strike.at = strike.at.min(now);
            if self.entry(strike.fingerprint).add_strike(&strike) {
                new.strikes.push(strike);
            }
        }
        for clearing in message.clearings.iter().filter(|c| c.at >= oldest) {
            if self.entry(clearing.fingerprint).add_clearing(clearing) {
                new.clearings.push(*clearing);
            }
        }
        for lift in message.lifts.iter().filter(|l| l.at >= oldest) {
            if self.entry(lift.fingerprint).add_lift(lift.at) {
                new.lifts.push(*lift);
            }
        }
        self.evict_oldest();
        new
    }

    fn entry(&mut self, fingerprint: Fingerprint) -> &mut Entry {
        self.entries.entry(fingerprint).or_default()
    }

    /// Evicts the fingerprints with the oldest strikes and lifts while there are too many.
    fn evict_oldest(&mut self) {
        while self.entries.len() > self.limits.max_fingerprints {
            let age = |entry: &Entry| entry.latest_strike().max(entry.lifted_at());
            let oldest = self.entries.iter().min_by_key(|(_, entry)| age(entry));
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&fingerprint);
        }
    }

    /// Returns the time of the oldest strike that still counts.
    fn oldest_counted(&self, now: UnixMillis) -> UnixMillis {
        now.saturating_sub(millis(self.limits.retention))
    }

    /// Drops records older than the retention time.
    pub fn expire(&mut self, now: UnixMillis) {
        let oldest = self.oldest_counted(now);
        self.entries.retain(|_, entry| !entry.expire(oldest));
    }

    /// Returns all records, for a router that has just started or was cut off.
    pub fn snapshot(&self) -> Vec<Message> {
        let mut messages = vec![Message::default()];
        for (fingerprint, entry) in &self.entries {
            if record_count(messages.last()) >= SNAPSHOT_MESSAGE_RECORDS {
                messages.push(Message::default());
            }
            let message = messages.last_mut().expect("the list is never empty");
            message.strikes.extend(entry.strikes().cloned());
            message
                .clearings
                .extend(entry.cleared().map(|(attempt, at)| Clearing {
                    fingerprint: *fingerprint,
                    attempt,
                    at,
                }));
            if entry.lifted_at() > 0 {
                message.lifts.push(Lift {
                    fingerprint: *fingerprint,
                    at: entry.lifted_at(),
                });
            }
        }
        messages.retain(|message| !message.is_empty());
        messages
    }

    /// Returns the fingerprints that are suspect or refused, for operators.
    pub fn list(&self, now: UnixMillis) -> Vec<ListedSuspect> {
        let suspects = self.entries.keys().map(|f| (*f, self.status(*f, now)));
        let suspects = suspects.filter(|(_, status)| *status != FingerprintStatus::Clear);
        suspects
            .filter_map(|(fingerprint, status)| self.listed(fingerprint, status))
            .collect()
    }

    fn listed(&self, fingerprint: Fingerprint, status: FingerprintStatus) -> Option<ListedSuspect> {
        let entry = self.entries.get(&fingerprint)?;
        let crashes = entry.crashes();
        let strike = entry.active_strikes().next()?;
        Some(ListedSuspect {
            fingerprint,
            status,
            account: strike.account.clone(),
            route: strike.route.clone(),
            last_death: crashes.last().map_or(0, |crash| crash.at),
            servers: crashes.into_iter().map(|crash| crash.server).collect(),
        })
    }
}

fn record_count(message: Option<&Message>) -> usize {
    message.map_or(0, |m| m.strikes.len() + m.clearings.len() + m.lifts.len())
}

fn millis(time: Duration) -> UnixMillis {
    UnixMillis::try_from(time.as_millis()).unwrap_or(UnixMillis::MAX)
}
