//! Encoding of the messages in a frame.
//!
//! A frame carries a CBOR sequence (RFC 8742) of the messages that were queued when it was written.
//! Sharing a frame saves the header, the tag and the system call of every message but the first,
//! which would be most of the bytes for messages as short as a grant. An empty sequence is a
//! keepalive.

use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::ensure;
use snafu::Snafu;

/// Maximum number of messages in a frame; bounds what the decoder allocates for short ones.
pub const MAX_FRAME_MESSAGES: usize = 1024;

/// Failure to encode or decode messages.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CodecError {
    /// The value cannot be written as CBOR.
    #[snafu(display("failed to encode a message: {cause}"))]
    Encode {
        /// Error of the encoder.
        cause: String,
    },
    /// The bytes are not a valid message.
    #[snafu(display("failed to decode message {index} of a frame: {cause}"))]
    Decode {
        /// Position in the frame, from 0.
        index: usize,
        /// Error of the decoder.
        cause: String,
    },
    /// The frame holds more than [`MAX_FRAME_MESSAGES`] messages.
    #[snafu(display("more than {MAX_FRAME_MESSAGES} messages in a frame"))]
    TooMany,
}

/// Encodes one message.
///
/// # Errors
/// [`CodecError::Encode`] if the value cannot be written as CBOR.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::new();
    match ciborium::into_writer(message, &mut bytes) {
        Ok(()) => Ok(bytes),
        Err(e) => EncodeSnafu {
            cause: e.to_string(),
        }
        .fail(),
    }
}

/// Decodes all messages of a frame.
///
/// # Errors
/// [`CodecError::Decode`] for an invalid message, [`CodecError::TooMany`] for too many messages.
pub fn decode_all<M: DeserializeOwned>(payload: &[u8]) -> Result<Vec<M>, CodecError> {
    let mut rest = payload;
    let mut messages = Vec::new();
    while !rest.is_empty() {
        let index = messages.len();
        ensure!(index < MAX_FRAME_MESSAGES, TooManySnafu);
        match ciborium::from_reader(&mut rest) {
            Ok(message) => messages.push(message),
            Err(e) => {
                let cause = e.to_string();
                return DecodeSnafu { index, cause }.fail();
            }
        }
    }
    Ok(messages)
}
