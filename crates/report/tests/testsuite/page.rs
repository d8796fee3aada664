//! The first line of the page states whether the day went well, and missing data is never shown as
//! zero.

use std::time::Duration;
use std::time::SystemTime;

use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome as ReportedOutcome;
use primrose_report::observation::Ending;
use primrose_report::observation::Observation;
use primrose_report::observation::Outage;
use primrose_report::page::Page;
use primrose_report::record::Record;
use primrose_report::text;

use crate::support::alive;
use crate::support::cover;
use crate::support::moment;
use crate::support::next_day;
use crate::support::page_at;
use crate::support::record;
use crate::support::INTERVALS;

const POOL: &str = "drafting";

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

struct Case {
    name: &'static str,
    observations: Vec<Observation>,
    well: bool,
    sentence: &'static str,
}

fn pool() -> String {
    POOL.to_owned()
}

fn slots(busy: u64, waiting: u64) -> Observation {
    Observation::Slots {
        pool: pool(),
        span: millis(1000),
        slots: 10,
        busy,
        waiting,
    }
}

fn gap(gap: u64) -> Observation {
    Observation::Gap {
        pool: pool(),
        ahead: "large".to_owned(),
        behind: "small".to_owned(),
        gap,
    }
}

#[test]
fn first_line_states_whether_the_day_went_well_and_why() {
    let first = |time| Observation::FirstToken { pool: pool(), time };
    let inter = |time| Observation::InterToken { pool: pool(), time };
    let ending = |ending| Observation::Answer {
        pool: pool(),
        ending,
    };
    let order = |outcome| Observation::Order {
        pool: pool(),
        outcome,
    };
    let in_force = |lag| Observation::InForce {
        generation: 4,
        lag: Some(lag),
    };
    let control = |bytes| Observation::Control { bytes, messages: 1 };
    let cases = [
        Case {
            name: "all targets met",
            observations: vec![
                first(millis(700)),
                inter(millis(20)),
                ending(Ending::Whole),
                ending(Ending::Abandoned),
                gap(900),
                slots(10, 5),
                order(ReportedOutcome::NotRun),
                in_force(millis(900)),
                control(5000),
            ],
            well: true,
            sentence: "The day went well: all 10 measures met their targets.",
        },
        // A quantile is the upper bound of its bucket, here 1503.9 ms, so it is never understated.
        Case {
            name: "late first tokens",
            observations: vec![first(millis(1500))],
            well: false,
            sentence: "The day did not go well: first token, 95 in 100 in pool drafting was 1504 ms, 1 measured, \
                       the target is at most 1300 ms.",
        },
        Case {
            name: "slow tokens",
            observations: vec![inter(millis(50))],
            well: false,
            sentence: "between tokens, 95 in 100 in pool drafting was 50 ms, 1 measured",
        },
        Case {
            name: "a broken answer",
            observations: vec![ending(Ending::Broken), ending(Ending::Whole)],
            well: false,
            sentence: "broken answers in pool drafting was 1; 1 whole, 0 left by their callers, the target is 0.",
        },
        Case {
            name: "a wide gap, by name",
            observations: vec![gap(5000)],
            well: false,
            sentence: "fairness gap in pool drafting was 5,000 units, large ahead of small at 00:00, \
                       the target is at most 1,000.",
        },
        Case {
            name: "idle while work waits",
            observations: vec![slots(8, 9), slots(10, 9)],
            well: false,
            sentence: "idle while work waited in pool drafting was 10.00 % of slot time, 2s, \
                       the target is at most 1.00 %.",
        },
        Case {
            name: "idle without work",
            observations: vec![slots(1, 0)],
            well: true,
            sentence: "The day went well",
        },
        Case {
            name: "an unknown order and a doubled one",
            observations: vec![order(ReportedOutcome::Unknown), Observation::DuplicateRun { pool: pool() }],
            well: false,
            sentence: "orders with unknown outcome in pool drafting was 1; 0 done, 0 not run, the target is 0; \
                       1 more measure missed its target.",
        },
        Case {
            name: "three servers lost to one poison request",
            observations: vec![
                Observation::Poison { pool: pool() },
                Observation::LostToPoison { pool: pool() },
                Observation::LostToPoison { pool: pool() },
                Observation::LostToPoison { pool: pool() },
            ],
            well: false,
            sentence: "servers lost to poison requests in pool drafting was 3 by 1 requests",
        },
        Case {
            name: "work after leaving",
            observations: vec![Observation::AfterLeaving { pool: pool() }],
            well: false,
            sentence: "work given to leaving servers in pool drafting was 1",
        },
        Case {
            name: "cut by a shutdown",
            observations: vec![Observation::Cut { requests: 2 }],
            well: false,
            sentence: "The day did not go well: requests cut by a shutdown was 2, the target is 0.",
        },
        Case {
            name: "a slow change",
            observations: vec![in_force(millis(12_000))],
            well: false,
            sentence: "table changes was 0, in force after 12.0 s at most",
        },
        Case {
            name: "too much control traffic",
            observations: vec![control(3_000_000_000)],
            well: false,
            sentence: "control traffic of one router was 34,722 B/s at most",
        },
    ];
    for case in cases {
        let mut record = alive("a");
        for observation in &case.observations {
            record.observe(0, observation);
        }
        let page = page_at(&[record], &["a"], next_day());
        let verdict = &page.verdict;
        assert_eq!(
            verdict.well, case.well,
            "{}: {}",
            case.name, verdict.sentence
        );
        let says = verdict.sentence.contains(case.sentence);
        assert!(says, "{}: {}", case.name, verdict.sentence);
        let first = text::render(&page);
        let first = first.lines().next().unwrap_or_default().to_owned();
        assert_eq!(first, verdict.sentence, "{}", case.name);
    }
}

struct CoverageCase {
    name: &'static str,
    zones: &'static [&'static str],
    records: Vec<Record>,
    now: SystemTime,
    sentence: &'static str,
    gaps: &'static [(&'static str, &'static str, &'static str)],
}

#[test]
fn unchecked_duplicate_runs_are_not_reported_as_zero() {
    let mut record = alive("a");
    let order = Observation::Order {
        pool: pool(),
        outcome: ReportedOutcome::Done,
    };
    record.observe(0, &order);
    let page = page_at(&[record], &["a"], next_day());
    let mut measures = page.measures.iter();
    let measure = measures.find(|one| one.name == "orders that ran twice");
    let measure = measure.unwrap();
    assert_eq!(
        (measure.found.as_str(), measure.met),
        ("not looked for", None)
    );
}

#[test]
fn missing_data_is_reported_as_a_gap() {
    let mut interrupted = record("b", "b-1", 1);
    for interval in (0..INTERVALS).filter(|interval| !(40..44).contains(interval)) {
        cover(&mut interrupted, interval);
    }
    let morning = moment(6 * 3600 + 60);
    let mut early = record("a", "a-1", 1);
    (0..24).for_each(|interval| cover(&mut early, interval));
    let mut cut = alive("a");
    cut.observe(0, &Observation::Cut { requests: 2 });
    let mut full = alive("a");
    full.observe(0, &Observation::Lost { observations: 7 });
    let cases = [
        CoverageCase {
            name: "a missed target and two zones that were not seen",
            zones: &["a", "b", "c"],
            records: vec![cut],
            now: next_day(),
            sentence: "the target is 0. Not all was seen: zones b and c were not seen for 24h.",
            gaps: &[("b", "00:00", "24:00"), ("c", "00:00", "24:00")],
        },
        CoverageCase {
            name: "observations without room",
            zones: &["a"],
            records: vec![full],
            now: next_day(),
            sentence: "as far as it was seen: 7 observations were not counted.",
            gaps: &[],
        },
        CoverageCase {
            name: "a zone that was cut off for an hour",
            zones: &["a", "b"],
            records: vec![alive("a"), interrupted],
            now: next_day(),
            sentence: "The day went well as far as it was seen: zone b was not seen for 1h.",
            gaps: &[("b", "10:00", "11:00")],
        },
        CoverageCase {
            name: "a zone that was never seen",
            zones: &["a", "c"],
            records: vec![alive("a")],
            now: next_day(),
            sentence: "zone c was not seen for 24h.",
            gaps: &[("c", "00:00", "24:00")],
        },
        CoverageCase {
            name: "a day that is not over",
            zones: &["a"],
            records: vec![early],
            now: morning,
            sentence: "The day has gone well so far: all",
            gaps: &[],
        },
        CoverageCase {
            name: "nothing at all",
            zones: &["a"],
            records: vec![],
            now: moment(60),
            sentence: "Nothing was counted on this day.",
            gaps: &[],
        },
    ];
    for case in cases {
        let page = page_at(&case.records, case.zones, case.now);
        let sentence = &page.verdict.sentence;
        assert!(
            sentence.contains(case.sentence),
            "{}: {sentence}",
            case.name
        );
        let gaps = page.gaps.iter();
        let gaps: Vec<(&str, &str, &str)> = gaps
            .map(|gap| (gap.zone.as_str(), gap.from.as_str(), gap.to.as_str()))
            .collect();
        assert_eq!(gaps, case.gaps, "{}", case.name);
        // A day without any records has no measures, not even zeros.
        assert_eq!(page.measures.is_empty(), case.records.is_empty());
    }
}

#[test]
fn plots_have_no_values_where_data_is_missing() {
    let mut record = record("a", "a-1", 1);
    for interval in [0, 1, 20] {
        cover(&mut record, interval);
        record.observe(interval, &slots(5, 2));
        let served = Observation::Served {
            pool: pool(),
            account: "large".to_owned(),
            service: 900,
        };
        record.observe(interval, &served);
    }
    let page = page_at(&[record], &["a"], next_day());
    let plot = &page.pools[0];
    assert_eq!(plot.busy.len(), INTERVALS);
    assert_eq!(plot.busy[0], Some(50.0));
    assert_eq!(plot.queue[20], Some(2.0));
    assert_eq!(plot.busy[2], None);
    let rate = &page.accounts[0].rate;
    // Two intervals of the first step have data: 1800 units in half an hour.
    assert_eq!(rate[0], Some(1.0));
    assert_eq!(rate[1], None);
    assert_eq!(rate[2], Some(1.0));
}

#[test]
fn overlapping_outages_of_several_routers_are_merged() {
    let outage = |began, length| Observation::Outage {
        outage: Outage::Platform,
        began: moment(began),
        span: Duration::from_secs(length),
    };
    let mut one = alive("a");
    one.observe(0, &outage(100, 10));
    one.observe(0, &outage(100, 60));
    let mut other = alive("b");
    other.observe(0, &outage(102, 70));
    other.observe(0, &outage(9000, 5));
    let page = page_at(&[one, other], &["a", "b"], next_day());
    let lengths: Vec<u64> = page.outages.iter().map(|outage| outage.length).collect();
    assert_eq!(lengths, [72, 5]);
    assert_eq!(page.outages[0].what, "the key-value service");
}

#[test]
fn refused_requests_are_listed_by_error_code() {
    let mut record = alive("a");
    for code in [
        ErrorCode::QueueFull,
        ErrorCode::QueueFull,
        ErrorCode::Poison,
    ] {
        record.observe(0, &Observation::Refused { code });
    }
    let page = page_at(&[record], &["a"], next_day());
    let shown = text::render(&page);
    assert!(
        shown.contains("refused requests: 1 poison, 2 queue-full"),
        "{shown}"
    );
}

#[test]
fn page_round_trips_through_json() {
    let mut record = alive("a");
    record.observe(0, &slots(5, 2));
    let page = page_at(&[record], &["a", "b"], next_day());
    let json = serde_json::to_string(&page).expect("encodes");
    let read: Page = serde_json::from_str(&json).expect("decodes");
    assert_eq!(read, page);
}
