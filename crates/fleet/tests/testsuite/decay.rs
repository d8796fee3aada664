//! Sums whose terms decay.

use std::time::Duration;

use primrose_fleet::decay::DecayingSum;

const TIME_CONSTANT: Duration = Duration::from_millis(500);

struct Case {
    name: &'static str,
    /// Times in milliseconds, and amounts.
    terms: &'static [(u64, f64)],
    at_ms: u64,
    expected: f64,
}

const CASES: [Case; 6] = [
    Case {
        name: "nothing",
        terms: &[],
        at_ms: 1_000,
        expected: 0.0,
    },
    Case {
        name: "a term of now",
        terms: &[(1_000, 8.0)],
        at_ms: 1_000,
        expected: 8.0,
    },
    Case {
        name: "a term that is one time constant old",
        terms: &[(1_000, 8.0)],
        at_ms: 1_500,
        expected: 8.0 / std::f64::consts::E,
    },
    Case {
        name: "two terms of different ages",
        terms: &[(1_000, 8.0), (1_500, 2.0)],
        at_ms: 1_500,
        expected: 8.0 / std::f64::consts::E + 2.0,
    },
    Case {
        name: "a term of a past time counts as one of the time before",
        terms: &[(1_500, 2.0), (1_000, 8.0)],
        at_ms: 1_500,
        expected: 10.0,
    },
    Case {
        name: "terms that are long past",
        terms: &[(1_000, 8.0)],
        at_ms: 3_600_000,
        expected: 0.0,
    },
];

#[test]
fn terms_lose_weight_steadily() {
    for case in &CASES {
        let mut sum = DecayingSum::new(TIME_CONSTANT);
        for (at_ms, amount) in case.terms {
            sum.add(*amount, Duration::from_millis(*at_ms));
        }
        let actual = sum.sum(Duration::from_millis(case.at_ms));
        assert!(
            (actual - case.expected).abs() < 1e-9,
            "{}: {actual}",
            case.name
        );
    }
}

#[test]
fn a_steady_flow_has_its_rate() {
    let mut sum = DecayingSum::new(TIME_CONSTANT);
    for at_ms in 0..10_000 {
        sum.add(3.0, Duration::from_millis(at_ms));
    }
    let rate = sum.rate(Duration::from_secs(10));
    assert!((rate - 3_000.0).abs() < 10.0, "{rate}");
}
