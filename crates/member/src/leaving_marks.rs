//! Leaving marks: hosts that must get no new work.
//!
//! A mark names a host and an incarnation and covers all lesser incarnations. It only moves to
//! greater ones, so late, doubled and reordered news can neither lose nor revive it; a host that is
//! replaced is free again by its greater incarnation alone. A mark is forgotten a while after the
//! last host list that showed the host; the age travels with it, so that routers cannot keep a mark
//! alive by handing it to each other.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_core::id::HostId;
use primrose_core::id::Incarnation;
use xxhash_rust::xxh3::Xxh3;

use crate::heartbeat::LeavingMark;

/// Most marks that are kept; the one that was confirmed longest ago goes first.
const MAX_MARKS: usize = 8192;

/// How often peers are told that a mark still holds, in the time after which it expires.
const CONFIRMATIONS_PER_RETENTION: u32 = 5;

/// What is known of one leaving host.
#[derive(Debug, Clone, Copy)]
struct MarkState {
    incarnation: Incarnation,
    /// When a host list, here or elsewhere, last showed the host.
    confirmed: Mono,
    /// What the peers were last told of the above.
    announced: Mono,
}

/// The leaving marks of one router.
#[derive(Debug, Default)]
pub(crate) struct LeavingMarks {
    marks: BTreeMap<HostId, MarkState>,
}

impl LeavingMarks {
    /// Takes the leaving hosts of a host list; returns those that are news.
    pub(crate) fn apply_host_list(&mut self, hosts: &[Host], now: Mono) -> Vec<HostId> {
        let mut changed = Vec::new();
        for host in hosts {
            let leaving = host.state == HostState::Leaving;
            if leaving && self.advance(&host.id, host.incarnation, now) {
                changed.push(host.id.clone());
            }
            if let Some(state) = self.marks.get_mut(&host.id) {
                state.confirmed = now;
            }
        }
        changed
    }

    /// Takes a mark of a peer; true if it is news.
    pub(crate) fn merge(&mut self, mark: &LeavingMark, retention: Duration, now: Mono) -> bool {
        let age = Duration::from_secs(u64::from(mark.age));
        if age >= retention {
            return false;
        }
        self.advance(&mark.host, mark.incarnation, now.saturating_sub(age))
    }

    /// Moves a mark up to an incarnation; true if it moved.
    fn advance(&mut self, host: &HostId, incarnation: Incarnation, confirmed: Mono) -> bool {
        let state = MarkState {
            incarnation,
            confirmed,
            announced: confirmed,
        };
        if let Some(old) = self.marks.get_mut(host) {
            if incarnation <= old.incarnation {
                old.confirmed = old.confirmed.max(confirmed);
                return false;
            }
            *old = state;
            return true;
        }
        self.marks.insert(host.clone(), state);
        self.evict();
        true
    }

    /// Keeps the number of marks within its bound.
    fn evict(&mut self) {
        if self.marks.len() <= MAX_MARKS {
            return;
        }
        let oldest = self.marks.iter().min_by_key(|(_, state)| state.confirmed);
        if let Some(host) = oldest.map(|(host, _)| host.clone()) {
            self.marks.remove(&host);
        }
    }

    /// Forgets marks of hosts that no host list has shown for long.
    pub(crate) fn expire(&mut self, retention: Duration, now: Mono) {
        self.marks
            .retain(|_, state| now.saturating_sub(state.confirmed) < retention);
    }

    /// Returns the marks that have been confirmed since the peers were told of them.
    ///
    /// Routers without a host list keep a mark by these alone, so they come well before it expires.
    pub(crate) fn confirmations(&mut self, retention: Duration) -> Vec<HostId> {
        let mut hosts = Vec::new();
        for (host, state) in &mut self.marks {
            if state.confirmed.saturating_sub(state.announced)
                >= retention / CONFIRMATIONS_PER_RETENTION
            {
                state.announced = state.confirmed;
                hosts.push(host.clone());
            }
        }
        hosts
    }

    /// Whether an incarnation of a host is leaving.
    pub(crate) fn is_leaving(&self, host: &str, incarnation: Incarnation) -> bool {
        let state = self.marks.get(host);
        state.is_some_and(|state| incarnation <= state.incarnation)
    }

    /// Returns the incarnation up to which a host is leaving.
    pub(crate) fn incarnation(&self, host: &str) -> Option<Incarnation> {
        self.marks.get(host).map(|state| state.incarnation)
    }

    /// Returns the mark of a host.
    pub(crate) fn mark(&self, host: &HostId, now: Mono) -> Option<LeavingMark> {
        let state = self.marks.get(host)?;
        let age = now.saturating_sub(state.confirmed).as_secs();
        Some(LeavingMark {
            host: host.clone(),
            incarnation: state.incarnation,
            age: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Returns all marked hosts.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.marks.keys()
    }

    /// Returns a digest of the marks.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (host, state) in &self.marks {
            (host, state.incarnation).hash(&mut hash);
        }
        hash.finish()
    }
}
