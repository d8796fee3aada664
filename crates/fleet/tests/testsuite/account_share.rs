//! Classification of requests by the usage and the shares of their account.
//!
//! Guards against a fault in which many gateways that knew the same late sums all sent what was left of an
//! account's share. See `docs/incidents/many-attempts.md`.

use std::time::Duration;

use primrose_fleet::demand::AccountShare;
use primrose_fleet::demand::Demand;
use primrose_fleet::demand::ShareUsage;
use primrose_fleet::demand::TokenSums;
use primrose_fleet::entry::ShortId;

/// Tokens of the request that is classified.
const TOKENS: u64 = 10;

struct Case {
    name: &'static str,
    granted: u64,
    position: Option<u64>,
    expected: ShareUsage,
}

const fn over(excess: f64) -> ShareUsage {
    ShareUsage::OverFairShare { excess }
}

/// All have a demand of 1,000, a quota of 100 and a fair share of 200.
const CASES: [Case; 8] = [
    Case {
        name: "current sums, nothing granted",
        granted: 0,
        position: None,
        expected: ShareUsage::WithinQuota,
    },
    Case {
        name: "current sums, the request exceeds the quota",
        granted: 95,
        position: None,
        expected: ShareUsage::WithinFairShare,
    },
    Case {
        name: "current sums, half over the fair share",
        granted: 300,
        position: None,
        expected: over(0.5),
    },
    Case {
        name: "late sums, nothing granted, the lowest position",
        granted: 0,
        position: Some(0),
        expected: ShareUsage::WithinQuota,
    },
    Case {
        name: "late sums, nothing granted, the last position that is considered",
        granted: 0,
        position: Some(399),
        expected: ShareUsage::WithinQuota,
    },
    Case {
        name: "late sums, nothing granted, the first position that is not",
        granted: 0,
        position: Some(400),
        expected: ShareUsage::NotConsidered,
    },
    Case {
        name: "late sums, half over the fair share, a low position",
        granted: 300,
        position: Some(100),
        expected: over(0.5),
    },
    Case {
        name: "late sums, half over the fair share, the highest position",
        granted: 300,
        position: Some(999),
        expected: ShareUsage::NotConsidered,
    },
];

#[test]
fn requests_are_classified_by_sums_and_by_position() {
    for case in &CASES {
        let share = AccountShare {
            asked: 1_000,
            granted: case.granted,
            position: case.position,
            begun: 2_000,
            capacity: 1_000,
            quota: 100,
            fair_share: 200,
        };
        assert_eq!(share.usage(TOKENS), case.expected, "{}", case.name);
    }
}

/// A share that covers all demand limits no request, whatever its position.
#[test]
fn a_share_that_covers_all_demand_limits_nothing() {
    let share = AccountShare {
        asked: 1_000,
        granted: 1_000,
        position: Some(999),
        begun: 2_000,
        capacity: 1_000,
        quota: u64::MAX,
        fair_share: u64::MAX,
    };
    assert_eq!(share.usage(TOKENS), ShareUsage::WithinQuota);
}

/// Gateways that know the same late sums.
const GATEWAYS: u64 = 100;
/// Requests that reach each of them before the sums change: those of an eighth of a window.
const REQUESTS: u64 = 25;
const REQUEST_TOKENS: u64 = 1_000;
/// Tokens a second that ten accounts share, each of which requests 20 times its share.
const RATE: u64 = 2_500_000;
const FAIR_SHARE: u64 = 1_000_000;

/// Guards against a fault in which gateways with callers of one account together sent two and a half times
/// its fair share before they learned of one another.
#[test]
fn gateways_send_less_than_half_of_a_share_before_they_learn_of_one_another() {
    let now = Duration::from_secs(100);
    let sums = |account: u64| {
        let tokens = TokenSums {
            asked: 20 * FAIR_SHARE,
            granted: FAIR_SHARE - GATEWAYS * REQUEST_TOKENS,
            resumed: 0,
        };
        (account as ShortId, tokens)
    };
    let sums: Vec<_> = (0..10).map(sums).collect();
    let mut sent = 0;
    for gateway in 0..GATEWAYS {
        let mut demand = Demand::new(gateway);
        // The sums cover a window from now on.
        demand.record_request(0, 0, now - Duration::from_secs(10));
        demand.merge(&[], &sums);
        for _ in 0..REQUESTS {
            demand.record_request(0, REQUEST_TOKENS, now);
            let share = demand.account_share(0, RATE, true, now);
            if share.usage(REQUEST_TOKENS) == ShareUsage::WithinQuota {
                demand.record_sent(0, REQUEST_TOKENS, now);
                sent += REQUEST_TOKENS;
            }
        }
    }
    assert!(sent > 0 && sent < FAIR_SHARE / 2, "{sent} tokens");
}
