//! Leaving marks: hosts that must get no new work.
//!
//! A mark names a host and an incarnation and covers all lower incarnations. It only moves to
//! higher ones, so delayed, duplicated and reordered heartbeats can neither lose nor revive it. A
//! host that is replaced gets work again because its new incarnation is higher. A mark expires some
//! time after the last host list that showed the host; its age is sent along with it, so that
//! routers cannot keep a mark alive by forwarding it to each other.

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

/// Maximum number of marks; the least recently confirmed one is evicted first.
const MAX_MARKS: usize = 8192;

/// How often a mark that still holds is sent to the peers again within its retention time.
const CONFIRMATIONS_PER_RETENTION: u32 = 5;

/// State of one leaving mark.
#[derive(Debug, Clone, Copy)]
struct MarkState {
    incarnation: Incarnation,
    /// When a host list, here or elsewhere, last showed the host.
    confirmed: Mono,
    /// Value of `confirmed` when the mark was last sent to the peers.
    announced: Mono,
}

/// The leaving marks of one router.
#[derive(Debug, Default)]
pub(crate) struct LeavingMarks {
    marks: BTreeMap<HostId, MarkState>,
}

impl LeavingMarks {
    /// Adds the leaving hosts of a host list; returns those whose mark is new or has moved.
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

    /// Merges a mark of a peer; returns true if it is new or has moved.
    pub(crate) fn merge(&mut self, mark: &LeavingMark, retention: Duration, now: Mono) -> bool {
        let age = Duration::from_secs(u64::from(mark.age));
        if age >= retention {
            return false;
        }
        self.advance(&mark.host, mark.incarnation, now.saturating_sub(age))
    }

    /// Moves a mark up to an incarnation; returns false if it already covers the incarnation.
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

    /// Evicts the least recently confirmed mark if there are too many.
    fn evict(&mut self) {
        if self.marks.len() <= MAX_MARKS {
            return;
        }
        let oldest = self.marks.iter().min_by_key(|(_, state)| state.confirmed);
        if let Some(host) = oldest.map(|(host, _)| host.clone()) {
            self.marks.remove(&host);
        }
    }

    /// Removes the marks of hosts that no host list has shown within the retention time.
    pub(crate) fn expire(&mut self, retention: Duration, now: Mono) {
        self.marks
            .retain(|_, state| now.saturating_sub(state.confirmed) < retention);
    }

    /// Returns the hosts whose marks have been confirmed since they were last sent, and are due to
    /// be sent again.
    ///
    /// Routers without a host list keep a mark only if it is sent again before it expires.
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

    /// Returns all hosts that have a mark.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.marks.keys()
    }

    /// Returns a digest of all marks.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (host, state) in &self.marks {
            (host, state.incarnation).hash(&mut hash);
        }
        hash.finish()
    }
}
