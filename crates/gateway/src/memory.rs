//! Bounds the memory in which answers are buffered, as part of the budget of the process.
//!
//! [`primrose_core::memory`] has the budget and decides which request bodies are refused.
//!
//! A server in trouble may send bytes without end. Each answer has a limit of its own, but many may
//! grow at once. The more is buffered, the less a single answer may take: those that grow without end
//! fail first, and short ones are served.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use primrose_core::memory::MemoryBudget;
use primrose_core::memory::MemoryKind;

/// Bytes that each answer may take, whatever the others take.
const FREE_BYTES: usize = 32 << 10;
/// Size from which a chunk of a stream counts while the caller does not take it. Smaller ones are
/// part of what a connection counts as.
const MIN_CHUNK_BYTES: usize = 4 << 10;

/// Memory for buffered answers.
#[derive(Debug)]
pub struct AnswerMemory {
    limit: usize,
    used: AtomicUsize,
    /// The budget that the answers are part of.
    budget: Option<Arc<MemoryBudget>>,
}

impl AnswerMemory {
    /// Creates a memory of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
            budget: None,
        })
    }

    /// Creates a memory of `limit` bytes whose use counts in `budget`.
    pub fn within(budget: &Arc<MemoryBudget>, limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
            budget: Some(Arc::clone(budget)),
        })
    }

    /// Returns whether more than half of the memory is in use.
    pub fn is_short(&self) -> bool {
        self.used() > self.limit / 2
    }

    /// Returns a chunk of a stream that takes memory, if it is large, as long as it exists.
    pub fn hold(self: &Arc<Self>, chunk: Bytes) -> Bytes {
        if chunk.len() < MIN_CHUNK_BYTES {
            return chunk;
        }
        let mut buffered = self.begin();
        // The chunk is in memory already; only what follows it can be refused.
        let _ = buffered.resize(chunk.len());
        buffered.finish(chunk)
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Records that `after` bytes are used in place of `before`.
    fn replace(&self, before: usize, after: usize) {
        self.used.fetch_add(after, Ordering::Relaxed);
        self.used.fetch_sub(before, Ordering::Relaxed);
        if let Some(budget) = self.budget.as_ref().filter(|_| before != after) {
            budget.replace(MemoryKind::Answer, before, after);
        }
    }

    /// Begins to buffer an answer.
    pub fn begin(self: &Arc<Self>) -> Buffered {
        Buffered {
            memory: Arc::clone(self),
            size: 0,
        }
    }
}

/// The memory that one answer takes, until it is dropped.
#[derive(Debug)]
pub struct Buffered {
    memory: Arc<AnswerMemory>,
    size: usize,
}

impl Buffered {
    /// Records the size of the answer; returns whether it may be so large.
    #[must_use]
    pub fn resize(&mut self, size: usize) -> bool {
        self.memory.replace(self.size, size);
        self.size = size;
        size <= FREE_BYTES || size <= self.memory.limit.saturating_sub(self.memory.used())
    }

    /// Returns the bytes of the answer, which take the memory as long as they exist.
    pub fn finish(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(BufferedBytes {
            bytes,
            _memory: self,
        })
    }
}

impl Drop for Buffered {
    fn drop(&mut self) {
        self.memory.replace(self.size, 0);
    }
}

/// Bytes with the memory that they take.
struct BufferedBytes {
    bytes: Bytes,
    _memory: Buffered,
}

impl AsRef<[u8]> for BufferedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
