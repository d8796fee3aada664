//! Late, duplicate and reordered records are counted once, and closing a process keeps all sums.

use std::time::Duration;

use primrose_core::outcome::Outcome;
use primrose_report::observation::Ending;
use primrose_report::observation::Observation;
use primrose_report::record::Record;
use primrose_report::total::Total;
use primrose_report::zone::ZoneDay;
use primrose_support::seeded::checker;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::support::record;
use crate::support::DAY;

/// Interval and observation of a router.
#[derive(Debug, Clone)]
struct Observed(usize, Observation);

impl Arbitrary for Observed {
    fn arbitrary(g: &mut Gen) -> Self {
        let pool = format!("pool-{}", u8::arbitrary(g) % 2);
        let account = format!("account-{}", u8::arbitrary(g) % 4);
        let amount = u64::from(u16::arbitrary(g));
        let time = Duration::from_millis(amount);
        let observation = match u8::arbitrary(g) % 8 {
            0 => Observation::Alive { span: time },
            1 => Observation::FirstToken { pool, time },
            2 => Observation::Answer {
                pool,
                ending: *g.choose(&[Ending::Whole, Ending::Broken]).expect("two"),
            },
            3 => Observation::Order {
                pool,
                outcome: *g.choose(&[Outcome::Done, Outcome::Unknown]).expect("two"),
            },
            4 => Observation::Slots {
                pool,
                span: time,
                slots: 8,
                busy: amount % 9,
                waiting: amount % 5,
            },
            5 => Observation::Gap {
                pool,
                ahead: account,
                behind: "other".to_owned(),
                gap: amount,
            },
            6 => Observation::Control {
                bytes: amount,
                messages: 1,
            },
            _ => Observation::Served {
                pool,
                account,
                service: amount,
            },
        };
        Self(usize::arbitrary(g) % 96, observation)
    }
}

/// Observations of one router process, and the points at which it sent copies of its record.
#[derive(Debug, Clone)]
struct Process {
    seen: Vec<Observed>,
    sent: Vec<usize>,
}

impl Arbitrary for Process {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            seen: Vec::arbitrary(g),
            sent: Vec::arbitrary(g),
        }
    }
}

/// Returns the copies that a process sent, including the final one, reordered and partly
/// duplicated.
fn copies(index: usize, process: &Process) -> Vec<Record> {
    let mut record = record("a", &format!("host-{}", index / 2), index as u64);
    let length = process.seen.len() + 1;
    let sent: Vec<usize> = process.sent.iter().take(4).map(|at| at % length).collect();
    let mut copies = Vec::new();
    for (at, Observed(interval, observation)) in process.seen.iter().enumerate() {
        let times = sent.iter().filter(|one| **one == at).count();
        copies.extend(std::iter::repeat_n(record.clone(), times));
        record.observe(*interval, observation);
    }
    copies.insert(copies.len() / 2, record.clone());
    copies.push(record);
    copies.rotate_left(sent.len() / 2);
    copies
}

fn total(day: &ZoneDay) -> Total {
    let mut total = Total::new(DAY);
    total.add_zone(day);
    total
}

#[test]
fn duplicate_and_reordered_copies_are_counted_once() {
    fn holds(processes: Vec<Process>) -> bool {
        let mut day = ZoneDay::new("a", DAY);
        let mut expected = Total::new(DAY);
        for (index, process) in processes.iter().take(6).enumerate() {
            let copies = copies(index, process);
            copies.iter().for_each(|copy| day.merge(copy));
            let last = copies.iter().max_by_key(|copy| copy.seq);
            expected.add_record(last.expect("at least one"));
        }
        let mut total = total(&day);
        // The zone is listed even if it has no records.
        expected.covered.entry("a".to_owned()).or_default();
        total.covered.entry("a".to_owned()).or_default();
        total == expected
    }
    checker()
        .tests(300)
        .quickcheck(holds as fn(Vec<Process>) -> bool);
}

/// Encodes a day and decodes it, as the next aggregator does.
fn round_trip(day: &ZoneDay) -> ZoneDay {
    let bytes = day.encode().expect("small");
    ZoneDay::decode(&bytes).expect("just written")
}

#[test]
fn closing_and_re_encoding_keep_all_sums() {
    fn holds(processes: Vec<Process>) -> bool {
        let processes: Vec<Process> = processes.into_iter().take(6).collect();
        let mut open = ZoneDay::new("a", DAY);
        let mut closing = ZoneDay::new("a", DAY);
        for (index, process) in processes.iter().enumerate() {
            // A process has sent its final state before it is replaced, but copies may arrive late.
            for copy in &copies(index, process) {
                open.merge(copy);
                closing.merge(copy);
            }
            closing.close_replaced();
            closing = round_trip(&closing);
            for copy in &copies(index.saturating_sub(1), &processes[index.saturating_sub(1)]) {
                closing.merge(copy);
            }
        }
        let (one, other) = (total(&open), total(&closing));
        // The order of merging only affects which of two equal gaps is reported and which
        // upper bound of a bucket is kept; counts are exact.
        let counts = |total: &Total| {
            let pools = total.sums.pools.values();
            pools
                .map(|pool| {
                    (
                        pool.answers,
                        pool.orders,
                        pool.first_token.count(),
                        pool.served.clone(),
                    )
                })
                .collect::<Vec<_>>()
        };
        counts(&one) == counts(&other)
            && one.sums.accounts == other.sums.accounts
            && one.sums.fleet.control_bytes == other.sums.fleet.control_bytes
            && one.covered == other.covered
    }
    checker()
        .tests(300)
        .quickcheck(holds as fn(Vec<Process>) -> bool);
}

#[test]
fn records_of_another_day_or_zone_are_ignored() {
    let mut day = ZoneDay::new("a", DAY);
    day.merge(&record("b", "host", 1));
    let mut other = record("a", "host", 1);
    other.day = "1970-01-03".to_owned();
    day.merge(&other);
    assert!(day.live.is_empty());
}

struct AssembleCase {
    name: &'static str,
    stored: &'static [u64],
    local: &'static [u64],
    cut: u64,
}

#[test]
fn day_is_assembled_from_stored_values_and_local_records() {
    let cases = [
        AssembleCase {
            name: "the service alone",
            stored: &[3],
            local: &[],
            cut: 3,
        },
        AssembleCase {
            name: "the service is down",
            stored: &[],
            local: &[3],
            cut: 3,
        },
        AssembleCase {
            name: "a newer state is known here",
            stored: &[3],
            local: &[5],
            cut: 5,
        },
        AssembleCase {
            name: "a newer state is stored",
            stored: &[5],
            local: &[3],
            cut: 5,
        },
        AssembleCase {
            name: "different processes",
            stored: &[3, 4],
            local: &[3, 4, 2],
            cut: 9,
        },
    ];
    let cut = |(index, count): (usize, &u64)| {
        let mut record = record("a", &format!("host-{index}"), 1);
        (0..*count).for_each(|_| record.observe(0, &Observation::Cut { requests: 1 }));
        record
    };
    for case in cases {
        let mut day = ZoneDay::new("a", DAY);
        case.stored
            .iter()
            .enumerate()
            .map(cut)
            .for_each(|one| day.merge(&one));
        let values = [day.encode().expect("small"), b"garbage".to_vec()];
        let records: Vec<Record> = case.local.iter().enumerate().map(cut).collect();
        let assembled = Total::assemble(DAY, &values, &records);
        assert_eq!(assembled.total.sums.fleet.cut, case.cut, "{}", case.name);
        assert_eq!(assembled.decode_errors.len(), 1, "{}", case.name);
    }
}

#[test]
fn late_record_of_a_closed_process_is_not_counted() {
    let mut day = ZoneDay::new("a", DAY);
    let mut old = record("a", "host", 1);
    let cut = Observation::Cut { requests: 2 };
    old.observe(0, &cut);
    day.merge(&old);
    day.merge(&record("a", "host", 2));
    day.close_replaced();
    assert_eq!(day.live.len(), 1);
    old.observe(0, &cut);
    day.merge(&old);
    assert_eq!(total(&day).sums.fleet.cut, 2);
}
