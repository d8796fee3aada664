//! The register of suspects, as one router or dispatcher knows it.

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

/// Most records in one message of a [`Register::snapshot`].
pub const MAX_MESSAGE_RECORDS: usize = 128;

/// Bounds of a register.
#[derive(Debug, Clone)]
pub struct Limits {
    /// How long strikes are remembered.
    pub retention: Duration,
    /// How long a fingerprint is refused after its second strike; four times as long after each
    /// further one.
    pub refusal: Duration,
    /// Other servers that must die at the same time to show that no request is to blame.
    pub mass_deaths: usize,
    /// What counts as the same time.
    pub mass_death_window: Duration,
    /// Most fingerprints that are remembered.
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

/// What is held against a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintStatus {
    /// Nothing.
    Clear,
    /// It may run only alone, on the one server of its pool that is set apart.
    Suspect,
    /// It must not run.
    Refused {
        /// Time until it may run again.
        retry_after: Duration,
    },
}

/// A line of the operator's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedSuspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// What is held against it.
    pub status: FingerprintStatus,
    /// Its client account.
    pub account: AccountId,
    /// Its route.
    pub route: RouteId,
    /// Servers that died with it.
    pub servers: Vec<ServerId>,
    /// When the last of them died.
    pub last: UnixMillis,
}

/// Strikes by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Register {
    limits: Limits,
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Register {
    /// Makes an empty register.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
        }
    }

    /// Tells what is held against a fingerprint.
    pub fn status(&self, fingerprint: Fingerprint, now: UnixMillis) -> FingerprintStatus {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return FingerprintStatus::Clear;
        };
        let oldest = self.oldest(now);
        let crashes: Vec<Crash> = entry.crashes();
        let crashes: Vec<Crash> = crashes.into_iter().filter(|c| c.at >= oldest).collect();
        let (mut strikes, apart) = self.weigh(fingerprint, &crashes);
        // A doubt counts only beside a death that was seen.
        if strikes == 1 && entry.in_doubt(&crashes, oldest) {
            strikes += 1;
        }
        let last = crashes.last().map_or(0, |crash| crash.at);
        match self.refused(strikes, last, now) {
            Some(retry_after) => FingerprintStatus::Refused { retry_after },
            None if apart => FingerprintStatus::Suspect,
            None => FingerprintStatus::Clear,
        }
    }

    /// Counts strikes, and tells whether the request has to run apart.
    ///
    /// Servers that die together with several others, at which the fingerprint was not present,
    /// die of something else: a rack or a network. Such deaths count as one strike, so that the
    /// second of them refuses even a request that hides among others, but do not set a request
    /// apart: a rack's requests would wait for hours to run one at a time.
    fn weigh(&self, fingerprint: Fingerprint, crashes: &[Crash]) -> (u32, bool) {
        let mut strikes = 0;
        let mut apart = crashes.len() > 1;
        let mut last_mass_death: Option<UnixMillis> = None;
        for crash in crashes {
            if self.others_died(fingerprint, crash) < self.limits.mass_deaths {
                strikes += 1;
                apart = true;
                continue;
            }
            let window = millis(self.limits.mass_death_window);
            let same = last_mass_death.is_some_and(|at| crash.at.saturating_sub(at) <= window);
            strikes += u32::from(!same);
            last_mass_death = Some(crash.at);
        }
        (strikes, apart)
    }

    /// Counts the servers that died at the same time without the fingerprint.
    fn others_died(&self, fingerprint: Fingerprint, crash: &Crash) -> usize {
        let window = millis(self.limits.mass_death_window);
        let near = |strike: &&Strike| !strike.weak && strike.at.abs_diff(crash.at) <= window;
        let own = self.entries.get(&fingerprint);
        let own: Vec<&ServerId> = own
            .iter()
            .flat_map(|entry| entry.strikes())
            .filter(near)
            .map(|strike| &strike.server)
            .collect();
        let mut others: Vec<&ServerId> = self
            .entries
            .values()
            .flat_map(Entry::strikes)
            .filter(near)
            .map(|strike| &strike.server)
            .filter(|server| !own.contains(server))
            .collect();
        others.sort();
        others.dedup();
        others.len()
    }

    fn refused(&self, strikes: u32, last: UnixMillis, now: UnixMillis) -> Option<Duration> {
        let further = strikes.checked_sub(2)?;
        let factor = 4_u32.saturating_pow(further);
        let length = self
            .limits
            .refusal
            .saturating_mul(factor)
            .min(self.limits.retention);
        let left = last.saturating_add(millis(length)).saturating_sub(now);
        (left > 0).then(|| Duration::from_millis(left))
    }

    /// Notes that a server died; returns what the other routers have to know.
    pub fn server_died(&mut self, death: &Death, now: UnixMillis) -> Message {
        self.note_death(death, false, now)
    }

    /// Notes that requests were given up on a server that had fallen silent.
    ///
    /// It may yet run them and die, unseen. That counts as a strike only for a fingerprint that
    /// another server has died with.
    pub fn attempts_abandoned(&mut self, death: &Death, now: UnixMillis) -> Message {
        self.note_death(death, true, now)
    }

    fn note_death(&mut self, death: &Death, weak: bool, now: UnixMillis) -> Message {
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

    /// Notes that a request that ran apart came to its end; takes back the strikes from before.
    pub fn completed(
        &mut self,
        fingerprint: Fingerprint,
        started: UnixMillis,
        now: UnixMillis,
    ) -> Message {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Message::default();
        };
        let before = entry.live().filter(|strike| strike.at <= started);
        let clearings = before.map(|strike| Clearing {
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

    /// Takes back all strikes of a fingerprint, by an operator's word.
    pub fn lift(&mut self, fingerprint: Fingerprint, now: UnixMillis) -> Message {
        let latest = self.entries.get(&fingerprint).map_or(0, Entry::latest);
        let at = now.max(latest);
        let message = Message {
            lifts: vec![Lift { fingerprint, at }],
            ..Message::default()
        };
        self.merge(&message, now)
    }

    /// Takes records in; returns those that were new, to be passed on.
    pub fn merge(&mut self, message: &Message, now: UnixMillis) -> Message {
        let oldest = self.oldest(now);
        let mut new = Message::default();
        for strike in message.strikes.iter().filter(|s| s.at >= oldest) {
            // A sender whose clock runs ahead cannot make a strike last longer here.
            let mut strike = strike.clone();
            strike.at = strike.at.min(now);
            if self.entry(strike.fingerprint).strike(&strike) {
                new.strikes.push(strike);
            }
        }
        for clearing in message.clearings.iter().filter(|c| c.at >= oldest) {
            if self.entry(clearing.fingerprint).clear(clearing) {
                new.clearings.push(*clearing);
            }
        }
        for lift in message.lifts.iter().filter(|l| l.at >= oldest) {
            if self.entry(lift.fingerprint).lift(lift.at) {
                new.lifts.push(*lift);
            }
        }
        self.shed();
        new
    }

    fn entry(&mut self, fingerprint: Fingerprint) -> &mut Entry {
        self.entries.entry(fingerprint).or_default()
    }

    /// Keeps the number of fingerprints within its bound; forgets the oldest ones first.
    fn shed(&mut self) {
        while self.entries.len() > self.limits.max_fingerprints {
            let age = |entry: &Entry| entry.latest().max(entry.lifted());
            let oldest = self.entries.iter().min_by_key(|(_, entry)| age(entry));
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&fingerprint);
        }
    }

    fn oldest(&self, now: UnixMillis) -> UnixMillis {
        now.saturating_sub(millis(self.limits.retention))
    }

    /// Drops what is no longer remembered.
    pub fn expire(&mut self, now: UnixMillis) {
        let oldest = self.oldest(now);
        self.entries.retain(|_, entry| !entry.expire(oldest));
    }

    /// All records, for a router that starts empty or was cut off.
    pub fn snapshot(&self) -> Vec<Message> {
        let mut messages = vec![Message::default()];
        for (fingerprint, entry) in &self.entries {
            if size(messages.last()) >= MAX_MESSAGE_RECORDS {
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
            if entry.lifted() > 0 {
                message.lifts.push(Lift {
                    fingerprint: *fingerprint,
                    at: entry.lifted(),
                });
            }
        }
        messages.retain(|message| !message.is_empty());
        messages
    }

    /// Fingerprints that something is held against, for the operator.
    pub fn list(&self, now: UnixMillis) -> Vec<ListedSuspect> {
        let marked = self.entries.keys().map(|f| (*f, self.status(*f, now)));
        let marked = marked.filter(|(_, status)| *status != FingerprintStatus::Clear);
        marked
            .filter_map(|(fingerprint, status)| self.listed(fingerprint, status))
            .collect()
    }

    fn listed(&self, fingerprint: Fingerprint, status: FingerprintStatus) -> Option<ListedSuspect> {
        let entry = self.entries.get(&fingerprint)?;
        let crashes = entry.crashes();
        let strike = entry.live().next()?;
        Some(ListedSuspect {
            fingerprint,
            status,
            account: strike.account.clone(),
            route: strike.route.clone(),
            last: crashes.last().map_or(0, |crash| crash.at),
            servers: crashes.into_iter().map(|crash| crash.server).collect(),
        })
    }
}

fn size(message: Option<&Message>) -> usize {
    message.map_or(0, |m| m.strikes.len() + m.clearings.len() + m.lifts.len())
}

fn millis(time: Duration) -> UnixMillis {
    UnixMillis::try_from(time.as_millis()).unwrap_or(UnixMillis::MAX)
}
