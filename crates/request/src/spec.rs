//! What is known of a request when it has been read from the caller.

use snafu::ensure;
use snafu::Snafu;

use primrose_core::fingerprint::Fingerprint;
use primrose_core::id::AccountId;
use primrose_core::id::RequestId;
use primrose_core::table::PoolKind;
use primrose_core::table::Route;

/// SHA-256 digest of a request body.
pub type BodyDigest = [u8; 32];

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// An idempotency key that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The key is empty or too long.
    #[snafu(display("an idempotency key has 1 to {MAX_KEY_BYTES} bytes, this one has {bytes}"))]
    KeyLength {
        /// Length of the key that was given.
        bytes: usize,
    },
    /// The key holds a byte that is not printable ASCII.
    #[snafu(display("an idempotency key holds only printable ASCII characters"))]
    KeyCharacter,
}

/// The caller's `Idempotency-Key`, checked.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Checks the length and the characters of a key.
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

    /// Returns the key as the caller wrote it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A request as the router took it from the caller.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Random id of the request.
    pub id: RequestId,
    /// Client account that the bearer key belongs to.
    pub account: AccountId,
    /// Route of the generation that was in force on arrival.
    pub route: Route,
    /// Kind of the route's pool.
    pub kind: PoolKind,
    /// Whether the caller reads the answer event by event.
    pub stream: bool,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Digest of the body, kept with the claim.
    pub body: BodyDigest,
    /// Fingerprint of account, route and body.
    pub fingerprint: Fingerprint,
    /// Whether the fingerprint is a suspect, which runs only apart from others.
    pub suspect: bool,
}

impl Spec {
    /// Whether a claim must be held before the first byte leaves for a backend server.
    pub fn needs_claim(&self) -> bool {
        !self.route.idempotent && self.key.is_some()
    }

    /// Whether a broken answer can be resumed at the server that began it.
    pub fn can_resume(&self) -> bool {
        self.stream && self.kind == PoolKind::Engine
    }
}
