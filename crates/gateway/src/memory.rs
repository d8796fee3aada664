//! Bounds the memory in which answers are buffered.
//!
//! A server in trouble may send bytes without end. Each answer has a limit of its own, but many may
//! grow at once. The more is buffered, the less a single answer may take: those that grow without end
//! fail first, and short ones are served.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;

/// Bytes that each answer may take, whatever the others take.
const FREE_BYTES: usize = 32 << 10;

/// Memory for buffered answers.
#[derive(Debug)]
pub struct AnswerMemory {
    limit: usize,
    used: AtomicUsize,
}

impl AnswerMemory {
    /// Creates a memory of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
        })
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
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
        let used = &self.memory.used;
        used.fetch_add(size, Ordering::Relaxed);
        used.fetch_sub(self.size, Ordering::Relaxed);
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
        self.memory.used.fetch_sub(self.size, Ordering::Relaxed);
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
