//! Estimates follow settled costs, and hints change them only within limits.

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
        // Without an average the hint is used, raised to one and capped.
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
        // A hint within the range counts half.
        Case {
            settled: &[100; 20],
            hint: 200,
            low: 140,
            high: 160,
        },
        // A hint outside the range is clamped.
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
        // The average follows a change in costs.
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
fn least_recently_settled_average_is_evicted() {
    let mut estimator = Estimator::new();
    for number in 0..9000 {
        estimator.settle(&format!("account{number}"), "draft", 100);
    }
    // The newest account keeps its average. The first one was evicted, so that the route's
    // average applies to it.
    for _ in 0..50 {
        estimator.settle("account8999", "draft", 900);
    }
    assert!(estimator.estimate("account8999", "draft", 900) > 850);
    estimator.settle("ward", "draft", 100);
    let new = estimator.estimate("never", "draft", 300);
    assert_eq!(estimator.estimate("account0", "draft", 300), new);
}

#[test]
fn new_account_uses_the_average_of_the_route() {
    let mut estimator = Estimator::new();
    for _ in 0..20 {
        estimator.settle("ward", "draft", 100);
    }
    // The hint is clamped to the range around that average.
    assert_eq!(estimator.estimate("shrine", "draft", 1_000_000), 250);
    assert_eq!(estimator.estimate("shrine", "other", 1_000_000), 1_000_000);
}
