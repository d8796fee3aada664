//! Encoding of message sequences; garbage is an error and never causes a panic.

use std::time::Duration;

use primrose_link::codec::decode_all;
use primrose_link::codec::encode;
use primrose_link::codec::CodecError;
use primrose_link::codec::MAX_FRAME_MESSAGES;
use primrose_member::Event;
use primrose_member::Heartbeat;
use primrose_member::LeavingMark;
use primrose_member::Record;
use primrose_member::Settings;
use primrose_member::Summary;
use primrose_member::TableVersion;
use primrose_member::View;
use primrose_support::seeded::checker;

use crate::tools::member;

fn heartbeat() -> Heartbeat {
    Heartbeat {
        count: 7,
        table: TableVersion {
            generation: 3,
            change: "c3".to_owned(),
        },
        records: vec![Record {
            member: member("a", 1),
            version: 2,
            addr: "127.0.0.1:7400".parse().unwrap(),
            draining: false,
            links: vec!["b".to_owned(), "c".to_owned()],
            gates: vec!["george".to_owned()],
        }],
        leaving: vec![LeavingMark {
            host: "s1".to_owned(),
            incarnation: 4,
            age: 1,
        }],
        summary: Some(Summary {
            records: 1,
            reports: 2,
            leaving: 3,
        }),
        ..Heartbeat::default()
    }
}

#[test]
fn concatenated_messages_are_decoded_one_by_one() {
    let property: fn(Vec<String>) -> bool = |messages| {
        let encoded = messages.iter().map(|m| encode(m).unwrap());
        let payload: Vec<u8> = encoded.flatten().collect();
        decode_all::<String>(&payload).unwrap() == messages
    };
    checker().quickcheck(property);
}

#[test]
fn heartbeat_round_trips_through_encoding() {
    let payload = encode(&heartbeat()).unwrap();
    assert_eq!(decode_all::<Heartbeat>(&payload).unwrap(), [heartbeat()]);
}

#[test]
fn a_frame_of_too_many_messages_is_refused() {
    let payload = vec![0xf6; MAX_FRAME_MESSAGES + 1];
    assert_eq!(decode_all::<()>(&payload), Err(CodecError::TooMany));
    assert!(decode_all::<()>(&payload[1..]).is_ok());
}

#[test]
fn truncated_messages_are_errors() {
    let payload = encode(&heartbeat()).unwrap();
    for end in 1..payload.len() {
        assert!(
            decode_all::<Heartbeat>(&payload[..end]).is_err(),
            "at {end}"
        );
    }
}

/// Passes a heartbeat of a peer to a view and lets it handle a few ticks.
fn handle_heartbeat(beat: Heartbeat) {
    let addr = "127.0.0.1:7400".parse().unwrap();
    let settings = Settings::new(member("b", 1), "barasat".to_owned(), addr);
    let mut view = View::new(settings, Duration::ZERO);
    let up = Event::LinkUp {
        member: member("a", 1),
        zone: "barasat".to_owned(),
        addr,
    };
    view.handle(up, Duration::ZERO);
    let from = member("a", 1);
    view.handle(
        Event::Heartbeat {
            from,
            heartbeat: beat,
        },
        Duration::ZERO,
    );
    for second in 0..5 {
        view.handle(Event::Tick, Duration::from_secs(second));
    }
}

#[test]
fn garbage_and_flipped_bits_never_panic() {
    let property: fn(Vec<u8>, usize) -> bool = |noise, bit| {
        let mut flipped = encode(&heartbeat()).unwrap();
        let at = bit % (flipped.len() * 8);
        flipped[at / 8] ^= 1 << (at % 8);
        // A flipped bit may leave a valid heartbeat, which the view must handle without a panic.
        for beat in decode_all::<Heartbeat>(&flipped).unwrap_or_default() {
            handle_heartbeat(beat);
        }
        let decoded = decode_all::<Heartbeat>(&noise);
        decoded.map_or(true, |beats| noise.is_empty() && beats.is_empty())
    };
    checker().tests(500).quickcheck(property);
}

#[test]
fn false_length_prefixes_are_errors() {
    // An array, a byte string and a text string with a length prefix of 2^60, which must not be
    // allocated.
    for head in [0x9b_u8, 0x5b, 0x7b] {
        let mut bytes = vec![head];
        bytes.extend_from_slice(&(1_u64 << 60).to_be_bytes());
        assert!(decode_all::<Vec<u64>>(&bytes).is_err());
        assert!(decode_all::<String>(&bytes).is_err());
        assert!(decode_all::<Heartbeat>(&bytes).is_err());
    }
}
