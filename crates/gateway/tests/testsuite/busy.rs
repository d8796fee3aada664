//! Detection of an overloaded gateway thread.
//!
//! Guards against a gateway that keeps accepting connections although it cannot serve them: a small
//! host that got most of a large account's requests served each of them late and left thousands of
//! connections waiting.

use std::time::Duration;

use primrose_gateway::busy::BusyDetector;

struct Case {
    name: &'static str,
    /// Lateness of successive wake-ups in milliseconds; each sleep is meant to last 100 ms.
    lateness_ms: Vec<u64>,
    busy: bool,
}

#[test]
fn consecutive_late_wakeups_make_the_gateway_busy_for_a_while() {
    let cases = [
        Case {
            name: "on time",
            lateness_ms: vec![0, 3, 1, 8, 2, 5],
            busy: false,
        },
        Case {
            name: "one long pause of the host",
            lateness_ms: vec![0, 4_000, 0, 0, 1],
            busy: false,
        },
        Case {
            name: "a CPU quota that stops the thread for the rest of each period",
            lateness_ms: vec![60, 80, 95, 70, 90, 85],
            busy: false,
        },
        Case {
            name: "more work than the processor can do",
            lateness_ms: vec![150, 220, 400, 380, 500],
            busy: true,
        },
    ];
    for case in cases {
        let detector = BusyDetector::default();
        let mut now = Duration::from_secs(1);
        for lateness_ms in case.lateness_ms {
            now += Duration::from_millis(100 + lateness_ms);
            detector.record_wakeup(Duration::from_millis(lateness_ms), now);
        }
        assert_eq!(detector.is_busy(now), case.busy, "{}", case.name);
        let later = now + Duration::from_secs(4);
        assert!(!detector.is_busy(later), "{}: still busy", case.name);
    }
}
