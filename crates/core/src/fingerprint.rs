//! Short fingerprints of requests, by which a request that crashes servers is known again.
//!
//! The client account is part of the fingerprint: one account cannot have another's request
//! refused. Claims on idempotency keys do not use this short form; they keep a full digest.

use xxhash_rust::xxh3::Xxh3;

/// Fingerprint of a request's account, route and body.
pub type Fingerprint = u64;

/// Computes the fingerprint of a request.
pub fn fingerprint(account: &str, route: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [account.as_bytes(), route.as_bytes(), body] {
        // The length goes first, so that two splits of the same bytes differ.
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
