//! Estimate of which prompt prefixes a backend server has cached.
//!
//! Derived from the prompts that the fleet sent to the server, because engines publish cache events
//! late and with gaps. It is only a hint for the choice between servers with a free slot.

use std::collections::BTreeMap;

use crate::message::PrefixHash;

/// Maximum number of prefixes kept per server.
const MAX_PREFIXES: usize = 512;

/// LRU set of the prefixes sent to one server.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    last_use: BTreeMap<PrefixHash, u64>,
    by_last_use: BTreeMap<u64, PrefixHash>,
    uses: u64,
}

impl Affinity {
    /// Records that a prompt with these prefixes was sent.
    pub(crate) fn record(&mut self, prefixes: &[PrefixHash]) {
        for prefix in prefixes {
            self.uses += 1;
            if let Some(previous_use) = self.last_use.insert(*prefix, self.uses) {
                self.by_last_use.remove(&previous_use);
            }
            self.by_last_use.insert(self.uses, *prefix);
        }
        while self.by_last_use.len() > MAX_PREFIXES {
            if let Some((_, prefix)) = self.by_last_use.pop_first() {
                self.last_use.remove(&prefix);
            }
        }
    }

    /// Returns how many leading entries of `prefixes` (shortest prefix first) are in the set.
    pub(crate) fn cached_depth(&self, prefixes: &[PrefixHash]) -> usize {
        let known = prefixes
            .iter()
            .take_while(|p| self.last_use.contains_key(p));
        known.count()
    }
}
