//! Merging is independent of delays, duplicates and the order of messages.

use primrose_suspect::Message;
use primrose_suspect::Register;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::death;
use crate::in_flight;
use crate::register;
use crate::NOW;

const SEED: u64 = 0x5eed_0003;
const TESTS: u64 = 5_000;
const FINGERPRINTS: u64 = 4;

/// An event at one router: kind, fingerprint, server, time.
#[derive(Debug, Clone, Copy)]
struct Step(u8, u64, u8, u8);

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let fingerprint = u64::arbitrary(g) % FINGERPRINTS;
        Self(
            u8::arbitrary(g) % 8,
            fingerprint,
            u8::arbitrary(g) % 5,
            u8::arbitrary(g),
        )
    }
}

/// Applies the steps at one router and returns its messages.
fn messages(steps: &[Step]) -> Vec<Message> {
    let mut register = register();
    let mut sent = Vec::new();
    for (index, Step(kind, fingerprint, server, time)) in steps.iter().copied().enumerate() {
        let now = NOW + u64::from(time) * 100 + index as u64 * 1000;
        let request = index as u64 % 16;
        sent.push(match kind {
            0..=4 => {
                let server = format!("s{server}");
                register.server_died(&death(&server, vec![in_flight(fingerprint, request)]), now)
            }
            5 | 6 => register.completed(fingerprint, now, now),
            _ => register.lift(fingerprint, now),
        });
    }
    sent
}

fn status_list(register: &Register) -> Vec<String> {
    let now = NOW + 100_000;
    let status = |fingerprint| format!("{:?}", register.status(fingerprint, now));
    (0..FINGERPRINTS).map(status).collect()
}

#[test]
fn registers_converge_under_reordering_and_duplication() {
    fn property(steps: Vec<Step>, order: Vec<u16>) -> bool {
        let sent = messages(&steps);
        let now = NOW + 100_000;
        let (mut one, mut other) = (register(), register());
        for message in &sent {
            one.merge(message, now);
        }
        for index in &order {
            if let Some(message) = sent.get(usize::from(*index) % sent.len().max(1)) {
                other.merge(message, now);
            }
        }
        for message in sent.iter().rev() {
            other.merge(message, now);
        }
        status_list(&one) == status_list(&other) && one.snapshot() == other.snapshot()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(TESTS)
        .max_tests(TESTS)
        .quickcheck(property as fn(Vec<Step>, Vec<u16>) -> bool);
}

/// Otherwise routers would forward the records to each other forever.
#[test]
fn merging_a_duplicate_returns_no_records() {
    fn property(steps: Vec<Step>) -> bool {
        let now = NOW + 100_000;
        let mut register = register();
        let sent = messages(&steps);
        sent.iter().for_each(|message| {
            register.merge(message, now);
        });
        sent.iter().all(|m| register.merge(m, now).is_empty())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(TESTS)
        .max_tests(TESTS)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn empty_register_is_restored_from_a_snapshot() {
    let mut old = register();
    for n in 0..1000 {
        let server = format!("s{}", n % 7);
        old.server_died(&death(&server, vec![in_flight(n, n)]), NOW + n * 60_000);
    }
    old.completed(3, NOW + 3 * 60_000, NOW + 5 * 60_000);
    old.lift(4, NOW + 5 * 60_000);
    let mut empty = register();
    let snapshot = old.snapshot();
    assert!(
        snapshot.len() >= 8,
        "a snapshot is split into several messages"
    );
    for message in snapshot {
        empty.merge(&message, NOW + 1000 * 60_000);
    }
    assert_eq!(empty.snapshot(), old.snapshot());
}
