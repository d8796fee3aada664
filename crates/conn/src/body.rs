//! Bodies of requests: received in segments and sent to servers as often as needed.
//!
//! Segments of equal size keep a body that grows from being moved, and leave no holes in the heap when
//! it is dropped: with one block for each body, many bodies that grow at once take up to twice their
//! size. A chunk is copied, so that one of a single byte costs a byte.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use primrose_core::clock::Mono;
use primrose_core::memory::MemoryCharge;

/// Maximum size of a segment.
const SEGMENT_BYTES: usize = 16 << 10;
/// Minimum size of the first segment.
const MIN_SEGMENT_BYTES: usize = 512;
/// Maximum slack of the last segment of a whole body; with more, it is shrunk.
const MAX_SLACK_BYTES: usize = 1 << 10;

/// Body of a request to a backend server. Clones share the bytes.
#[derive(Debug, Clone, Default)]
pub struct RequestBody {
    segments: Arc<[Bytes]>,
    /// Number of segments that were sent.
    sent: usize,
    /// Bytes of the segments that were not sent.
    left: usize,
}

impl RequestBody {
    /// Returns the length in bytes of what was not sent.
    pub fn len(&self) -> usize {
        self.left
    }

    /// Returns whether nothing is left to send.
    pub fn is_empty(&self) -> bool {
        self.left == 0
    }

    /// Returns the segments that were not sent.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments[self.sent..].iter().map(|bytes| &bytes[..])
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        let left = bytes.len();
        Self {
            segments: if left == 0 {
                Arc::default()
            } else {
                Arc::new([bytes])
            },
            sent: 0,
            left,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Some(segment) = self.segments.get(self.sent).cloned() else {
            return Poll::Ready(None);
        };
        self.sent += 1;
        self.left -= segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

/// A body that is being received. Its memory is charged to a budget until the last clone of the body
/// made of it is dropped.
#[derive(Debug)]
pub struct BodyBuffer {
    segments: Vec<Vec<u8>>,
    len: usize,
    /// Bytes of all segments, filled or not.
    allocated: usize,
    charge: MemoryCharge,
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub fn new(charge: MemoryCharge) -> Self {
        Self {
            segments: Vec::new(),
            len: 0,
            allocated: 0,
            charge,
        }
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a copy of `data`; returns false if the budget refuses the body.
    #[must_use]
    pub fn push(&mut self, mut data: &[u8], now: Mono) -> bool {
        while !data.is_empty() {
            let last = self.segments.last();
            let room = last.map_or(0, |last| last.capacity() - last.len());
            if room == 0 {
                if !self.add_room(data.len(), now) {
                    return false;
                }
                continue;
            }
            let (now_fits, rest) = data.split_at(room.min(data.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now_fits);
            }
            self.len += now_fits.len();
            data = rest;
        }
        true
    }

    /// Makes room for up to `wanted` bytes: doubles the first segment up to [`SEGMENT_BYTES`], then adds
    /// whole ones.
    fn add_room(&mut self, wanted: usize, now: Mono) -> bool {
        let is_first = self.allocated < SEGMENT_BYTES;
        let size = if is_first {
            let doubled = self.allocated * 2;
            let size = doubled.max(self.len + wanted).max(MIN_SEGMENT_BYTES);
            size.min(SEGMENT_BYTES)
        } else {
            SEGMENT_BYTES
        };
        let allocated = if is_first {
            size
        } else {
            self.allocated + size
        };
        if !self.charge.grow(allocated, now) {
            return false;
        }
        self.allocated = allocated;
        match self.segments.last_mut() {
            Some(first) if is_first => first.reserve_exact(size - first.len()),
            _ => self.segments.push(Vec::with_capacity(size)),
        }
        true
    }

    /// Waits until the budget refuses the body.
    pub async fn evicted(&self) {
        poll_fn(|cx| self.charge.poll_evicted(cx)).await;
    }

    /// Returns the whole body in one block; none if the budget has refused it.
    pub fn finish_joined(self) -> Option<Bytes> {
        if self.segments.len() <= 1 {
            return self.finish().map(|body| {
                let first = body.segments.first();
                first.cloned().unwrap_or_default()
            });
        }
        let len = self.len;
        let mut bytes = Vec::with_capacity(len);
        // Frees each segment once it is copied.
        for segment in self.segments {
            bytes.extend_from_slice(&segment);
        }
        self.charge.complete(len).then(|| {
            Bytes::from_owner(Segment {
                bytes,
                _charge: Arc::new(self.charge),
            })
        })
    }

    /// Returns the whole body; none if the budget has refused it.
    pub fn finish(mut self) -> Option<RequestBody> {
        if let Some(last) = self.segments.last_mut() {
            let slack = last.capacity() - last.len();
            if slack > MAX_SLACK_BYTES {
                last.shrink_to_fit();
                self.allocated -= slack;
            }
        }
        if !self.charge.complete(self.allocated) {
            return None;
        }
        let charge = Arc::new(self.charge);
        let segments = self.segments.into_iter().map(|bytes| {
            Bytes::from_owner(Segment {
                bytes,
                _charge: Arc::clone(&charge),
            })
        });
        Some(RequestBody {
            segments: segments.collect(),
            sent: 0,
            left: self.len,
        })
    }
}

/// A part of a body, with the memory of the whole.
struct Segment {
    bytes: Vec<u8>,
    _charge: Arc<MemoryCharge>,
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
