//! Shared helpers; most tests use the day 1970-01-02 in UTC.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use primrose_core::id::Member;
use primrose_report::calendar::Calendar;
use primrose_report::calendar::INTERVAL;
use primrose_report::observation::Observation;
use primrose_report::page::Page;
use primrose_report::page::PageContext;
use primrose_report::record::Record;
use primrose_report::target::PoolTarget;
use primrose_report::target::Targets;
use primrose_report::total::Total;

/// Day used by most tests.
pub(crate) const DAY: &str = "1970-01-02";
/// Number of intervals of [`DAY`].
pub(crate) const INTERVALS: usize = 96;

/// Returns the time that is `seconds` after the beginning of [`DAY`].
pub(crate) fn moment(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(24 * 3600 + seconds)
}

/// Returns a time on the day after [`DAY`].
pub(crate) fn next_day() -> SystemTime {
    moment(24 * 3600 + 60)
}

/// Returns an empty record for [`DAY`].
pub(crate) fn record(zone: &str, host: &str, incarnation: u64) -> Record {
    let host = host.to_owned();
    Record::new(Member { host, incarnation }, zone, DAY)
}

/// Returns the record of a router that ran all day.
pub(crate) fn alive(zone: &str) -> Record {
    let mut record = record(zone, &format!("{zone}-1"), 1);
    for interval in 0..INTERVALS {
        cover(&mut record, interval);
    }
    record
}

/// Records that the router ran during the whole interval.
pub(crate) fn cover(record: &mut Record, interval: usize) {
    let span = INTERVAL;
    record.observe(interval, &Observation::Alive { span });
}

/// Returns targets with one pool of engines.
pub(crate) fn targets() -> Targets {
    let mut targets = Targets::default();
    let target = PoolTarget {
        first_token: Some(Duration::from_millis(1300)),
        inter_token: Some(Duration::from_millis(36)),
        gap: Some(1000),
    };
    targets.pools.insert("drafting".to_owned(), target);
    targets
}

/// Builds the page of these records as of `now`, with data expected from `zones`.
pub(crate) fn page_at(records: &[Record], zones: &[&str], now: SystemTime) -> Page {
    let mut total = Total::new(DAY);
    for record in records {
        total.add_record(record);
    }
    let calendar = Calendar::new("UTC").expect("known");
    let zones: Vec<String> = zones.iter().map(|zone| (*zone).to_owned()).collect();
    let context = PageContext {
        calendar: &calendar,
        targets: &targets(),
        zones: &zones,
        now,
    };
    Page::build(&total, &context)
}
