//! Passes for streams: bound to the account, and never a panic.

use primrose_core::id::AttemptId;
use primrose_front::resume_token::ResumeToken;
use primrose_front::resume_token::ResumeTokenError;
use primrose_front::ResumeTokenKey;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Texts to try.
const TEXTS: u64 = 2000;
/// Seed of the texts.
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
fn a_pass_is_good_for_its_account_and_key_only() {
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
fn no_changed_pass_is_good() {
    let key = ResumeTokenKey::new(b"one key");
    let text = key.sign(token(), "parish-1");
    for at in 0..text.len() {
        for letter in ['0', '1', '~', '.', 'f'] {
            let mut changed = text.clone();
            changed.replace_range(at..=at, &letter.to_string());
            let opened = key.verify(&changed, "parish-1");
            // Another spelling of the same pass is still the same pass.
            assert!(opened.is_err() || opened == Ok(token()), "{changed}");
        }
    }
}

#[test]
fn garbage_never_panics() {
    fn opens_or_fails(text: String) -> bool {
        let key = ResumeTokenKey::new(b"one key");
        key.verify(&text, "parish-1").is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(TEXTS)
        .quickcheck(opens_or_fails as fn(String) -> bool);
}
