//! Estimate of which prompt prefixes a backend server has cached.
//!
//! Derived from the prompts that the fleet sent to the server, because engines publish cache events
//! late and with gaps. It is only a hint for the choice between servers with a free slot.

use std::collections::BTreeMap;

use crate::message::PrefixHash;

/// Maximum number of prefixes kept per server.
const PREFIXES_KEPT: usize = 512;

/// LRU set of the prefixes sent to one server.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    last: BTreeMap<PrefixHash, u64>,
    order: BTreeMap<u64, PrefixHash>,
    count: u64,
}

impl Affinity {
    /// Records that a prompt with these prefixes was sent.
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

    /// Returns how many leading entries of `prefixes` (shortest prefix first) are in the set.
    pub(crate) fn depth(&self, prefixes: &[PrefixHash]) -> usize {
        let known = prefixes.iter().take_while(|p| self.last.contains_key(p));
        known.count()
    }
}
