//! Splits an event stream into complete events, and checks that they are events.
//!
//! A server may stop in the middle of an event. Only complete events are forwarded, so that another
//! server can resume the stream after the last one and no event mixes data of two runs. A server in
//! trouble may also send bytes that are no event stream, in any amount; none of them is forwarded.

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;

use crate::adapter::EventId;
use crate::sequence::Sequence;

/// Maximum length of one event; with more, the data is not taken for an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Field of an event that holds its id.
const ID: &str = "id";
/// Field that only states after what time a caller may connect again.
const RETRY: &str = "retry";

/// Why data is no event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StreamFault {
    /// An event has bytes that are no text.
    #[display("an event is not UTF-8 text")]
    NotText,
    /// A line is neither a field with a name nor a comment.
    #[display("a line of an event is not a field")]
    NotField,
    /// An event has fields but no id.
    #[display("an event has no id")]
    NoId,
    /// An event has an id that is not greater than the one before.
    #[display("an event comes again, or out of order")]
    OutOfOrder,
    /// The first event of a server that goes on is not the next one.
    #[display("events are missing where the server goes on")]
    Missing,
    /// An event does not come to its end.
    #[display("an event is too long")]
    TooLong,
}

/// Buffers the bytes of a stream and returns them in complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    sequence: Sequence,
    event_count: u64,
    fault: Option<StreamFault>,
}

impl Splitter {
    /// Creates a splitter for a stream that starts after an event that the caller already has.
    pub fn starting_after(last_event_id: Option<EventId>) -> Self {
        Self {
            sequence: Sequence::starting_after(last_event_id),
            ..Self::default()
        }
    }

    /// Creates a splitter for the data of another server, which goes on after the last event.
    pub fn continued(&self) -> Self {
        Self {
            sequence: self.sequence.continued(),
            ..Self::default()
        }
    }

    /// Adds bytes to the buffer; removes and returns all complete events up to the first fault.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if self.fault.is_some() {
            return None;
        }
        let known = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let end = complete_len(&self.buffer, known);
        let mut whole = self.buffer.split_to(end).freeze();
        if self.buffer.len() > MAX_EVENT_BYTES {
            self.fault = Some(StreamFault::TooLong);
        }
        if let Err((sound, fault)) = self.check(&whole) {
            self.fault = Some(fault);
            whole.truncate(sound);
        }
        if self.fault.is_some() {
            self.buffer.clear();
        }
        (!whole.is_empty()).then_some(whole)
    }

    /// Returns the id of the last complete event.
    pub fn last_event_id(&self) -> Option<EventId> {
        self.sequence.last()
    }

    /// Returns the number of events that the data held.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether the data held an event.
    pub fn has_events(&self) -> bool {
        self.event_count > 0
    }

    /// Returns why the data after the events that were returned is no event stream, if it is not.
    pub fn fault(&self) -> Option<StreamFault> {
        self.fault
    }

    /// Returns whether the buffer holds the beginning of an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of bytes of the beginning of an event.
    pub fn partial_len(&self) -> usize {
        self.buffer.len()
    }

    /// Checks complete events; returns the first fault with the length of the events before it.
    fn check(&mut self, events: &[u8]) -> Result<(), (usize, StreamFault)> {
        let mut event = Event::default();
        let (mut sound, mut length) = (0, 0);
        for line in events.split_inclusive(|byte| *byte == b'\n') {
            length += line.len();
            let added = event.add_line(line).map_err(|fault| (sound, fault))?;
            if added == Line::Blank {
                let id = std::mem::take(&mut event).finish();
                if let Some(id) = id.map_err(|fault| (sound, fault))? {
                    self.sequence.add(id).map_err(|fault| (sound, fault))?;
                    self.event_count += 1;
                }
                sound = length;
            }
        }
        Ok(())
    }
}

/// Kind of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Line {
    Blank,
    Filled,
}

/// What is known of an event while its lines are read.
#[derive(Debug, Default)]
struct Event {
    id: Option<EventId>,
    /// Whether it has fields that a caller takes for an event.
    has_fields: bool,
}

impl Event {
    fn add_line(&mut self, line: &[u8]) -> Result<Line, StreamFault> {
        let line = std::str::from_utf8(line).map_err(|_| StreamFault::NotText)?;
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            return Ok(Line::Blank);
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        if name.is_empty() {
            // A comment, which servers send to keep the connection open.
            return Ok(Line::Filled);
        }
        let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
        if !name.bytes().all(is_name_byte) {
            return Err(StreamFault::NotField);
        }
        if name == ID {
            self.id = value.trim().parse().ok();
        }
        self.has_fields |= name != RETRY;
        Ok(Line::Filled)
    }

    /// Returns the id; none if there were only comments.
    fn finish(self) -> Result<Option<EventId>, StreamFault> {
        match self.id {
            None if self.has_fields => Err(StreamFault::NoId),
            id => Ok(id),
        }
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
