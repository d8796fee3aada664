//! Found by a day on which one small host got most of a large account's requests, answered each of
//! them late, and let thousands of connections wait.

use std::time::Duration;

use primrose_gateway::busy::BusyDetector;

struct Case {
    name: &'static str,
    /// Lateness of wake-ups a tenth of a second apart, in milliseconds.
    late: Vec<u64>,
    busy: bool,
}

#[test]
fn a_thread_that_wakes_late_again_and_again_is_busy() {
    let cases = [
        Case {
            name: "on time",
            late: vec![0, 3, 1, 8, 2, 5],
            busy: false,
        },
        Case {
            name: "one long pause of the host",
            late: vec![0, 4_000, 0, 0, 1],
            busy: false,
        },
        Case {
            name: "a quota that stops it for the rest of each tenth of a second",
            late: vec![60, 80, 95, 70, 90, 85],
            busy: false,
        },
        Case {
            name: "more work than the processor does",
            late: vec![150, 220, 400, 380, 500],
            busy: true,
        },
    ];
    for case in cases {
        let busy = BusyDetector::default();
        let mut now = Duration::from_secs(1);
        for late in case.late {
            now += Duration::from_millis(100 + late);
            busy.record_wakeup(Duration::from_millis(late), now);
        }
        assert_eq!(busy.is_busy(now), case.busy, "{}", case.name);
        let later = now + Duration::from_secs(4);
        assert!(!busy.is_busy(later), "{}: it ends by itself", case.name);
    }
}
