//! Splits an event stream into complete events.
//!
//! A server may stop in the middle of an event. Only complete events are forwarded, so that another
//! server can resume the stream after the last one and no event mixes data of two runs.

use bytes::Bytes;
use bytes::BytesMut;

use crate::adapter::EventId;

/// Maximum length of one event; with more, the data is not taken for an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of a stream and returns them in complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_event_id: Option<EventId>,
}

impl Splitter {
    /// Creates a splitter for a stream that starts after an event that the caller already has.
    pub fn starting_after(last_event_id: Option<EventId>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_event_id,
        }
    }

    /// Adds bytes to the buffer; removes and returns all complete events.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let known = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let end = complete_len(&self.buffer, known);
        if end == 0 {
            return None;
        }
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_event_id = Some(id);
        }
        Some(whole)
    }

    /// Returns the id of the last complete event.
    pub fn last_event_id(&self) -> Option<EventId> {
        self.last_event_id
    }

    /// Returns whether the buffer holds the beginning of an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the incomplete event in the buffer is too long.
    pub fn is_partial_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Returns the length up to and including the last blank line that ends in the bytes from `known`
/// on; zero if there is none. The bytes before were searched already.
fn complete_len(bytes: &[u8], known: usize) -> usize {
    let mut search_end = bytes.len();
    let last_newline = |end: usize| {
        let found = bytes[known..end].iter().rposition(|byte| *byte == b'\n');
        found.map(|at| known + at)
    };
    while let Some(at) = last_newline(search_end) {
        let before = &bytes[..at];
        let line = before.strip_suffix(b"\r").unwrap_or(before);
        if line.ends_with(b"\n") {
            return at + 1;
        }
        search_end = at;
    }
    0
}

fn last_id(events: &[u8]) -> Option<EventId> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}
