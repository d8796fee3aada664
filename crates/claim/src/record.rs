//! What the key-value service holds for one idempotency key.
//!
//! A record is JSON, so that an operator can read it with any client of the service. It names the
//! request that wrote it; a router whose write lost its reply reads the record back and knows its
//! own request again.

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

/// Milliseconds of the wall clock since the Unix epoch.
pub type UnixMillis = u64;

/// Largest answer that is stored with a claim, body and content type, in bytes; of a longer one only the digest is kept.
pub const MAX_ANSWER_BYTES: usize = 4096;

/// A record that cannot be read.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The bytes are not a record.
    #[snafu(display("failed to read the claim record"))]
    Malformed {
        /// What the JSON reader found.
        source: serde_json::Error,
    },
}

/// The answer of a request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The whole body.
    Whole {
        /// Its content type.
        content_type: String,
        /// The body in base64.
        body: String,
    },
    /// The body was longer than [`MAX_ANSWER_BYTES`].
    Digest {
        /// SHA-256 of the body, in hexadecimal.
        sha256: String,
        /// Its length, in bytes.
        bytes: u64,
    },
}

impl Answer {
    /// Keeps a short body whole, and the digest of a long one.
    pub fn new(content_type: &str, body: &[u8]) -> Self {
        if content_type.len() + body.len() > MAX_ANSWER_BYTES {
            return Self::digest(body);
        }
        Self::Whole {
            content_type: content_type.to_owned(),
            body: STANDARD.encode(body),
        }
    }

    /// Keeps only the digest of a body.
    pub fn digest(body: &[u8]) -> Self {
        Self::Digest {
            sha256: hex(&Sha256::digest(body)),
            bytes: body.len() as u64,
        }
    }

    /// The body, if it was kept whole.
    pub fn body(&self) -> Option<Vec<u8>> {
        match self {
            Self::Whole { body, .. } => STANDARD.decode(body).ok(),
            Self::Digest { .. } => None,
        }
    }

    /// Length of its text in memory, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Self::Whole { content_type, body } => content_type.len() + body.len(),
            Self::Digest { sha256, .. } => sha256.len(),
        }
    }

    /// Gives up a whole body for its digest, to save memory.
    pub(crate) fn shorten(&mut self) {
        if let Some(body) = self.body() {
            *self = Self::digest(&body);
        }
    }
}

/// How far the request with the key has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The request may be sent by its holder, or has been.
    Claimed,
    /// The holder gave up before sending; the key may be claimed anew.
    Released,
    /// The request ran.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// The answer.
        answer: Answer,
    },
    /// The request may have run; nobody will find out.
    Unknown,
    /// The key was closed without a run.
    NotRun,
}

/// The value under one claim key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request that wrote the record.
    pub request: RequestId,
    /// The router that took the request.
    pub member: Member,
    /// SHA-256 of the request body, in hexadecimal.
    pub body: String,
    /// When the record was written, by the wall clock of its writer.
    pub at: UnixMillis,
    /// How far the request has come.
    pub state: State,
}

impl Record {
    /// Writes the record as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has only string keys and plain numbers")
    }

    /// Reads a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(bytes).context(MalformedSnafu)
    }
}

/// Writes bytes in hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
