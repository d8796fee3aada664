//! Resume tokens are bound to account and key, and malformed ones never cause a panic.

use primrose_core::id::AttemptId;
use primrose_front::resume_token::ResumeToken;
use primrose_front::resume_token::ResumeTokenError;
use primrose_front::ResumeTokenKey;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Number of texts to try.
const TEXTS: u64 = 2000;
/// Seed of the generated texts.
const SEED: u64 = 2;

fn token() -> ResumeToken {
    ResumeToken {
        attempt: AttemptId {
            request: 0xfeed,
            number: 3,
        },
        addr: "127.0.0.1:9000".parse().unwrap(),
    }
}

#[test]
fn a_resume_token_verifies_only_for_its_account_and_key() {
    let key = ResumeTokenKey::new(b"one key");
    let text = key.sign(token(), "parish-1");
    assert_eq!(key.verify(&text, "parish-1"), Ok(token()));
    assert_eq!(
        key.verify(&text, "parish-2"),
        Err(ResumeTokenError::Invalid)
    );
    let other = ResumeTokenKey::new(b"another key");
    assert_eq!(
        other.verify(&text, "parish-1"),
        Err(ResumeTokenError::Invalid)
    );
}

#[test]
fn no_changed_resume_token_verifies() {
    let key = ResumeTokenKey::new(b"one key");
    let text = key.sign(token(), "parish-1");
    for at in 0..text.len() {
        for letter in ['0', '1', '~', '.', 'f'] {
            let mut changed = text.clone();
            changed.replace_range(at..=at, &letter.to_string());
            let verified = key.verify(&changed, "parish-1");
            // A different spelling of the same token is still valid.
            assert!(verified.is_err() || verified == Ok(token()), "{changed}");
        }
    }
}

#[test]
fn malformed_tokens_are_rejected_without_panic() {
    fn is_rejected(text: String) -> bool {
        let key = ResumeTokenKey::new(b"one key");
        key.verify(&text, "parish-1").is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(TEXTS)
        .quickcheck(is_rejected as fn(String) -> bool);
}
