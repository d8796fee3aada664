//! Classification of requests by the usage and the shares of their account.
//!
//! Guards against a fault in which many gateways that knew the same late sums all sent what was left of an
//! account's share. See `docs/incidents/many-attempts.md`.

use std::time::Duration;

use primrose_fleet::demand::AccountShare;
use primrose_fleet::demand::Demand;
use primrose_fleet::demand::ShareUsage;
use primrose_fleet::demand::TokenSums;
use primrose_fleet::demand::USAGE_UNIT;
use primrose_fleet::entry::ShortId;

/// Tokens of the request that is classified.
const TOKENS: u64 = 10;

struct Case {
    name: &'static str,
    used: f64,
    position: Option<u64>,
    expected: ShareUsage,
}

const fn over(excess: f64) -> ShareUsage {
    ShareUsage::OverFairShare { excess }
}

/// All have a demand of 1,000 tokens a second, a quota of 100 and a fair share of 200.
const CASES: [Case; 8] = [
    Case {
        name: "current sums, nothing used",
        used: 0.0,
        position: None,
        expected: ShareUsage::WithinQuota,
    },
    Case {
        name: "current sums, the request exceeds the quota",
        used: 0.475,
        position: None,
        expected: ShareUsage::WithinFairShare,
    },
    Case {
        name: "current sums, half over the fair share",
        used: 1.5,
        position: None,
        expected: over(0.5),
    },
    Case {
        name: "late sums, nothing used, the lowest position",
        used: 0.0,
        position: Some(0),
        expected: ShareUsage::WithinQuota,
    },
    Case {
        name: "late sums, nothing used, the last position that is considered",
        used: 0.0,
        position: Some(399),
        expected: ShareUsage::WithinQuota,
    },
    Case {
        name: "late sums, nothing used, the first position that is not",
        used: 0.0,
        position: Some(400),
        expected: ShareUsage::NotConsidered,
    },
    Case {
        name: "late sums, half over the fair share, a low position",
        used: 1.5,
        position: Some(100),
        expected: over(0.5),
    },
    Case {
        name: "late sums, half over the fair share, the highest position",
        used: 1.5,
        position: Some(999),
        expected: ShareUsage::NotConsidered,
    },
];

const SHARE: AccountShare = AccountShare {
    asked: 4_000,
    granted: 4_000,
    asked_rate: 1_000,
    used: 0.0,
    position: None,
    begun_rate: 2_000,
    missed_rate: 0,
    configured_rate: 1_000,
    quota_rate: 100,
    fair_rate: 200,
};

#[test]
fn requests_are_classified_by_usage_and_by_position() {
    for case in &CASES {
        let share = AccountShare {
            used: case.used,
            position: case.position,
            ..SHARE
        };
        assert_eq!(share.usage(TOKENS), case.expected, "{}", case.name);
    }
}

/// A share that covers all demand limits no request, whatever the account used before and whatever the
/// position.
#[test]
fn a_share_that_covers_all_demand_limits_nothing() {
    const TOKENS: u64 = 1_000;
    const RATE: u64 = 1_000_000;
    for are_late in [false, true] {
        let mut demand = Demand::new(1);
        // Two accounts request 600,000 tokens a second each, then one of them alone.
        for step in 0..4_000 {
            let now = Duration::from_millis(100_000 + step);
            let accounts = if step < 3_000 { 0..2 } else { 0..1 };
            for account in accounts.filter(|_| step % 5 < 3) {
                demand.record_request(account, TOKENS, now);
                let share = demand.account_share(account, RATE, are_late, now);
                let usage = share.usage(TOKENS);
                let is_alone = step >= 3_600;
                assert!(
                    !is_alone || usage == ShareUsage::WithinQuota,
                    "{step}: {share:?}"
                );
                demand.record_sent(account, TOKENS, Some(share), now);
            }
        }
    }
}

/// Gateways that know the same late sums.
const GATEWAYS: u64 = 100;
/// Requests that reach each of them before the sums change: those of half a second.
const REQUESTS: u64 = 25;
const REQUEST_TOKENS: u64 = 1_000;
/// Tokens a second that ten accounts share, each of which requests 20 times its share.
const RATE: u64 = 2_500_000;
const FAIR_RATE: u64 = RATE / 10;
/// Tokens of a fair share over four seconds.
const FAIR_SHARE: u64 = 4 * FAIR_RATE;

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
            asked_rate: 20 * FAIR_RATE,
            granted_rate: FAIR_RATE * 9 / 10,
            used: (0.9 * USAGE_UNIT) as u64,
        };
        (account as ShortId, tokens)
    };
    let sums: Vec<_> = (0..10).map(sums).collect();
    let mut sent = 0;
    for gateway in 0..GATEWAYS {
        let mut demand = Demand::new(gateway);
        demand.merge(&[], &sums);
        for _ in 0..REQUESTS {
            demand.record_request(0, REQUEST_TOKENS, now);
            let share = demand.account_share(0, RATE, true, now);
            if share.usage(REQUEST_TOKENS) == ShareUsage::WithinQuota {
                demand.record_sent(0, REQUEST_TOKENS, Some(share), now);
                sent += REQUEST_TOKENS;
            }
        }
    }
    assert!(sent > 0 && sent < FAIR_SHARE / 2, "{sent} tokens");
}

/// Guards against a fault in which a gateway that restarted among others counted accounts at their share as
/// far over it for two seconds: it scaled complete sums as if they had just begun.
#[test]
fn a_restart_among_others_does_not_scale_their_sums() {
    let sums = |account: ShortId| {
        let tokens = TokenSums {
            asked: 20 * FAIR_SHARE,
            granted: FAIR_SHARE,
            resumed: 0,
            asked_rate: 20 * FAIR_RATE,
            granted_rate: FAIR_RATE,
            used: USAGE_UNIT as u64,
        };
        (account, tokens)
    };
    let sums: Vec<_> = (0..10).map(sums).collect();
    // The clock starts with the process.
    for millis in [10, 300, 1_000, 2_000] {
        let mut demand = Demand::new(1);
        demand.merge(&[], &sums);
        let now = Duration::from_millis(millis);
        demand.record_request(0, 0, now);
        let used = demand.account_share(0, RATE, true, now).used;
        assert!(
            (0.9..1.1).contains(&used),
            "{millis} ms: {used} fair shares"
        );
    }
}
