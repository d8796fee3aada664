//! The record that the key-value service stores for an idempotency key.
//!
//! A record is JSON, so that an operator can read it with any client of the service. It names the
//! request that wrote it: a router that did not receive the reply to its write reads the record
//! back and recognizes its own request.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use snafu::ResultExt;
use snafu::Snafu;

use primrose_core::id::Member;
use primrose_core::id::RequestId;

/// SHA-256 digest of a request body.
pub type BodyDigest = [u8; 32];

/// Wall-clock time in milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// Largest answer that is stored whole, body and content type together, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4096;

/// Error of [`Record::decode`].
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The bytes are not a valid record.
    #[snafu(display("failed to read the claim record"))]
    Malformed {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// The stored answer of a request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The whole body.
    Whole {
        /// Content type of the body.
        content_type: String,
        /// Body in base64.
        body: String,
    },
    /// Only a digest: the answer exceeded [`MAX_ANSWER_BYTES`] or was reduced to save memory.
    Digest {
        /// SHA-256 of the body, in hexadecimal.
        sha256: String,
        /// Length of the body, in bytes.
        bytes: u64,
    },
}

impl Answer {
    /// Stores a short answer whole, and only the digest of a long one.
    pub fn new(content_type: &str, body: &[u8]) -> Self {
        if content_type.len() + body.len() > MAX_ANSWER_BYTES {
            return Self::digest(body);
        }
        Self::Whole {
            content_type: content_type.to_owned(),
            body: STANDARD.encode(body),
        }
    }

    /// Stores only the digest of a body.
    pub fn digest(body: &[u8]) -> Self {
        Self::Digest {
            sha256: hex(&Sha256::digest(body)),
            bytes: body.len() as u64,
        }
    }

    /// Returns the body, if it was stored whole.
    pub fn body(&self) -> Option<Vec<u8>> {
        match self {
            Self::Whole { body, .. } => STANDARD.decode(body).ok(),
            Self::Digest { .. } => None,
        }
    }

    /// Returns the size of the strings in memory, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Self::Whole { content_type, body } => content_type.len() + body.len(),
            Self::Digest { sha256, .. } => sha256.len(),
        }
    }

    /// Replaces a whole body by its digest, to save memory.
    pub(crate) fn keep_digest(&mut self) {
        if let Some(body) = self.body() {
            *self = Self::digest(&body);
        }
    }
}

/// State of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The holder may send the request, or has sent it.
    Claimed,
    /// The holder gave up before sending; the key may be claimed again.
    Released,
    /// The request ran.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// The answer.
        answer: Answer,
    },
    /// The request may have run; whether it did cannot be determined any more.
    Unknown,
    /// The key was closed without a run.
    NotRun,
}

/// The value stored under the key of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Request that wrote the record.
    pub request: RequestId,
    /// Router that received the request.
    pub member: Member,
    /// SHA-256 of the request body, in hexadecimal.
    pub body: String,
    /// Time of writing by the writer's wall clock.
    pub at: UnixMillis,
    /// State of the key.
    pub state: State,
}

impl Record {
    /// Encodes the record as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has only string keys and plain numbers")
    }

    /// Decodes a record from JSON.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(bytes).context(MalformedSnafu)
    }
}

/// Formats bytes in lowercase hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
