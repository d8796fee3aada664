//! The records of one fingerprint, and the deaths that follow from them.

use std::collections::BTreeMap;

use primrose_core::id::AttemptId;
use primrose_core::id::ServerId;

use crate::record::Clearing;
use crate::record::ServerRun;
use crate::record::Strike;
use crate::record::UnixMillis;

/// A server death at which a fingerprint was in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) server: ServerId,
    pub(crate) run: ServerRun,
    /// Time of the latest strike for this death.
    pub(crate) at: UnixMillis,
}

/// Strikes of one fingerprint, with the clearings and lifts that cancel them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Entry {
    strikes: BTreeMap<AttemptId, Strike>,
    cleared: BTreeMap<AttemptId, UnixMillis>,
    lifted_at: UnixMillis,
}

impl Entry {
    /// Adds a strike; returns true if the entry changed.
    ///
    /// If two copies of a strike differ, every register keeps the same one.
    pub(crate) fn add_strike(&mut self, strike: &Strike) -> bool {
        let known = self.strikes.get(&strike.attempt);
        if known.is_some_and(|known| merge_order(known) <= merge_order(strike)) {
            return false;
        }
        self.strikes.insert(strike.attempt, strike.clone());
        true
    }

    /// Adds a clearing; returns true if the entry changed.
    pub(crate) fn add_clearing(&mut self, clearing: &Clearing) -> bool {
        let known = self.cleared.get(&clearing.attempt);
        if known.is_some_and(|at| *at <= clearing.at) {
            return false;
        }
        self.cleared.insert(clearing.attempt, clearing.at);
        true
    }

    /// Adds a lift; returns true if it is later than the last one.
    pub(crate) fn add_lift(&mut self, at: UnixMillis) -> bool {
        let new = at > self.lifted_at;
        self.lifted_at = self.lifted_at.max(at);
        new
    }

    /// Returns the time of the last lift; 0 if there was none.
    pub(crate) fn lifted_at(&self) -> UnixMillis {
        self.lifted_at
    }

    /// Returns the time of the latest strike; 0 if there is none.
    pub(crate) fn latest_strike(&self) -> UnixMillis {
        self.strikes.values().map(|s| s.at).max().unwrap_or(0)
    }

    /// Returns all strikes, including those that were cleared or lifted.
    pub(crate) fn strikes(&self) -> impl Iterator<Item = &Strike> {
        self.strikes.values()
    }

    /// Returns the strikes that were neither cleared nor lifted.
    pub(crate) fn active_strikes(&self) -> impl Iterator<Item = &Strike> {
        self.strikes
            .values()
            .filter(|s| s.at > self.lifted_at && !self.cleared.contains_key(&s.attempt))
    }

    /// Returns the attempts whose strikes were cleared, with the times of the strikes.
    pub(crate) fn cleared(&self) -> impl Iterator<Item = (AttemptId, UnixMillis)> + '_ {
        self.cleared.iter().map(|(attempt, at)| (*attempt, *at))
    }

    /// Whether an attempt was abandoned on a silent server other than the servers of `crashes`.
    pub(crate) fn abandoned_elsewhere(&self, crashes: &[Crash], oldest: UnixMillis) -> bool {
        let mut weak = self.active_strikes().filter(|s| s.weak && s.at >= oldest);
        weak.any(|strike| !crashes.iter().any(|crash| crash.server == strike.server))
    }

    /// Returns the deaths behind the active strikes, oldest first; merges strikes of one death.
    pub(crate) fn crashes(&self) -> Vec<Crash> {
        let mut strikes: Vec<&Strike> = self.active_strikes().filter(|s| !s.weak).collect();
        strikes.sort_by_key(|s| s.at);
        let mut crashes: Vec<Crash> = Vec::new();
        for strike in strikes {
            match crashes
                .iter_mut()
                .find(|crash| is_same_death(crash, strike))
            {
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

    /// Drops records older than `before`; returns true if the entry is empty.
    pub(crate) fn expire(&mut self, before: UnixMillis) -> bool {
        self.strikes.retain(|_, strike| strike.at >= before);
        self.cleared.retain(|_, at| *at >= before);
        if self.lifted_at < before {
            self.lifted_at = 0;
        }
        self.strikes.is_empty() && self.cleared.is_empty() && self.lifted_at == 0
    }
}

/// Orders the copies of one strike: an observed death comes before a suspected one.
fn merge_order(strike: &Strike) -> (bool, UnixMillis, &ServerId, ServerRun, UnixMillis) {
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

fn is_same_death(crash: &Crash, strike: &Strike) -> bool {
    if crash.server != strike.server || crash.run != strike.run {
        return false;
    }
    // If the run is unknown, an attempt that was sent after the death was detected must have been
    // lost in a later death.
    strike.run != 0 || strike.since <= crash.at
}
