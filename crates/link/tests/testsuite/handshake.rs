//! Only holders of a key pass the handshake, and recorded messages cannot be replayed.

use ciborium::Value;
use primrose_link::handshake::AcceptorHandshake;
use primrose_link::handshake::DialerHandshake;
use primrose_link::handshake::HandshakeError;
use primrose_link::Key;
use primrose_link::KeyError;
use primrose_link::Keys;
use primrose_support::seeded::checker;
use quickcheck::TestResult;

use crate::tools::identity;
use crate::tools::key;
use crate::tools::keys;
use crate::tools::nonce;

struct Case {
    name: &'static str,
    dialer: &'static [u8],
    acceptor: &'static [u8],
    succeeds: bool,
}

/// Runs a handshake with the keys of both ends and exchanges a frame each way.
fn complete_handshake(dialer: &Keys, acceptor: &Keys) -> Result<(), HandshakeError> {
    let dialer_handshake = DialerHandshake::new(identity("a"), Some("b".to_owned()), nonce(1));
    let acceptor_handshake =
        AcceptorHandshake::new(identity("b"), nonce(2), &dialer_handshake.first_message())?;
    let (last, mut a) = dialer_handshake.finish(&acceptor_handshake.answer(acceptor), dialer)?;
    let mut b = acceptor_handshake.finish(&last, acceptor)?;
    let frame = a.sealer.seal(b"from a");
    assert_eq!(b.opener.open(&frame).unwrap(), b"from a");
    let frame = b.sealer.seal(b"from b");
    assert_eq!(a.opener.open(&frame).unwrap(), b"from b");
    assert_eq!(a.peer, identity("b"));
    assert_eq!(b.peer, identity("a"));
    Ok(())
}

#[test]
fn keys_can_be_rotated_without_losing_a_link() {
    let cases = [
        Case {
            name: "same key",
            dialer: &[1],
            acceptor: &[1],
            succeeds: true,
        },
        Case {
            name: "new key appended at one end",
            dialer: &[1, 2],
            acceptor: &[1],
            succeeds: true,
        },
        Case {
            name: "new key in front at one end",
            dialer: &[2, 1],
            acceptor: &[1, 2],
            succeeds: true,
        },
        Case {
            name: "old key removed at one end",
            dialer: &[2],
            acceptor: &[2, 1],
            succeeds: true,
        },
        Case {
            name: "another key",
            dialer: &[3],
            acceptor: &[1, 2],
            succeeds: false,
        },
        Case {
            name: "a round skipped",
            dialer: &[2],
            acceptor: &[1],
            succeeds: false,
        },
    ];
    for case in cases {
        let (left, right) = (keys(case.dialer), keys(case.acceptor));
        for (dialer, acceptor) in [(&left, &right), (&right, &left)] {
            let result = complete_handshake(dialer, acceptor);
            let want = if case.succeeds {
                Ok(())
            } else {
                Err(HandshakeError::WrongKey)
            };
            assert_eq!(result, want, "{}", case.name);
        }
    }
}

#[test]
fn a_dialer_without_the_key_is_refused_by_the_acceptor_too() {
    let dialer_handshake = DialerHandshake::new(identity("a"), None, nonce(1));
    let acceptor_handshake =
        AcceptorHandshake::new(identity("b"), nonce(2), &dialer_handshake.first_message()).unwrap();
    // The dialer obtains a complete proof from an acceptor that uses the dialer's key.
    let (last, _) = dialer_handshake
        .finish(&acceptor_handshake.answer(&keys(&[9])), &keys(&[9]))
        .unwrap();
    let refused = acceptor_handshake.finish(&last, &keys(&[1])).unwrap_err();
    assert_eq!(refused, HandshakeError::WrongKey);
}

#[test]
fn a_recorded_handshake_cannot_be_replayed() {
    let dialer_handshake = DialerHandshake::new(identity("a"), None, nonce(1));
    let first = dialer_handshake.first_message();
    let acceptor_handshake = AcceptorHandshake::new(identity("b"), nonce(2), &first).unwrap();
    let answer = acceptor_handshake.answer(&keys(&[1]));
    let (last, _) = dialer_handshake.finish(&answer, &keys(&[1])).unwrap();
    acceptor_handshake.finish(&last, &keys(&[1])).unwrap();
    // To the acceptor, with its next nonce.
    let again = AcceptorHandshake::new(identity("b"), nonce(3), &first).unwrap();
    let refused = again.finish(&last, &keys(&[1])).unwrap_err();
    assert_eq!(refused, HandshakeError::WrongKey);
    // To the dialer, with its next nonce.
    let again = DialerHandshake::new(identity("a"), None, nonce(4));
    let refused = again.finish(&answer, &keys(&[1])).unwrap_err();
    assert_eq!(refused, HandshakeError::WrongKey);
}

#[test]
fn reflected_hello_and_proof_are_refused() {
    let keys = keys(&[1]);
    // An attacker without the key accepts a's connection and reflects a's hello.
    let dialer_handshake = DialerHandshake::new(identity("a"), None, nonce(1));
    let reflected =
        AcceptorHandshake::new(identity("a"), nonce(2), &dialer_handshake.first_message());
    assert_eq!(reflected.unwrap_err(), HandshakeError::OwnName);
    // An attacker dials a in the name of b and returns the acceptor's proof as its own.
    let claim = DialerHandshake::new(identity("b"), None, nonce(3)).first_message();
    let acceptor_handshake = AcceptorHandshake::new(identity("a"), nonce(4), &claim).unwrap();
    let last = with_proof_of(&acceptor_handshake.answer(&keys));
    let refused = acceptor_handshake.finish(&last, &keys).unwrap_err();
    assert_eq!(refused, HandshakeError::WrongKey);
}

/// Builds a last message from the proof in a reply.
fn with_proof_of(answer: &[u8]) -> Vec<u8> {
    let Ok(Value::Map(mut fields)) = ciborium::from_reader(answer) else {
        panic!("the answer is a map");
    };
    fields.retain(|(name, _)| name.as_text() == Some("proof"));
    let mut last = Vec::new();
    ciborium::into_writer(&Value::Map(fields), &mut last).unwrap();
    last
}

#[test]
fn a_proof_is_bound_to_both_identities() {
    let keys = keys(&[1]);
    let dialer_handshake = DialerHandshake::new(identity("a"), None, nonce(1));
    let acceptor_handshake =
        AcceptorHandshake::new(identity("b"), nonce(2), &dialer_handshake.first_message()).unwrap();
    let (last, _) = dialer_handshake
        .finish(&acceptor_handshake.answer(&keys), &keys)
        .unwrap();
    // The same nonces, but the dialer claims to be c.
    let claim = DialerHandshake::new(identity("c"), None, nonce(1)).first_message();
    let forged = AcceptorHandshake::new(identity("b"), nonce(2), &claim).unwrap();
    let refused = forged.finish(&last, &keys).unwrap_err();
    assert_eq!(refused, HandshakeError::WrongKey);
}

#[test]
fn reply_of_another_host_than_the_dialed_one_is_refused() {
    let keys = keys(&[1]);
    let dialer_handshake = DialerHandshake::new(identity("a"), Some("c".to_owned()), nonce(1));
    let acceptor_handshake =
        AcceptorHandshake::new(identity("b"), nonce(2), &dialer_handshake.first_message()).unwrap();
    let refused = dialer_handshake.finish(&acceptor_handshake.answer(&keys), &keys);
    let expected = "c".to_owned();
    let got = "b".to_owned();
    let want = HandshakeError::WrongHost { expected, got };
    assert_eq!(refused.unwrap_err(), want);
}

#[test]
fn empty_and_overlong_names_are_refused() {
    for host in [String::new(), "h".repeat(129)] {
        let first = DialerHandshake::new(identity(&host), None, nonce(1)).first_message();
        let refused = AcceptorHandshake::new(identity("b"), nonce(2), &first).unwrap_err();
        assert_eq!(refused, HandshakeError::Name);
    }
}

#[test]
fn short_and_missing_keys_are_errors() {
    let short = Key::from_bytes(&[1; 31]).unwrap_err();
    assert_eq!(short, KeyError::Short { bytes: 31 });
    assert_eq!(Keys::new(Vec::new()).unwrap_err(), KeyError::Missing);
    assert_eq!(format!("{:?}", key(1)), "Key(..)");
}

#[test]
fn garbage_and_damaged_messages_are_errors() {
    let property: fn(Vec<u8>, usize, usize) -> TestResult = |noise, bit, cut| {
        let keys = keys(&[1]);
        let damage = |good: &[u8]| {
            let mut flipped = good.to_vec();
            let at = bit % (good.len() * 8);
            flipped[at / 8] ^= 1 << (at % 8);
            [noise.clone(), flipped, good[..cut % good.len()].to_vec()]
        };
        let dialer_handshake = || DialerHandshake::new(identity("a"), None, nonce(1));
        let acceptor_handshake =
            |first: &[u8]| AcceptorHandshake::new(identity("b"), nonce(2), first);
        let first = dialer_handshake().first_message();
        let good = acceptor_handshake(&first).unwrap();
        let answer = good.answer(&keys);
        let (last, _) = dialer_handshake().finish(&answer, &keys).unwrap();
        for bad in damage(&first) {
            // A damaged hello may still decode, but then the proof no longer matches.
            if let Ok(acceptor_handshake) = acceptor_handshake(&bad) {
                if acceptor_handshake.finish(&last, &keys).is_ok() {
                    return TestResult::failed();
                }
            }
        }
        let wrong_answer = damage(&answer)
            .iter()
            .any(|bad| dialer_handshake().finish(bad, &keys).is_ok());
        let wrong_last = damage(&last).iter().any(|bad| {
            acceptor_handshake(&first)
                .unwrap()
                .finish(bad, &keys)
                .is_ok()
        });
        TestResult::from_bool(!wrong_answer && !wrong_last)
    };
    checker().tests(300).quickcheck(property);
}
