//! Description of a request as read from the caller, and its idempotency key.

use snafu::ensure;
use snafu::Snafu;

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AccountId;
use primrose_core::id::RequestId;
use primrose_core::table::PoolKind;
use primrose_core::table::Route;

/// SHA-256 digest of a request body.
pub type BodyDigest = [u8; 32];

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Error of an invalid idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The key is empty or too long.
    #[snafu(display("an idempotency key has 1 to {MAX_KEY_BYTES} bytes, this one has {bytes}"))]
    KeyLength {
        /// Length of the given key.
        bytes: usize,
    },
    /// The key contains a byte that is not printable ASCII.
    #[snafu(display("an idempotency key holds only printable ASCII characters"))]
    KeyCharacter,
}

/// Validated value of the caller's `Idempotency-Key` header.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Parses a key, checking its length and characters.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let bytes = text.len();
        ensure!(
            (1..=MAX_KEY_BYTES).contains(&bytes),
            KeyLengthSnafu { bytes }
        );
        ensure!(
            text.bytes().all(|b| b.is_ascii_graphic() || b == b' '),
            KeyCharacterSnafu
        );
        Ok(Self(text.to_owned()))
    }

    /// Returns the key as the caller sent it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Description of a request as the router received it.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Random id of the request.
    pub id: RequestId,
    /// Client account that owns the bearer key.
    pub account: AccountId,
    /// Route, from the table generation that was in force when the request arrived.
    pub route: Route,
    /// Kind of the route's pool.
    pub kind: PoolKind,
    /// Whether the caller requested a streamed response.
    pub stream: bool,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Digest of the body, stored with the claim.
    pub body: BodyDigest,
    /// Fingerprint of account, route and body.
    pub fingerprint: Fingerprint,
    /// Whether the fingerprint is suspected of crashing servers, so that the request may run only
    /// alone on the server reserved for suspects.
    pub suspect: bool,
}

impl Spec {
    /// Returns whether a claim must be held before anything is sent to a backend server.
    pub fn needs_claim(&self) -> bool {
        !self.route.idempotent && self.key.is_some()
    }

    /// Returns whether a broken response can be resumed at the server that started it.
    pub fn can_resume(&self) -> bool {
        self.stream && self.kind == PoolKind::Engine
    }
}
