//! Counters, their digests, and the convergence of ledgers when digests are lost or reordered.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::id::Member;
use primrose_share::weighted_service;
use primrose_share::Ledger;
use primrose_share::Row;
use primrose_share::MAX_CATCH_UP_UNITS;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const T0: Duration = Duration::from_secs(1);
const ACCOUNTS: [&str; 3] = ["temple", "mosque", "ward"];

fn member(host: &str, incarnation: u64) -> Member {
    Member {
        host: host.into(),
        incarnation,
    }
}

fn row(account: &str, charged: u64, refunded: u64) -> Row {
    Row {
        account: account.into(),
        charged,
        refunded,
        settled: 0,
    }
}

/// One step of a random sequence of operations.
#[derive(Debug, Clone)]
enum Step {
    Charge(usize, u16),
    Refund(usize, u16),
    Digest,
    /// Delivers one of the digests sent so far, chosen at random, possibly again.
    Deliver(usize),
    /// Restarts the writer with an empty ledger.
    Restart,
}

impl quickcheck::Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let account = usize::arbitrary(g) % ACCOUNTS.len();
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Charge(account, u16::arbitrary(g)),
            3 => Self::Refund(account, u16::arbitrary(g)),
            4 => Self::Digest,
            5..=6 => Self::Deliver(usize::arbitrary(g)),
            _ => Self::Restart,
        }
    }
}

/// Returns whether the reader, after the last full digest, holds the sum of what all incarnations
/// of the writer charged, whichever digests were lost, duplicated or reordered before.
fn reader_converges_to_the_total_of_the_writer(steps: Vec<Step>) -> bool {
    let mut reader = Ledger::new(member("reader", 1), T0);
    let mut incarnation = 1;
    let mut writer = Ledger::new(member("writer", incarnation), T0);
    let mut sent: Vec<(Member, Vec<Row>)> = Vec::new();
    let mut net_charged: BTreeMap<&str, i64> = BTreeMap::new();
    let deliver = |reader: &mut Ledger, (from, rows): &(Member, Vec<Row>)| {
        reader.merge(from, Duration::ZERO, rows, T0);
    };
    for step in steps {
        match step {
            Step::Charge(account, units) => {
                writer.charge(ACCOUNTS[account], units.into());
                *net_charged.entry(ACCOUNTS[account]).or_default() += i64::from(units);
            }
            Step::Refund(account, units) => {
                writer.refund(ACCOUNTS[account], units.into());
                *net_charged.entry(ACCOUNTS[account]).or_default() -= i64::from(units);
            }
            Step::Digest => sent.push((member("writer", incarnation), writer.digest())),
            Step::Deliver(pick) if !sent.is_empty() => {
                deliver(&mut reader, &sent[pick % sent.len()]);
            }
            Step::Deliver(_) => {}
            Step::Restart => {
                // The reader gets the last digest of this incarnation, because a charge that was
                // never sent is lost with the process.
                writer.resend_all();
                deliver(
                    &mut reader,
                    &(member("writer", incarnation), writer.digest()),
                );
                incarnation += 1;
                writer = Ledger::new(member("writer", incarnation), T0);
            }
        }
    }
    writer.resend_all();
    deliver(
        &mut reader,
        &(member("writer", incarnation), writer.digest()),
    );
    for late in &sent {
        deliver(&mut reader, late);
    }
    ACCOUNTS.iter().all(|account| {
        let expected = net_charged.get(account).copied().unwrap_or(0) * 1024;
        reader.service(account) == expected
    })
}

#[test]
fn late_duplicate_reordered_and_lost_digests_do_not_change_the_total() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 4))
        .tests(500)
        .quickcheck(reader_converges_to_the_total_of_the_writer as fn(Vec<Step>) -> bool);
}

#[test]
fn later_digests_repeat_the_rows_of_lost_ones() {
    let mut writer = Ledger::new(member("writer", 1), T0);
    let mut reader = Ledger::new(member("reader", 1), T0);
    for number in 0..20 {
        writer.charge(&format!("account{number}"), 100);
    }
    // The first digest is lost.
    writer.digest();
    for _ in 0..5 {
        let rows = writer.digest();
        assert!(rows.len() < 20);
        reader.merge(&member("writer", 1), Duration::ZERO, &rows, T0);
    }
    for number in 0..20 {
        let account = format!("account{number}");
        assert_eq!(reader.service(&account), weighted_service(100, 1));
    }
}

#[test]
fn first_row_of_an_older_writer_is_a_baseline() {
    let mut reader = Ledger::new(member("reader", 1), T0);
    let writer = member("writer", 1);
    let age = Duration::from_secs(3600);
    reader.merge(&writer, age, &[row("temple", 9000, 0)], T0);
    assert_eq!(reader.service("temple"), 0);
    reader.merge(&writer, age, &[row("temple", 9100, 0)], T0);
    assert_eq!(reader.service("temple"), weighted_service(100, 1));
    // The first row of another account is a baseline too.
    reader.merge(&writer, age, &[row("mosque", 5000, 0)], T0);
    assert_eq!(reader.service("mosque"), 0);
}

#[test]
fn writer_returning_after_being_forgotten_causes_no_jump() {
    let mut reader = Ledger::new(member("reader", 1), T0);
    let writer = member("writer", 1);
    reader.merge(&writer, Duration::ZERO, &[row("temple", 500, 0)], T0);
    let later = T0 + Duration::from_secs(3600);
    reader.forget_silent_writers(later);
    reader.merge(&writer, Duration::ZERO, &[row("temple", 600, 0)], later);
    assert_eq!(reader.service("temple"), weighted_service(500, 1));
    reader.merge(&writer, Duration::ZERO, &[row("temple", 650, 0)], later);
    assert_eq!(reader.service("temple"), weighted_service(550, 1));
}

#[test]
fn idle_time_earns_no_credit() {
    let mut ledger = Ledger::new(member("h", 1), T0);
    ledger.set_waiting("ward", "z0", true);
    ledger.set_waiting("temple", "z0", true);
    ledger.charge("ward", 5000);
    ledger.charge("temple", 4000);
    ledger.set_waiting("shrine", "z0", true);
    // No request has ended, so all charges are in flight and the floor is zero.
    assert_eq!(ledger.service("shrine"), 0);
    ledger.set_waiting("shrine", "z0", false);
    ledger.settle("temple", 3500);
    ledger.settle("ward", 5000);
    ledger.set_waiting("shrine", "z0", true);
    assert_eq!(ledger.service("shrine"), weighted_service(3500, 1));
    // An account that still waits in another zone is not raised again.
    ledger.set_waiting("shrine", "z1", true);
    ledger.set_waiting("shrine", "z0", false);
    ledger.charge("ward", 100);
    ledger.charge("temple", 900);
    let before = ledger.service("shrine");
    ledger.set_waiting("shrine", "z0", true);
    assert_eq!(ledger.service("shrine"), before);
    // An account that is ahead is never lowered.
    ledger.set_waiting("ward", "z0", false);
    let ahead = ledger.service("ward");
    ledger.set_waiting("ward", "z0", true);
    assert_eq!(ledger.service("ward"), ahead);
}

#[test]
fn catch_up_after_a_partition_is_clamped() {
    let mut ledger = Ledger::new(member("h", 1), T0);
    let other = member("other", 1);
    ledger.set_waiting("temple", "z0", true);
    ledger.set_waiting("ward", "z0", true);
    ledger.merge(&other, Duration::ZERO, &[row("ward", 10, 0)], T0);
    let reconnected_at = T0 + Duration::from_secs(300);
    ledger.merge(
        &other,
        Duration::ZERO,
        &[row("ward", 9_000_000, 0)],
        reconnected_at,
    );
    let ahead = ledger.service("ward") - ledger.service("temple");
    assert_eq!(ahead, weighted_service(MAX_CATCH_UP_UNITS, 1));
    // Merging the same row again changes nothing.
    ledger.merge(
        &other,
        Duration::ZERO,
        &[row("ward", 9_000_000, 0)],
        reconnected_at,
    );
    assert_eq!(ledger.service("ward") - ledger.service("temple"), ahead);
}

#[test]
fn new_weight_applies_to_later_charges_only() {
    let mut ledger = Ledger::new(member("h", 1), T0);
    ledger.charge("ward", 1000);
    let before = ledger.service("ward");
    let weights = BTreeMap::from([("ward".to_owned(), 4)]);
    ledger.set_weights(&weights, 1);
    assert_eq!(ledger.service("ward"), before);
    ledger.charge("ward", 1000);
    assert_eq!(ledger.service("ward") - before, weighted_service(250, 1));
}

#[test]
fn new_ledger_adopts_standings_once() {
    let mut old = Ledger::new(member("old", 1), T0);
    old.set_waiting("temple", "z0", true);
    old.set_waiting("ward", "z0", true);
    old.charge("temple", 300);
    old.charge("ward", 1000);
    let mut new = Ledger::new(member("new", 1), T0);
    new.charge("temple", 50);
    new.adopt(&old.snapshot());
    new.adopt(&old.snapshot());
    let ahead = new.service("ward") - new.service("temple");
    assert_eq!(ahead, weighted_service(1000 - 300 - 50, 1));
}

#[test]
fn extreme_amounts_do_not_overflow() {
    let mut ledger = Ledger::new(member("h", 1), T0);
    let other = member("other", 1);
    for _ in 0..3 {
        ledger.charge("ward", u64::MAX);
        ledger.settle("ward", u64::MAX);
        ledger.refund("temple", u64::MAX);
    }
    let rows = [row("ward", u64::MAX, 0), row("temple", 0, u64::MAX)];
    ledger.merge(&other, Duration::ZERO, &rows, T0);
    ledger.set_waiting("ward", "z0", true);
    ledger.set_waiting("temple", "z0", true);
    assert!(ledger.service("temple") < ledger.service("ward"));
    let mut fresh = Ledger::new(member("fresh", 1), T0);
    fresh.adopt(&ledger.snapshot());
    assert!(fresh.service("temple") < fresh.service("ward"));
}
