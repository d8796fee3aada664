//! Short fingerprints of requests, used to recognize a request that crashes servers.
//!
//! The client account is part of the fingerprint, so that one account cannot get another's requests
//! refused. Claims on idempotency keys use a full digest instead.

use xxhash_rust::xxh3::Xxh3;

/// Fingerprint of a request's account, route and body.
pub type Fingerprint = u64;

/// Computes the fingerprint of a request.
pub fn fingerprint(account: &str, route: &str, body: &[u8]) -> Fingerprint {
    fingerprint_of_segments(account, route, body.len(), std::iter::once(body))
}

/// Computes the fingerprint of a request whose body of `length` bytes is in segments. It does not
/// depend on where the body is split.
pub fn fingerprint_of_segments<'a>(
    account: &str,
    route: &str,
    length: usize,
    segments: impl Iterator<Item = &'a [u8]>,
) -> Fingerprint {
    let mut hash = Xxh3::new();
    // The length prefix makes different splits of the same bytes distinct.
    for part in [account.as_bytes(), route.as_bytes()] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(&(length as u64).to_le_bytes());
    segments.for_each(|segment| hash.update(segment));
    hash.digest()
}
