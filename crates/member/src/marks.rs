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
const CONFIRMATIONS: u32 = 5;

/// What is known of one leaving host.
#[derive(Debug, Clone, Copy)]
struct Known {
    incarnation: Incarnation,
    /// When a host list, here or elsewhere, last showed the host.
    confirmed: Mono,
    /// What the peers were last told of the above.
    told: Mono,
}

/// The leaving marks of one router.
#[derive(Debug, Default)]
pub(crate) struct Marks {
    known: BTreeMap<HostId, Known>,
}

impl Marks {
    /// Takes the leaving hosts of a host list; returns those that are news.
    pub(crate) fn list(&mut self, hosts: &[Host], now: Mono) -> Vec<HostId> {
        let mut news = Vec::new();
        for host in hosts {
            let leaving = host.state == HostState::Leaving;
            if leaving && self.raise(&host.id, host.incarnation, now) {
                news.push(host.id.clone());
            }
            if let Some(known) = self.known.get_mut(&host.id) {
                known.confirmed = now;
            }
        }
        news
    }

    /// Takes a mark of a peer; true if it is news.
    pub(crate) fn learn(&mut self, mark: &LeavingMark, forget: Duration, now: Mono) -> bool {
        let age = Duration::from_secs(u64::from(mark.age));
        if age >= forget {
            return false;
        }
        self.raise(&mark.host, mark.incarnation, now.saturating_sub(age))
    }

    /// Moves a mark up to an incarnation; true if it moved.
    fn raise(&mut self, host: &HostId, incarnation: Incarnation, confirmed: Mono) -> bool {
        let known = Known {
            incarnation,
            confirmed,
            told: confirmed,
        };
        if let Some(had) = self.known.get_mut(host) {
            if incarnation <= had.incarnation {
                had.confirmed = had.confirmed.max(confirmed);
                return false;
            }
            *had = known;
            return true;
        }
        self.known.insert(host.clone(), known);
        self.evict();
        true
    }

    /// Keeps the number of marks within its bound.
    fn evict(&mut self) {
        if self.known.len() <= MAX_MARKS {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, known)| known.confirmed);
        if let Some(host) = oldest.map(|(host, _)| host.clone()) {
            self.known.remove(&host);
        }
    }

    /// Forgets marks of hosts that no host list has shown for long.
    pub(crate) fn expire(&mut self, forget: Duration, now: Mono) {
        self.known
            .retain(|_, known| now.saturating_sub(known.confirmed) < forget);
    }

    /// Returns the marks that have been confirmed since the peers were told of them.
    ///
    /// Routers without a host list keep a mark by these alone, so they come well before it expires.
    pub(crate) fn confirmations(&mut self, forget: Duration) -> Vec<HostId> {
        let mut hosts = Vec::new();
        for (host, known) in &mut self.known {
            if known.confirmed.saturating_sub(known.told) >= forget / CONFIRMATIONS {
                known.told = known.confirmed;
                hosts.push(host.clone());
            }
        }
        hosts
    }

    /// Whether an incarnation of a host is leaving.
    pub(crate) fn is_leaving(&self, host: &str, incarnation: Incarnation) -> bool {
        let known = self.known.get(host);
        known.is_some_and(|known| incarnation <= known.incarnation)
    }

    /// Returns the incarnation up to which a host is leaving.
    pub(crate) fn incarnation(&self, host: &str) -> Option<Incarnation> {
        self.known.get(host).map(|known| known.incarnation)
    }

    /// Returns the mark of a host.
    pub(crate) fn mark(&self, host: &HostId, now: Mono) -> Option<LeavingMark> {
        let known = self.known.get(host)?;
        let age = now.saturating_sub(known.confirmed).as_secs();
        Some(LeavingMark {
            host: host.clone(),
            incarnation: known.incarnation,
            age: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Returns all marked hosts.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.known.keys()
    }

    /// Returns a digest of the marks.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (host, known) in &self.known {
            (host, known.incarnation).hash(&mut hash);
        }
        hash.finish()
    }
}
