//! Sealed frames: an authentication tag, a sequence number and a payload.
//!
//! Each direction of a connection has its own key, derived from both nonces of the handshake, so a
//! frame can be replayed neither on another connection nor back to its sender. The sequence number
//! prevents replay within a connection.

use hmac::Mac;
use snafu::ensure;
use snafu::Snafu;

use crate::key::HmacSha256;

/// Bytes of the truncated HMAC-SHA256 tag.
const TAG_BYTES: usize = 16;
/// Bytes of the sequence number.
const SEQUENCE_BYTES: usize = 8;
/// Bytes that sealing adds to a payload.
pub const OVERHEAD_BYTES: usize = TAG_BYTES + SEQUENCE_BYTES;

/// Failure to open a frame.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// The frame is shorter than its header.
    #[snafu(display("frame of {bytes} bytes is too short"))]
    Short {
        /// Length of the frame.
        bytes: usize,
    },
    /// The tag does not match: the frame is forged, damaged or from another connection.
    #[snafu(display("frame tag does not match"))]
    Tag,
    /// The frame is authentic but out of order: one was replayed or dropped.
    #[snafu(display("frame number {got}, expected {expected}"))]
    Sequence {
        /// Number of the next frame in order.
        expected: u64,
        /// Number in the frame.
        got: u64,
    },
}

/// Seals the frames of one direction: adds the tag and the sequence number.
#[derive(Debug)]
pub struct Sealer {
    mac: HmacSha256,
    next: u64,
}

impl Sealer {
    /// Starts at frame 0 under the key.
    pub(crate) fn new(mac: HmacSha256) -> Self {
        Self { mac, next: 0 }
    }

    /// Seals a payload.
    pub fn seal(&mut self, payload: &[u8]) -> Vec<u8> {
        let number = self.next.to_be_bytes();
        self.next += 1;
        let tag = tag(&self.mac, &number, payload).finalize().into_bytes();
        let mut frame = Vec::with_capacity(OVERHEAD_BYTES + payload.len());
        frame.extend_from_slice(&tag[..TAG_BYTES]);
        frame.extend_from_slice(&number);
        frame.extend_from_slice(payload);
        frame
    }
}

/// Opens the frames of one direction: verifies and strips the tag and the sequence number.
#[derive(Debug)]
pub struct Opener {
    mac: HmacSha256,
    next: u64,
}

impl Opener {
    /// Starts at frame 0 under the key.
    pub(crate) fn new(mac: HmacSha256) -> Self {
        Self { mac, next: 0 }
    }

    /// Checks a frame and returns its payload.
    ///
    /// # Errors
    /// [`FrameError`]; the connection must then be closed.
    pub fn open<'a>(&mut self, frame: &'a [u8]) -> Result<&'a [u8], FrameError> {
        let bytes = frame.len();
        let Some((tag_bytes, rest)) = frame.split_at_checked(TAG_BYTES) else {
            return ShortSnafu { bytes }.fail();
        };
        let Some((number, payload)) = rest.split_first_chunk::<SEQUENCE_BYTES>() else {
            return ShortSnafu { bytes }.fail();
        };
        let genuine = tag(&self.mac, number, payload).verify_truncated_left(tag_bytes);
        ensure!(genuine.is_ok(), TagSnafu);
        let got = u64::from_be_bytes(*number);
        let expected = self.next;
        ensure!(got == expected, SequenceSnafu { expected, got });
        self.next += 1;
        Ok(payload)
    }
}

/// Returns an HMAC over the sequence number and the payload, not yet finalized.
fn tag(mac: &HmacSha256, number: &[u8], payload: &[u8]) -> HmacSha256 {
    let mut mac = mac.clone();
    mac.update(number);
    mac.update(payload);
    mac
}
