//! Estimates learn, and hints move them only so far.

use primrose_core::cost::Service;
use primrose_share::Estimator;

struct Case {
    settled: &'static [Service],
    hint: Service,
    low: Service,
    high: Service,
}

#[test]
fn hints_are_clamped_around_the_average() {
    let cases = [
        // Nothing learned: the hint stands, but is never zero.
        Case {
            settled: &[],
            hint: 700,
            low: 700,
            high: 700,
        },
        Case {
            settled: &[],
            hint: 0,
            low: 1,
            high: 1,
        },
        Case {
            settled: &[],
            hint: Service::MAX,
            low: 1_000_000,
            high: 1_000_000,
        },
        // An honest hint is met half way.
        Case {
            settled: &[100; 20],
            hint: 200,
            low: 140,
            high: 160,
        },
        // Understating or overstating gains a bounded factor.
        Case {
            settled: &[1000; 20],
            hint: 0,
            low: 600,
            high: 700,
        },
        Case {
            settled: &[1000; 20],
            hint: Service::MAX,
            low: 2400,
            high: 2600,
        },
        // The average follows a change.
        Case {
            settled: &[10, 10, 10, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500],
            hint: 450,
            low: 400,
            high: 500,
        },
    ];
    for (number, case) in cases.iter().enumerate() {
        let mut estimator = Estimator::new();
        for cost in case.settled {
            estimator.settle("temple", "draft", *cost);
        }
        let estimate = estimator.estimate("temple", "draft", case.hint);
        let range = case.low..=case.high;
        assert!(range.contains(&estimate), "case {number}: {estimate}");
    }
}

#[test]
fn memory_is_bounded() {
    let mut estimator = Estimator::new();
    for number in 0..9000 {
        estimator.settle(&format!("account{number}"), "draft", 100);
    }
    // The latest is kept; the first is gone, and has the average of the route again.
    for _ in 0..50 {
        estimator.settle("account8999", "draft", 900);
    }
    assert!(estimator.estimate("account8999", "draft", 900) > 850);
    estimator.settle("ward", "draft", 100);
    let new = estimator.estimate("never", "draft", 300);
    assert_eq!(estimator.estimate("account0", "draft", 300), new);
}

#[test]
fn new_account_has_the_average_of_the_route() {
    let mut estimator = Estimator::new();
    for _ in 0..20 {
        estimator.settle("ward", "draft", 100);
    }
    // Its hint counts within the same factor.
    assert_eq!(estimator.estimate("shrine", "draft", 1_000_000), 250);
    assert_eq!(estimator.estimate("shrine", "other", 1_000_000), 1_000_000);
}
