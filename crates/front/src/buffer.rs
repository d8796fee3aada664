//! Buffers the answer of a backend server: its head, the parts held back and the copy to store.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use primrose_core::memory::MemoryBudget;
use primrose_core::memory::MemoryKind;
use primrose_request::ConnEvent;
use primrose_request::Seq;
use primrose_request::Settlement;
use tokio::sync::OwnedSemaphorePermit;

use crate::attempt::Payload;
use crate::attempt::EVENT_STREAM;
use crate::attempt::STREAM_END;
use crate::broker::StoredAnswer;
use crate::caller::Head;

/// Maximum size of an answer stored with a claim, in bytes.
const MAX_STORED_BYTES: usize = 64 << 10;

/// Size from which a part of an answer counts in the memory of the process.
const MIN_COUNTED_BYTES: usize = 1 << 10;

/// The answer as received so far.
#[derive(Debug)]
pub(crate) struct Answer {
    memory: Arc<MemoryBudget>,
    media_type: String,
    /// The part received with the latest event.
    latest: Bytes,
    /// The part of the server's window that it takes.
    latest_room: Option<OwnedSemaphorePermit>,
    /// Parts that the lifecycle holds back.
    held: Vec<Bytes>,
    held_bytes: usize,
    /// Copy of everything so far, to be stored with a claim.
    stored_copy: StoredCopy,
    /// Head to send with the next part.
    pub(crate) head: Option<Head>,
    /// Parts ready to send.
    pub(crate) ready: Vec<Bytes>,
    /// Whether the caller no longer reads the answer.
    pub(crate) caller_stopped_reading: bool,
}

/// Bytes of an answer that count in the memory of the process.
struct Counted {
    bytes: Bytes,
    memory: Arc<MemoryBudget>,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let bytes = self.bytes.len();
        self.memory.replace(MemoryKind::Answer, bytes, 0);
    }
}

/// Bytes that take a part of the server's window.
struct InWindow {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for InWindow {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Copy of an answer; overflows once it exceeds [`MAX_STORED_BYTES`].
#[derive(Debug, Default)]
struct StoredCopy {
    bytes: BytesMut,
    overflow: bool,
}

impl StoredCopy {
    fn push(&mut self, part: &Bytes) {
        if self.bytes.len() + part.len() > MAX_STORED_BYTES {
            self.overflow = true;
            self.bytes = BytesMut::new();
        }
        if !self.overflow {
            self.bytes.extend_from_slice(part);
        }
    }
}

impl Answer {
    pub(crate) fn new(memory: &Arc<MemoryBudget>) -> Self {
        Self {
            memory: Arc::clone(memory),
            media_type: String::new(),
            latest: Bytes::new(),
            latest_room: None,
            held: Vec::new(),
            held_bytes: 0,
            stored_copy: StoredCopy::default(),
            head: None,
            ready: Vec::new(),
            caller_stopped_reading: false,
        }
    }

    /// Returns a block that counts in the memory until it is dropped.
    fn count(&self, bytes: Bytes) -> Bytes {
        if bytes.len() < MIN_COUNTED_BYTES {
            return bytes;
        }
        self.memory.replace(MemoryKind::Answer, 0, bytes.len());
        Bytes::from_owner(Counted {
            bytes,
            memory: Arc::clone(&self.memory),
        })
    }

    /// Joins the parts of a whole answer.
    pub(crate) fn join(&self, parts: &[Bytes]) -> Bytes {
        self.count(parts.concat().into())
    }

    /// Records the payload of an event, which takes `room` until it is held back or dropped.
    pub(crate) fn receive(
        &mut self,
        event: ConnEvent,
        payload: Payload,
        room: Option<OwnedSemaphorePermit>,
    ) {
        self.latest_room = room;
        self.latest = match payload {
            Payload::None => return,
            Payload::MediaType(media_type) => {
                self.media_type = media_type;
                return;
            }
            Payload::Event(data) => self.count(render_event(event, &data)),
            Payload::Block(block) => self.count(block),
        };
    }

    /// Returns whether the answer is a token stream.
    pub(crate) fn is_stream(&self) -> bool {
        self.media_type.starts_with(EVENT_STREAM)
    }

    /// Returns whether the parts held back exceed the limit, in bytes.
    pub(crate) fn held_exceeds(&self, limit: usize) -> bool {
        self.held_bytes > limit
    }

    pub(crate) fn set_head(&mut self, status: u16) {
        self.head = Some(Head {
            status,
            media_type: self.media_type.clone(),
        });
    }

    /// Frees the room of a latest part that was neither released nor held back.
    pub(crate) fn free_latest_room(&mut self) {
        self.latest_room = None;
    }

    /// Holds back the latest part. It has a limit of its own and takes no room any more: more of the
    /// answer has to be read before it is released.
    pub(crate) fn hold_latest(&mut self) {
        self.latest_room = None;
        let part = std::mem::take(&mut self.latest);
        self.stored_copy.push(&part);
        self.held_bytes += part.len();
        self.held.push(part);
    }

    /// Discards the parts held back and the copy to store.
    pub(crate) fn drop_held(&mut self) {
        self.held.clear();
        self.held_bytes = 0;
        self.stored_copy = StoredCopy::default();
    }

    /// Makes the latest part ready to send.
    pub(crate) fn release_latest(&mut self) {
        let part = std::mem::take(&mut self.latest);
        self.stored_copy.push(&part);
        self.ready.push(in_window(part, self.latest_room.take()));
    }

    /// Makes the parts held back ready to send.
    pub(crate) fn release_held(&mut self) {
        self.held_bytes = 0;
        self.ready.append(&mut self.held);
    }

    /// Returns the answer to store with a claim; `None` unless the request completed.
    pub(crate) fn stored(&self, settlement: Settlement) -> Option<StoredAnswer> {
        let Settlement::Done { status } = settlement else {
            return None;
        };
        let mut body = self.stored_copy.bytes.clone();
        if self.is_stream() {
            body.extend_from_slice(&stream_end());
        }
        Some(StoredAnswer {
            status,
            content_type: self.media_type.clone(),
            body: (!self.stored_copy.overflow).then(|| body.freeze()),
        })
    }
}

/// Returns a part that takes room in the server's window until it is dropped. Small ones take none:
/// the channels' capacities bound them.
pub(crate) fn in_window(part: Bytes, room: Option<OwnedSemaphorePermit>) -> Bytes {
    match room {
        Some(room) if part.len() >= MIN_COUNTED_BYTES => Bytes::from_owner(InWindow {
            bytes: part,
            _room: room,
        }),
        _ => part,
    }
}

/// Renders one event of a token stream with its sequence number, from which a caller can resume.
pub(crate) fn render_event(event: ConnEvent, data: &str) -> Bytes {
    let seq: Seq = match event {
        ConnEvent::Item { seq } => seq,
        _ => 0,
    };
    let mut text = format!("id: {seq}\n");
    for line in data.split('\n') {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    Bytes::from(text)
}

/// Renders the event that ends a complete token stream.
pub(crate) fn stream_end() -> Bytes {
    Bytes::from(format!("data: {STREAM_END}\n\n"))
}

/// Renders the error event that ends an incomplete token stream.
pub(crate) fn stream_error(json: &str) -> Bytes {
    Bytes::from(format!("event: error\ndata: {json}\n\n"))
}
