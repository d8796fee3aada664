//! Decoding arbitrary stored bytes returns a value or an error and never panics.

use primrose_core::id::Member;
use primrose_report::observation::Observation;
use primrose_report::zone::ZoneDay;
use primrose_report::zone::ZoneError;
use primrose_support::seeded::checker;

use crate::support::alive;
use crate::support::DAY;

fn sample() -> ZoneDay {
    let mut day = ZoneDay::new("a", DAY);
    let mut record = alive("a");
    let served = Observation::Served {
        pool: "drafting".to_owned(),
        account: "large".to_owned(),
        service: 700,
    };
    record.observe(3, &served);
    day.merge(&record);
    record.member = Member {
        host: "b".to_owned(),
        incarnation: 7,
    };
    day.merge(&record);
    day.close(&record.member);
    day
}

/// Decodes a day and adds it up as for a page.
fn read(bytes: &[u8]) -> Result<ZoneDay, ZoneError> {
    let day = ZoneDay::decode(bytes)?;
    let mut total = primrose_report::total::Total::new(DAY);
    total.add_zone(&day);
    Ok(day)
}

#[test]
fn encoded_day_round_trips() {
    let day = sample();
    let bytes = day.encode().expect("small");
    assert_eq!(read(&bytes).expect("valid"), day);
}

#[test]
fn arbitrary_bytes_decode_or_fail_without_a_panic() {
    fn holds(bytes: Vec<u8>) -> bool {
        matches!(read(&bytes), Ok(_) | Err(ZoneError::Decode { .. }))
    }
    checker().quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn corrupted_or_truncated_day_decodes_or_fails_without_a_panic() {
    fn holds(changes: Vec<(usize, u8)>, cut: usize) -> bool {
        let mut bytes = sample().encode().expect("small");
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        let cut = cut % (bytes.len() + 1);
        let whole = matches!(read(&bytes), Ok(_) | Err(ZoneError::Decode { .. }));
        whole && matches!(read(&bytes[..cut]), Ok(_) | Err(ZoneError::Decode { .. }))
    }
    checker()
        .tests(500)
        .quickcheck(holds as fn(Vec<(usize, u8)>, usize) -> bool);
}
