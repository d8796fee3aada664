//! Limits on the memory, connections and time that a caller or a backend server may use.

use std::time::Duration;

use primrose_core::memory::MemoryBounds;

/// Part of the memory that only small bodies get.
const SMALL_DIVISOR: usize = 5;

/// Limits of the callers' listener and of the answers of backend servers.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of the parts of an answer that are held back, in bytes.
    pub answer_bytes: usize,
    /// Memory for request bodies and answers of all callers together, in bytes. Above four fifths of
    /// it, large bodies that make no progress are refused, then other large ones; above all of it, small
    /// ones, too.
    pub buffered_bytes: usize,
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum time that a caller may take to send the head.
    pub header_timeout: Duration,
    /// Maximum time that a caller may take to send the body.
    pub body_timeout: Duration,
    /// Maximum time that a caller may take to accept the next part of an answer.
    pub write_timeout: Duration,
    /// Maximum time to connect to a backend server.
    pub connect_timeout: Duration,
    /// Maximum time without data from a backend server within an answer.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            answer_bytes: 8 << 20,
            buffered_bytes: 256 << 20,
            connections: 2048,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(20),
            write_timeout: Duration::from_secs(20),
            connect_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(20),
        }
    }
}

impl Limits {
    /// Returns the bounds of the memory for request bodies and answers.
    pub(crate) fn memory_bounds(&self) -> MemoryBounds {
        let for_small = self.buffered_bytes / SMALL_DIVISOR;
        MemoryBounds::new(self.buffered_bytes - for_small, for_small)
    }
}
