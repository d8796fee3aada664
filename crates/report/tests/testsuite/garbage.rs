//! Whatever bytes stand in the service, reading gives a value or an error, never a panic.

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

/// Reads bytes, and uses what was read as a page would.
fn read(bytes: &[u8]) -> Result<ZoneDay, ZoneError> {
    let day = ZoneDay::decode(bytes)?;
    let mut total = primrose_report::total::Total::new(DAY);
    total.add_zone(&day);
    Ok(day)
}

#[test]
fn what_is_written_is_read_back() {
    let day = sample();
    let bytes = day.encode().expect("small");
    assert_eq!(read(&bytes).expect("valid"), day);
}

#[test]
fn any_bytes() {
    fn holds(bytes: Vec<u8>) -> bool {
        matches!(read(&bytes), Ok(_) | Err(ZoneError::Decode { .. }))
    }
    checker().quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn any_change_of_valid_bytes() {
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
