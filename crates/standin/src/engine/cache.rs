//! The cache of prompt prefixes: blocks of tokens in limited memory, the least recently used go first.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Prompt tokens in one block.
pub const BLOCK_TOKENS: usize = 16;

/// Names a block by its tokens and all that go before them.
pub(crate) type Block = u64;

/// What a lookup changed.
#[derive(Debug, Default)]
pub(crate) struct Change {
    /// Leading blocks that were there.
    pub(crate) hits: u64,
    /// Blocks that were added.
    pub(crate) stored: Vec<Block>,
    /// Blocks that made room.
    pub(crate) removed: Vec<Block>,
}

/// Blocks by last use.
#[derive(Debug)]
pub(crate) struct Cache {
    room: usize,
    clock: u64,
    used: HashMap<Block, u64>,
    order: BTreeMap<u64, Block>,
}

impl Cache {
    pub(crate) fn new(room: usize) -> Self {
        Self {
            room,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.used.len()
    }

    /// Uses the blocks of a prompt and adds those that are missing.
    pub(crate) fn enter(&mut self, blocks: &[Block]) -> Change {
        let mut change = Change::default();
        let leading = |block: &&Block| self.used.contains_key(block);
        change.hits = blocks.iter().take_while(leading).count() as u64;
        // The last block is touched first, so that a prefix outlives what builds on it.
        for block in blocks.iter().rev() {
            self.touch(*block, &mut change);
        }
        while self.used.len() > self.room {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&oldest);
            change.removed.push(oldest);
        }
        change
    }

    fn touch(&mut self, block: Block, change: &mut Change) {
        self.clock += 1;
        match self.used.insert(block, self.clock) {
            Some(earlier) => {
                self.order.remove(&earlier);
            }
            None => change.stored.push(block),
        }
        self.order.insert(self.clock, block);
    }
}

/// Returns the names of a prompt's whole blocks.
pub(crate) fn blocks(words: &[String]) -> Vec<Block> {
    let mut parent: Block = 0;
    let whole = words.chunks_exact(BLOCK_TOKENS);
    whole
        .map(|tokens| {
            let mut hash = DefaultHasher::new();
            parent.hash(&mut hash);
            tokens.hash(&mut hash);
            parent = hash.finish();
            parent
        })
        .collect()
}
