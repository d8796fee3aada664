//! A frame can be opened only once, in order, and by the other end of its connection.

use primrose_link::frame::FrameError;
use primrose_support::seeded::checker;

use crate::tools::sessions;

#[test]
fn opens_frames_sealed_by_the_other_end() {
    let (mut a, mut b) = sessions([1, 2]);
    for payload in [&b""[..], b"one", &[7; 5000]] {
        let frame = a.sealer.seal(payload);
        assert_eq!(b.opener.open(&frame).unwrap(), payload);
        let frame = b.sealer.seal(payload);
        assert_eq!(a.opener.open(&frame).unwrap(), payload);
    }
}

#[test]
fn refuses_replayed_and_dropped_frames() {
    let (mut a, mut b) = sessions([1, 2]);
    let frames: Vec<Vec<u8>> = (0..3).map(|_| a.sealer.seal(b"x")).collect();
    b.opener.open(&frames[0]).unwrap();
    let replayed = b.opener.open(&frames[0]).unwrap_err();
    let (expected, got) = (1, 0);
    assert_eq!(replayed, FrameError::Sequence { expected, got });
    let skipped = b.opener.open(&frames[2]).unwrap_err();
    let (expected, got) = (1, 2);
    assert_eq!(skipped, FrameError::Sequence { expected, got });
}

#[test]
fn refuses_reflected_frames_and_those_of_other_connections() {
    let (mut a, mut b) = sessions([1, 2]);
    let (mut other, _) = sessions([1, 3]);
    let frame = a.sealer.seal(b"x");
    assert_eq!(a.opener.open(&frame).unwrap_err(), FrameError::Tag);
    let frame = other.sealer.seal(b"x");
    assert_eq!(b.opener.open(&frame).unwrap_err(), FrameError::Tag);
}

#[test]
fn refuses_flipped_bits_and_truncated_frames() {
    let property: fn(Vec<u8>, usize, usize) -> bool = |payload, bit, cut| {
        let (mut a, mut b) = sessions([1, 2]);
        let frame = a.sealer.seal(&payload);
        let mut flipped = frame.clone();
        let at = bit % (frame.len() * 8);
        flipped[at / 8] ^= 1 << (at % 8);
        let cut = &frame[..cut % frame.len()];
        b.opener.open(&flipped).is_err() && b.opener.open(cut).is_err()
    };
    checker().tests(500).quickcheck(property);
}

#[test]
fn refuses_garbage() {
    let property: fn(Vec<u8>) -> bool = |bytes| {
        let (_, mut b) = sessions([1, 2]);
        b.opener.open(&bytes).is_err()
    };
    checker().tests(500).quickcheck(property);
}
