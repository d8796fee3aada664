//! Observations are counted on the local day on which they were made.

use std::time::Duration;
use std::time::SystemTime;

use primrose_core::id::Member;
use primrose_report::calendar::Calendar;
use primrose_report::observation::Observation;
use primrose_report::recorder::Recorder;

use crate::support::moment;

const HOUR: u64 = 3600;

struct Case {
    name: &'static str,
    at: Vec<SystemTime>,
    days: &'static [(&'static str, u64)],
}

#[test]
fn observations_are_recorded_by_local_day() {
    let cases = [
        Case {
            name: "one day",
            at: vec![moment(1), moment(2 * HOUR)],
            days: &[("1970-01-02", 2)],
        },
        Case {
            name: "over midnight and back by a step of the clock",
            at: vec![moment(23 * HOUR), moment(24 * HOUR), moment(24 * HOUR - 1)],
            days: &[("1970-01-02", 2), ("1970-01-03", 1)],
        },
        Case {
            name: "two days are kept",
            at: vec![moment(0), moment(24 * HOUR), moment(48 * HOUR)],
            days: &[("1970-01-03", 1), ("1970-01-04", 1)],
        },
        Case {
            name: "what is older than those counts nowhere",
            at: vec![moment(24 * HOUR), moment(48 * HOUR), moment(0)],
            days: &[("1970-01-03", 1), ("1970-01-04", 1)],
        },
    ];
    for case in cases {
        let calendar = Calendar::new("UTC").expect("known");
        let member = Member {
            host: "entry-1".to_owned(),
            incarnation: 1,
        };
        let mut recorder = Recorder::new(member, "a", calendar);
        for at in case.at {
            let span = Duration::from_secs(1);
            recorder.observe(at, &Observation::Alive { span });
        }
        let records = recorder.records().iter();
        let days: Vec<(&str, u64)> = records
            .map(|record| (record.day.as_str(), record.sums.fleet.covered.total()))
            .collect();
        assert_eq!(days, case.days, "{}", case.name);
    }
}
