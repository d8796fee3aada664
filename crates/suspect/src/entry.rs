//! All records of one fingerprint.

use std::collections::BTreeMap;

use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;

use crate::record::Clearing;
use crate::record::ServerRun;
use crate::record::Strike;
use crate::record::UnixMillis;

/// One death at which a fingerprint was present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) server: ServerId,
    pub(crate) run: ServerRun,
    /// When it was last reported.
    pub(crate) at: UnixMillis,
}

/// Strikes of one fingerprint, and what takes them back.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Entry {
    strikes: BTreeMap<AttemptId, Strike>,
    cleared: BTreeMap<AttemptId, UnixMillis>,
    lifted: UnixMillis,
}

impl Entry {
    /// Adds a strike; true if it changed anything.
    ///
    /// Of two copies that differ, every register keeps the same one.
    pub(crate) fn strike(&mut self, strike: &Strike) -> bool {
        let known = self.strikes.get(&strike.attempt);
        if known.is_some_and(|known| rank(known) <= rank(strike)) {
            return false;
        }
        self.strikes.insert(strike.attempt, strike.clone());
        true
    }

    /// Adds a clearing; true if it changed anything.
    pub(crate) fn clear(&mut self, clearing: &Clearing) -> bool {
        let known = self.cleared.get(&clearing.attempt);
        if known.is_some_and(|at| *at <= clearing.at) {
            return false;
        }
        self.cleared.insert(clearing.attempt, clearing.at);
        true
    }

    /// Adds a lift; true if it was new.
    pub(crate) fn lift(&mut self, at: UnixMillis) -> bool {
        let new = at > self.lifted;
        self.lifted = self.lifted.max(at);
        new
    }

    /// Time of the last lift; 0 for none.
    pub(crate) fn lifted(&self) -> UnixMillis {
        self.lifted
    }

    /// Time of the latest strike; 0 for none.
    pub(crate) fn latest(&self) -> UnixMillis {
        self.strikes.values().map(|s| s.at).max().unwrap_or(0)
    }

    /// All strikes, whether they count or not.
    pub(crate) fn strikes(&self) -> impl Iterator<Item = &Strike> {
        self.strikes.values()
    }

    /// Strikes that count.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Strike> {
        self.strikes
            .values()
            .filter(|s| s.at > self.lifted && !self.cleared.contains_key(&s.attempt))
    }

    /// Attempts whose strikes were cleared, with the strikes' times.
    pub(crate) fn cleared(&self) -> impl Iterator<Item = (AttemptId, UnixMillis)> + '_ {
        self.cleared.iter().map(|(attempt, at)| (*attempt, *at))
    }

    /// Whether the request was given up on a silent server other than those that died with it.
    pub(crate) fn in_doubt(&self, crashes: &[Crash], oldest: UnixMillis) -> bool {
        let mut weak = self.live().filter(|s| s.weak && s.at >= oldest);
        weak.any(|strike| !crashes.iter().any(|crash| crash.server == strike.server))
    }

    /// Deaths that count, oldest first; several strikes of one death are one.
    pub(crate) fn crashes(&self) -> Vec<Crash> {
        let mut strikes: Vec<&Strike> = self.live().filter(|s| !s.weak).collect();
        strikes.sort_by_key(|s| s.at);
        let mut crashes: Vec<Crash> = Vec::new();
        for strike in strikes {
            match crashes.iter_mut().find(|crash| same_death(crash, strike)) {
                Some(crash) => crash.at = strike.at,
                None => crashes.push(Crash {
                    server: strike.server.clone(),
                    run: strike.run,
                    at: strike.at,
                }),
            }
        }
        crashes
    }

    /// Drops what is older than a time; true if nothing is left.
    pub(crate) fn expire(&mut self, before: UnixMillis) -> bool {
        self.strikes.retain(|_, strike| strike.at >= before);
        self.cleared.retain(|_, at| *at >= before);
        if self.lifted < before {
            self.lifted = 0;
        }
        self.strikes.is_empty() && self.cleared.is_empty() && self.lifted == 0
    }
}

/// Order of the copies of one strike: a death that was seen goes before a doubt.
fn rank(strike: &Strike) -> (bool, UnixMillis, &ServerId, ServerRun, UnixMillis) {
    let Strike {
        weak,
        at,
        server,
        run,
        since,
        ..
    } = strike;
    (*weak, *at, server, *run, *since)
}

fn same_death(crash: &Crash, strike: &Strike) -> bool {
    if crash.server != strike.server || crash.run != strike.run {
        return false;
    }
    // Without the server's run: what was sent after the death was noticed met another one.
    strike.run != 0 || strike.since <= crash.at
}
