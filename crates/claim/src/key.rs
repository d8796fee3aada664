//! Keys of claims in the key-value service.
//!
//! A key is `<prefix>/claims/<account>/<SHA-256 of the idempotency key>`. The account name is
//! escaped so that no two accounts share a segment: whatever characters their names contain, one
//! account can neither read nor block the keys of another.

use std::fmt::Write;

use sha2::Digest;
use sha2::Sha256;

use crate::record::hex;

/// Longest escaped account name that is used as a segment, in bytes; a longer one is hashed.
const MAX_SEGMENT_BYTES: usize = 128;

/// Returns the prefix of the keys of all claims of an account.
pub fn account_prefix(prefix: &str, account: &str) -> String {
    format!("{prefix}/claims/{}/", segment(account))
}

/// Returns the key of the claim on one idempotency key of an account.
pub fn claim_key(prefix: &str, account: &str, key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    account_prefix(prefix, account) + &hex(&digest)
}

/// Escapes a name into one segment of a key; different names give different segments.
fn segment(name: &str) -> String {
    let mut out = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_') {
            out.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(out, "={byte:02x}");
        }
    }
    if out.is_empty() || out.len() > MAX_SEGMENT_BYTES {
        // A tilde is escaped above, so no escaped name begins with one.
        return format!("~{}", hex(&Sha256::digest(name.as_bytes())));
    }
    out
}
