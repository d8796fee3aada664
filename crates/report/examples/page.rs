//! Prints the page of a synthetic day as text, or as HTML with `--html`.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use primrose_core::id::Member;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;
use primrose_report::calendar::Calendar;
use primrose_report::calendar::INTERVAL;
use primrose_report::html;
use primrose_report::observation::Ending;
use primrose_report::observation::Observation;
use primrose_report::observation::Outage;
use primrose_report::page::Page;
use primrose_report::page::PageContext;
use primrose_report::record::Record;
use primrose_report::target::PoolTarget;
use primrose_report::target::Targets;
use primrose_report::text;
use primrose_report::total::Total;

/// Beginning of the synthetic day, in seconds since the Unix epoch.
const START: u64 = 1_796_322_600;
/// Intervals of the day.
const INTERVALS: u64 = 96;
/// Intervals during which the third zone was partitioned from the others.
const PARTITIONED: std::ops::Range<u64> = 52..57;
/// Availability zones.
const ZONES: [&str; 3] = ["barasat", "madhyamgram", "habra"];
/// Accounts with their relative load.
const ACCOUNTS: [(&str, u64); 10] = [
    ("ward-barasat-municipal", 40),
    ("ward-madhyamgram", 30),
    ("ward-habra", 28),
    ("rota-office", 20),
    ("temple-kazipara", 9),
    ("mosque-champadali", 8),
    ("church-holy-rosary", 8),
    ("temple-hridaypur", 7),
    ("mosque-gaighata", 6),
    ("church-st-mary", 5),
];
/// Pool.
const POOL: &str = "drafting";

/// Returns the load of an interval from 1 to 10: low at night, highest before noon and in the
/// evening.
fn load(interval: u64) -> u64 {
    match interval / 4 {
        0..=4 => 1,
        5..=7 => 4,
        8..=11 => 10,
        12..=15 => 6,
        16..=19 => 9,
        _ => 3,
    }
}

fn observe(record: &mut Record, interval: u64) {
    let load = load(interval);
    let mut count = |observation: Observation| {
        let interval = usize::try_from(interval).unwrap_or(usize::MAX);
        record.observe(interval, &observation);
    };
    let pool = POOL.to_owned();
    count(Observation::Alive { span: INTERVAL });
    count(Observation::Slots {
        pool: pool.clone(),
        span: INTERVAL,
        slots: 40,
        busy: (load * 4 + interval % 3).min(40),
        waiting: if load == 10 { 12 + interval % 5 } else { 0 },
    });
    count(Observation::Control {
        bytes: 900_000 + load * 100_000,
        messages: 9000,
    });
    for (account, share) in ACCOUNTS {
        count(Observation::Served {
            pool: pool.clone(),
            account: account.to_owned(),
            service: share * load * 9000,
        });
    }
    for sample in 0..load * 20 {
        count(Observation::FirstToken {
            pool: pool.clone(),
            time: Duration::from_millis(180 + load * 60 + sample * 3),
        });
        count(Observation::InterToken {
            pool: pool.clone(),
            time: Duration::from_micros(16_000 + load * 900 + sample * 20),
        });
        count(Observation::Answer {
            pool: pool.clone(),
            ending: Ending::Whole,
        });
    }
}

fn observe_single_events(record: &mut Record) {
    let pool = || POOL.to_owned();
    let observations = [
        Observation::Gap {
            pool: pool(),
            ahead: "ward-habra".to_owned(),
            behind: "church-st-mary".to_owned(),
            gap: 31_400,
        },
        Observation::Order {
            pool: pool(),
            outcome: Outcome::Done,
        },
        Observation::Refused {
            code: ErrorCode::QueueFull,
        },
        Observation::InForce {
            generation: 40,
            lag: None,
        },
        Observation::InForce {
            generation: 43,
            lag: Some(Duration::from_millis(830)),
        },
        Observation::Outage {
            outage: Outage::Platform,
            began: UNIX_EPOCH + Duration::from_secs(START + 30_000),
            span: Duration::from_secs(312),
        },
    ];
    for observation in &observations {
        record.observe(40, observation);
    }
}

fn main() {
    let calendar = Calendar::new("Asia/Kolkata").expect("a known time zone");
    let day = calendar.locate(UNIX_EPOCH + Duration::from_secs(START)).day;
    let mut total = Total::new(&day);
    for zone in ZONES {
        let host = format!("{zone}-entry-1");
        let incarnation = 1;
        let mut record = Record::new(Member { host, incarnation }, zone, &day);
        let covered = (0..INTERVALS).filter(|at| zone != "habra" || !PARTITIONED.contains(at));
        covered.for_each(|interval| observe(&mut record, interval));
        observe_single_events(&mut record);
        total.add_record(&record);
    }
    let mut targets = Targets::default();
    let target = PoolTarget {
        first_token: Some(Duration::from_millis(1300)),
        inter_token: Some(Duration::from_millis(36)),
        gap: Some(60_000),
    };
    targets.pools.insert(POOL.to_owned(), target);
    let context = PageContext {
        calendar: &calendar,
        targets: &targets,
        zones: &ZONES.map(str::to_owned),
        now: UNIX_EPOCH + Duration::from_secs(START + 100_000),
    };
    let page = Page::build(&total, &context);
    match std::env::args().nth(1).as_deref() {
        Some("--html") => print!("{}", html::render(&page)),
        _ => print!("{}", text::render(&page)),
    }
}
