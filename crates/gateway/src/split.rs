//! Splits a stream into whole events.
//!
//! A server may stop in the middle of an event. Only whole events are passed on, so that another
//! server can go on after the last one and nothing is joined from two runs.

use bytes::Bytes;
use bytes::BytesMut;

use crate::adapter::EventId;

/// Most bytes of one event; more is no event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes and gives whole events back.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last_event_id: Option<EventId>,
}

impl Splitter {
    /// Starts after an event that the caller has already.
    pub fn starting_after(last_event_id: Option<EventId>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_event_id,
        }
    }

    /// Takes bytes in; returns all whole events that are complete by now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = complete_len(&self.buffer);
        if end == 0 {
            return None;
        }
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_event_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the last whole event.
    pub fn last_event_id(&self) -> Option<EventId> {
        self.last_event_id
    }

    /// Whether an event has begun that is not whole.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the event that has begun is too long to be one.
    pub fn is_partial_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Length up to and including the last blank line.
fn complete_len(bytes: &[u8]) -> usize {
    let mut search_end = bytes.len();
    while let Some(at) = bytes[..search_end].iter().rposition(|byte| *byte == b'\n') {
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
