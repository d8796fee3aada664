//! Measures the cost of daily records: time per observation, and size and encoding time of records.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use primrose_core::id::Member;
use primrose_report::observation::Observation;
use primrose_report::record::Record;
use primrose_report::zone::ZoneDay;

/// Number of observations timed per kind.
const OBSERVATIONS: u32 = 1_000_000;
/// Intervals of a day.
const INTERVALS: usize = 96;
/// Day of all records.
const DAY: &str = "2026-12-04";

/// Number of pools and accounts, and of routers in one zone.
struct Size {
    name: &'static str,
    pools: usize,
    accounts: usize,
    routers: u64,
}

const SIZES: [Size; 3] = [
    Size {
        name: "today",
        pools: 2,
        accounts: 16,
        routers: 3,
    },
    Size {
        name: "half of the plan",
        pools: 5,
        accounts: 225,
        routers: 12,
    },
    Size {
        name: "planned",
        pools: 5,
        accounts: 450,
        routers: 12,
    },
];

fn empty_record(host: u64) -> Record {
    let host = format!("entry-{host}");
    let incarnation = 1;
    Record::new(Member { host, incarnation }, "zone", DAY)
}

fn pool(index: usize) -> String {
    format!("pool-of-model-{index}")
}

fn time_observations() {
    let token = Observation::InterToken {
        pool: pool(0),
        time: Duration::from_millis(21),
    };
    let served = Observation::Served {
        pool: pool(0),
        account: "client-account-17".to_owned(),
        service: 40,
    };
    for (name, observation) in [("a token", token), ("service charged", served)] {
        let mut record = empty_record(0);
        let start = Instant::now();
        for _ in 0..OBSERVATIONS {
            record.observe(40, black_box(&observation));
        }
        let each = start.elapsed() / OBSERVATIONS;
        println!("observing {name}: {each:?}");
    }
}

fn full_record(size: &Size, host: u64) -> Record {
    let mut record = empty_record(host);
    for interval in 0..INTERVALS {
        for pool in (0..size.pools).map(pool) {
            for account in 0..size.accounts {
                let served = Observation::Served {
                    pool: pool.clone(),
                    account: format!("client-account-{account}"),
                    service: 9_000 + interval as u64,
                };
                record.observe(interval, &served);
            }
            let time = Duration::from_micros(9_000 + 137 * interval as u64);
            record.observe(interval, &Observation::InterToken { pool, time });
        }
    }
    record
}

fn time_records() {
    println!(
        "{:<18} {:>12} {:>12} {:>12} {:>12}",
        "size", "record", "encoding", "zone", "folding"
    );
    for size in &SIZES {
        let records: Vec<Record> = (0..size.routers)
            .map(|host| full_record(size, host))
            .collect();
        let start = Instant::now();
        let bytes = records[0].encoded_len();
        let encoding = start.elapsed();
        let mut day = ZoneDay::new("zone", DAY);
        records.iter().for_each(|record| day.merge(record));
        let value = day.encode().expect("a zone's value fits");
        let start = Instant::now();
        let mut read = ZoneDay::decode(&value).expect("just written");
        records.iter().for_each(|record| read.merge(record));
        let written = read.encode().expect("a zone's value fits");
        let folding = start.elapsed();
        let name = size.name;
        let zone = written.len();
        println!("{name:<18} {bytes:>10} B {encoding:>12.1?} {zone:>10} B {folding:>12.1?}");
    }
}

fn main() {
    time_observations();
    time_records();
}
