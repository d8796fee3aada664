//! Which prompt beginnings a backend server has probably cached.
//!
//! Known from what the fleet itself sent there. Engines publish cache events late and with gaps, so
//! this is a hint for the choice between servers that have a free slot, and nothing more.

use std::collections::BTreeMap;

use crate::message::PrefixHash;

/// Prefixes remembered for each server.
const PREFIXES_KEPT: usize = 512;

/// Recently sent prefixes of one server.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    last: BTreeMap<PrefixHash, u64>,
    order: BTreeMap<u64, PrefixHash>,
    count: u64,
}

impl Affinity {
    /// Notes that a prompt with these beginnings was sent.
    pub(crate) fn note(&mut self, prefixes: &[PrefixHash]) {
        for prefix in prefixes {
            self.count += 1;
            if let Some(old) = self.last.insert(*prefix, self.count) {
                self.order.remove(&old);
            }
            self.order.insert(self.count, *prefix);
        }
        while self.order.len() > PREFIXES_KEPT {
            if let Some((_, prefix)) = self.order.pop_first() {
                self.last.remove(&prefix);
            }
        }
    }

    /// Returns how many of the beginnings, shortest first, are known here.
    pub(crate) fn depth(&self, prefixes: &[PrefixHash]) -> usize {
        let known = prefixes.iter().take_while(|p| self.last.contains_key(p));
        known.count()
    }
}
