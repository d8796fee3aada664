//! Times map to local days and intervals, including on days with a clock change.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use primrose_report::calendar::Calendar;
use primrose_report::calendar::CalendarError;
use primrose_report::calendar::MAX_INTERVALS;
use primrose_support::seeded::checker;

struct Case {
    zone: &'static str,
    unix: u64,
    day: &'static str,
    interval: usize,
    intervals: usize,
}

#[test]
fn times_map_to_local_days_and_intervals() {
    let cases = [
        // 2026-12-03 18:29:59 UTC is one second before midnight in Kolkata.
        Case {
            zone: "Asia/Kolkata",
            unix: 1_796_322_599,
            day: "2026-12-03",
            interval: 95,
            intervals: 96,
        },
        Case {
            zone: "Asia/Kolkata",
            unix: 1_796_322_600,
            day: "2026-12-04",
            interval: 0,
            intervals: 96,
        },
        Case {
            zone: "Africa/Johannesburg",
            unix: 1_796_322_600,
            day: "2026-12-03",
            interval: 82,
            intervals: 96,
        },
        // Clocks go forward at 01:00 UTC on 2026-03-29 in Berlin, back on 2026-10-25.
        Case {
            zone: "Europe/Berlin",
            unix: 1_774_746_000,
            day: "2026-03-29",
            interval: 8,
            intervals: 92,
        },
        Case {
            zone: "Europe/Berlin",
            unix: 1_792_965_600,
            day: "2026-10-25",
            interval: 96,
            intervals: 100,
        },
    ];
    for case in cases {
        let calendar = Calendar::new(case.zone).expect("known");
        let at = UNIX_EPOCH + Duration::from_secs(case.unix);
        let located = calendar.locate(at);
        assert_eq!(located.day, case.day, "{} {}", case.zone, case.unix);
        assert_eq!(
            located.interval, case.interval,
            "{} {}",
            case.zone, case.unix
        );
        assert_eq!(
            calendar.intervals(case.day),
            Ok(case.intervals),
            "{}",
            case.zone
        );
        let start = calendar
            .interval_start(&located.day, located.interval)
            .expect("a day");
        assert!(start <= at, "{} {}", case.zone, case.unix);
        assert_eq!(
            calendar.locate(start),
            located,
            "{} {}",
            case.zone,
            case.unix
        );
    }
}

#[test]
fn unknown_time_zones_and_malformed_days_are_errors() {
    let unknown = Calendar::new("Barasat").map(|_| ());
    assert!(matches!(unknown, Err(CalendarError::TimeZone { .. })));
    let calendar = Calendar::new("UTC").expect("known");
    for text in ["", "today", "2026-13-01", "2026-12-04T00:00"] {
        assert!(calendar.intervals(text).is_err(), "{text:?}");
    }
}

#[test]
fn any_time_maps_to_a_valid_interval() {
    fn holds(seconds: u64) -> bool {
        let calendar = Calendar::new("Asia/Kolkata").expect("known");
        let Some(at) = UNIX_EPOCH.checked_add(Duration::from_secs(seconds)) else {
            return true;
        };
        calendar.locate(at).interval < MAX_INTERVALS
    }
    checker().quickcheck(holds as fn(u64) -> bool);
}
