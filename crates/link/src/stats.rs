//! Traffic statistics of the links.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use primrose_core::id::HostId;

/// Bytes, frames and messages of one link or of all links.
///
/// Bytes are counted on the TCP stream: they include handshakes, WebSocket framing, sequence
/// numbers and tags, but not TCP and IP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Frames received after the handshake.
    pub frames_in: u64,
    /// Frames sent after the handshake.
    pub frames_out: u64,
    /// Messages received.
    pub messages_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Messages rejected because the queue was full.
    pub dropped: u64,
}

/// Statistics of a link that is up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkStats {
    /// The peer.
    pub host: HostId,
    /// Traffic of the connection, including its handshake.
    pub traffic: Traffic,
}

/// Statistics of an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// All traffic since the start, including that of refused connections.
    pub total: Traffic,
    /// Links that are up, sorted by host.
    pub links: Vec<LinkStats>,
    /// Connections refused since the start, except duplicates of a preferred link.
    pub refused: u64,
}

/// Atomic counters from which [`Traffic`] is read.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) bytes_in: AtomicU64,
    pub(crate) bytes_out: AtomicU64,
    pub(crate) frames_in: AtomicU64,
    pub(crate) frames_out: AtomicU64,
    pub(crate) messages_in: AtomicU64,
    pub(crate) messages_out: AtomicU64,
    pub(crate) dropped: AtomicU64,
}

impl Counters {
    /// Returns the current values of all counters.
    pub(crate) fn snapshot(&self) -> Traffic {
        Traffic {
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
            frames_in: self.frames_in.load(Ordering::Relaxed),
            frames_out: self.frames_out.load(Ordering::Relaxed),
            messages_in: self.messages_in.load(Ordering::Relaxed),
            messages_out: self.messages_out.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
        }
    }
}

/// Adds to a counter.
pub(crate) fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}
