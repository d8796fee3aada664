//! Cache of prompt prefixes: a limited number of token blocks with least-recently-used eviction.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Prompt tokens in one block.
pub const BLOCK_TOKENS: usize = 16;

/// Identifies a block by a hash of its tokens and of all tokens before them.
pub(crate) type BlockId = u64;

/// Effect of one prompt on the cache.
#[derive(Debug, Default)]
pub(crate) struct CacheChange {
    /// Number of leading blocks of the prompt that were cached.
    pub(crate) hits: u64,
    /// Blocks that were added.
    pub(crate) stored: Vec<BlockId>,
    /// Blocks that were evicted.
    pub(crate) removed: Vec<BlockId>,
}

/// LRU cache of blocks.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<BlockId, u64>,
    by_last_use: BTreeMap<u64, BlockId>,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Marks the blocks of a prompt as used, adds the missing ones and evicts any over capacity.
    pub(crate) fn insert_prompt(&mut self, blocks: &[BlockId]) -> CacheChange {
        let mut change = CacheChange::default();
        let leading = |block: &&BlockId| self.last_used.contains_key(block);
        change.hits = blocks.iter().take_while(leading).count() as u64;
        // The last block is touched first, so that a prefix is evicted after the blocks that extend it.
        for block in blocks.iter().rev() {
            self.touch(*block, &mut change);
        }
        while self.last_used.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.remove(&oldest);
            change.removed.push(oldest);
        }
        change
    }

    fn touch(&mut self, block: BlockId, change: &mut CacheChange) {
        self.clock += 1;
        match self.last_used.insert(block, self.clock) {
            Some(previous) => {
                self.by_last_use.remove(&previous);
            }
            None => change.stored.push(block),
        }
        self.by_last_use.insert(self.clock, block);
    }
}

/// Returns the ids of a prompt's full blocks; a partial last block is left out.
pub(crate) fn block_ids(words: &[String]) -> Vec<BlockId> {
    let mut parent: BlockId = 0;
    let full = words.chunks_exact(BLOCK_TOKENS);
    full.map(|tokens| {
        let mut hash = DefaultHasher::new();
        parent.hash(&mut hash);
        tokens.hash(&mut hash);
        parent = hash.finish();
        parent
    })
    .collect()
}
