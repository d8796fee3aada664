//! At the planned fleet size, a zone's day fits into one value of the key-value service, and
//! reports into their share of the control traffic.

use std::time::Duration;

use primrose_report::observation::Observation;
use primrose_report::record::Record;
use primrose_report::zone::report_period;
use primrose_report::zone::ZoneDay;
use primrose_report::zone::MAX_VALUE;

use crate::support::record;
use crate::support::DAY;

/// Routers of one zone: 380 over 31 zones.
const ROUTERS: u64 = 12;
/// Restarts of one zone on a day: 690 over 31 zones.
const RESTARTS: u64 = 22;
/// Number of client accounts.
const ACCOUNTS: u64 = 450;
/// Number of pools: one per model.
const POOLS: u64 = 5;
/// Maximum control traffic of one router, in bytes per second.
const MAX_CONTROL_RATE: u64 = 23_000;
/// Intervals of a day.
const INTERVALS: usize = 96;

/// Returns the record of a router that served every account in every pool all day.
fn full_record() -> Record {
    let mut record = record("zone-0", "entry-0", 0);
    for interval in 0..INTERVALS {
        let span = Duration::from_secs(900);
        record.observe(interval, &Observation::Alive { span });
        for pool in 0..POOLS {
            observe_pool(&mut record, interval, pool);
        }
    }
    record
}

/// Returns a copy of the record for another process.
fn copy_for(record: &Record, host: u64, incarnation: u64) -> Record {
    let mut copy = record.clone();
    copy.member.host = format!("entry-{host}");
    copy.member.incarnation = incarnation;
    copy
}

fn observe_pool(record: &mut Record, interval: usize, pool: u64) {
    let name = format!("pool-of-model-{pool}");
    let step = interval as u64;
    for account in 0..ACCOUNTS {
        let served = Observation::Served {
            pool: name.clone(),
            account: format!("client-account-{account}"),
            service: 9_000 + account * 31 + step * 7,
        };
        record.observe(interval, &served);
    }
    let slots = Observation::Slots {
        pool: name.clone(),
        span: Duration::from_secs(900),
        slots: 300,
        busy: 250 + step % 50,
        waiting: step,
    };
    record.observe(interval, &slots);
    for sample in 0..40 {
        let time = Duration::from_millis(200 + sample * 37 + step * 11);
        record.observe(
            interval,
            &Observation::FirstToken {
                pool: name.clone(),
                time,
            },
        );
        let time = Duration::from_micros(9_000 + sample * 900 + step * 110);
        record.observe(
            interval,
            &Observation::InterToken {
                pool: name.clone(),
                time,
            },
        );
    }
}

#[test]
fn planned_zone_with_restarts_fits_the_size_limit_and_traffic_share() {
    let full = full_record();
    let mut day = ZoneDay::new("zone-0", DAY);
    for restart in 0..RESTARTS {
        let host = restart % ROUTERS;
        day.merge(&copy_for(&full, host, restart));
        day.close_replaced();
    }
    for host in 0..ROUTERS {
        day.merge(&copy_for(&full, host, RESTARTS + host));
    }
    day.close_replaced();
    assert_eq!(day.live.len() as u64, ROUTERS);
    assert_eq!(day.closed.len() as u64, RESTARTS);
    let bytes = day.encode().expect("fits");
    let one = ZoneDay {
        live: std::iter::once((full.member.clone(), full)).collect(),
        ..ZoneDay::new("zone-0", DAY)
    };
    let one = one.encode().expect("fits");
    println!(
        "zone of {ROUTERS} routers: {} bytes; one router: {} bytes",
        bytes.len(),
        one.len()
    );
    assert!(bytes.len() <= MAX_VALUE);
    // A router's reports take at most a tenth of the control traffic of one router; the zone's
    // value and all reports of the zone together take at most half of it.
    let every = report_period(one.len()).as_secs();
    println!("a report every {every} s");
    assert!(one.len() as u64 / every <= MAX_CONTROL_RATE / 10);
    assert!((bytes.len() as u64 + ROUTERS * one.len() as u64) / every <= MAX_CONTROL_RATE / 2);
    assert!(!ZoneDay::decode(&bytes).expect("just written").trimmed);
}
