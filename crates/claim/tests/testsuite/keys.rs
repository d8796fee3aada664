//! Keys of claims, and encoding of records.

use primrose_claim::key::claim_key;
use primrose_claim::record::State;
use primrose_claim::record::MAX_ANSWER_BYTES;
use primrose_claim::Answer;
use primrose_claim::Record;
use primrose_core::id::Member;
use primrose_store::store::check_key;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 0x5eed_0001;
const TESTS: u64 = 5_000;

fn check_property<A: quickcheck::Testable>(property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, SEED))
        .tests(TESTS)
        .max_tests(TESTS)
        .quickcheck(property);
}

#[test]
fn accounts_never_share_a_key() {
    struct Case {
        one: (&'static str, &'static str),
        other: (&'static str, &'static str),
    }
    let cases = [
        Case {
            one: ("a", "b/c"),
            other: ("a/b", "c"),
        },
        Case {
            one: ("a=2f", "k"),
            other: ("a/", "k"),
        },
        Case {
            one: ("", "k"),
            other: ("~", "k"),
        },
        Case {
            one: ("..", "k"),
            other: (".", "k"),
        },
    ];
    for case in cases {
        let one = claim_key("p", case.one.0, case.one.1);
        let other = claim_key("p", case.other.0, case.other.1);
        assert_ne!(one, other);
    }
}

#[test]
fn every_account_and_idempotency_key_has_a_valid_key_of_its_own() {
    fn property(one: (String, String), other: (String, String)) -> bool {
        let a = claim_key("primrose", &one.0, &one.1);
        let b = claim_key("primrose", &other.0, &other.1);
        check_key(&a).is_ok() && a.split('/').count() == 4 && (one == other) == (a == b)
    }
    check_property(property as fn((String, String), (String, String)) -> bool);
}

#[test]
fn decoding_arbitrary_bytes_returns_an_error() {
    fn property(bytes: Vec<u8>) -> bool {
        Record::decode(&bytes).is_err()
    }
    check_property(property as fn(Vec<u8>) -> bool);
}

#[test]
fn short_answers_are_stored_whole() {
    fn property(body: Vec<u8>) -> bool {
        Answer::new("application/json", &body).body() == Some(body)
    }
    check_property(property as fn(Vec<u8>) -> bool);
    let long = vec![0; MAX_ANSWER_BYTES + 1];
    assert_eq!(Answer::new("", &long).body(), None);
}

#[test]
fn encoded_records_stay_below_their_size_limits() {
    struct Case {
        state: State,
        max_bytes: usize,
    }
    let answer = |bytes: usize| Answer::new("application/json", &vec![b'x'; bytes]);
    let done = |bytes| State::Done {
        status: 200,
        answer: answer(bytes),
    };
    let cases = [
        Case {
            state: State::Claimed,
            max_bytes: 256,
        },
        Case {
            state: done(200),
            max_bytes: 640,
        },
        Case {
            state: done(4_000),
            max_bytes: 6_144,
        },
        Case {
            state: done(100_000),
            max_bytes: 512,
        },
    ];
    for case in cases {
        let record = Record {
            request: u64::MAX,
            member: Member {
                host: "entry-barasat-1".to_owned(),
                incarnation: 1_764_800_000_000,
            },
            body: "f".repeat(64),
            at: 1_764_800_000_000,
            state: case.state,
        };
        let bytes = record.encode().len();
        println!("{bytes} bytes of at most {}", case.max_bytes);
        assert!(bytes <= case.max_bytes, "{bytes}");
    }
}
