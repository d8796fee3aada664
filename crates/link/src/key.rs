//! Shared peer keys and their rotation.
//!
//! Every router has a list of accepted keys and signs with the first. A key is replaced in three
//! rollouts over the fleet, each of which keeps all links working: append the new key, move it to
//! the front, remove the old one.

use std::fmt;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use snafu::ensure;
use snafu::Snafu;

/// HMAC with SHA-256, used for all tags and proofs.
pub(crate) type HmacSha256 = Hmac<Sha256>;

/// Shortest accepted key, in bytes.
pub const MIN_KEY_BYTES: usize = 32;

/// An unusable key or list of keys.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum KeyError {
    /// The key is so short that it could be guessed offline from one recorded handshake.
    #[snafu(display("peer key has {bytes} bytes; use at least {MIN_KEY_BYTES} random ones"))]
    Short {
        /// Length of the key.
        bytes: usize,
    },
    /// The list is empty, so no peer could be authenticated.
    #[snafu(display("no peer key given; set at least one"))]
    Missing,
}

/// A shared peer key; its `Debug` output does not reveal it.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Vec<u8>);

impl Key {
    /// Creates a key from at least [`MIN_KEY_BYTES`] bytes.
    ///
    /// # Errors
    /// [`KeyError::Short`] if there are fewer.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, KeyError> {
        ensure!(
            bytes.len() >= MIN_KEY_BYTES,
            ShortSnafu { bytes: bytes.len() }
        );
        Ok(Self(bytes.to_vec()))
    }

    /// Returns the raw key, for authentication elsewhere under the same secret.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Creates an HMAC under this key.
    pub(crate) fn hmac(&self) -> HmacSha256 {
        HmacSha256::new_from_slice(&self.0).expect("an HMAC takes keys of any length")
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// List of accepted keys; the first one signs.
#[derive(Debug, Clone)]
pub struct Keys(Vec<Key>);

impl Keys {
    /// Creates a list of accepted keys.
    ///
    /// # Errors
    /// [`KeyError::Missing`] if the list is empty.
    pub fn new(keys: Vec<Key>) -> Result<Self, KeyError> {
        ensure!(!keys.is_empty(), MissingSnafu);
        Ok(Self(keys))
    }

    /// Returns the key used for signing.
    pub fn signing_key(&self) -> &Key {
        &self.0[0]
    }

    /// Returns all accepted keys.
    pub(crate) fn accepted(&self) -> &[Key] {
        &self.0
    }
}
