//! The parser of completion requests never panics on malformed bodies.

use primrose_front::parse::completion;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Seed of the generated bodies.
const SEED: u64 = 1;
/// Number of bodies to try.
const BODIES: u64 = 2000;

#[test]
fn malformed_bodies_never_panic() {
    fn parses_or_fails(bytes: Vec<u8>) -> bool {
        let _ = completion(&bytes);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(BODIES)
        .quickcheck(parses_or_fails as fn(Vec<u8>) -> bool);
}

#[test]
fn flipped_bytes_never_panic() {
    let body = br#"{"model":"draft","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hi"}]}"#;
    for at in 0..body.len() {
        for bit in 0..8 {
            let mut flipped = body.to_vec();
            flipped[at] ^= 1 << bit;
            let _ = completion(&flipped);
        }
    }
    assert_eq!(completion(body).unwrap().max_tokens, Some(5));
}
