//! The budget limits retries to their share of the traffic.

use primrose_retry::Budget;
use primrose_retry::BudgetConfig;
use primrose_support::seeded::checker;

struct Case {
    name: &'static str,
    config: BudgetConfig,
    attempts: u32,
    retries: u64,
}

#[test]
fn allows_the_configured_share() {
    let cases = [
        Case {
            name: "a tenth of the attempts",
            config: BudgetConfig {
                permille: 100,
                burst: 100,
                reserve: 0,
            },
            attempts: 95,
            retries: 9,
        },
        Case {
            name: "capped after a long time without retries",
            config: BudgetConfig {
                permille: 100,
                burst: 3,
                reserve: 0,
            },
            attempts: 100_000,
            retries: 3,
        },
        Case {
            name: "no share, no retry",
            config: BudgetConfig {
                permille: 0,
                burst: 3,
                reserve: 0,
            },
            attempts: 1000,
            retries: 0,
        },
        Case {
            name: "empty at the start",
            config: BudgetConfig {
                reserve: 0,
                ..BudgetConfig::default()
            },
            attempts: 0,
            retries: 0,
        },
        Case {
            name: "a reserve before any traffic",
            config: BudgetConfig::default(),
            attempts: 0,
            retries: 10,
        },
        Case {
            name: "a reserve is no more than the burst",
            config: BudgetConfig {
                permille: 100,
                burst: 4,
                reserve: 10,
            },
            attempts: 0,
            retries: 4,
        },
    ];
    for case in cases {
        let mut budget = Budget::new(case.config);
        for _ in 0..case.attempts {
            budget.record_attempt();
        }
        assert_eq!(budget.available(), case.retries, "{}", case.name);
        let taken = (0..200).filter(|_| budget.try_retry()).count();
        assert_eq!(taken as u64, case.retries, "{}", case.name);
    }
}

/// In any interval of any sequence, retries stay within the share plus the burst; counted from the
/// start, they stay within the share plus the reserve.
#[test]
fn retries_stay_within_the_share_in_any_interval() {
    let property: fn(Vec<bool>, u16, u8, u8) -> bool = |steps, permille, burst, reserve| {
        let config = BudgetConfig {
            permille: u32::from(permille),
            burst: u32::from(burst),
            reserve: u32::from(reserve),
        };
        let reserve = u64::from(reserve.min(burst)) * 1000;
        let counts = run(config, &steps);
        let share = u64::from(permille);
        let burst_tokens = u64::from(burst) * 1000;
        let prefix = counts.iter().all(|(a, r)| r * 1000 <= a * share + reserve);
        let interval = counts.iter().enumerate().all(|(i, (a0, r0))| {
            let mut later = counts[i..].iter();
            later.all(|(a, r)| (r - r0) * 1000 <= (a - a0) * share + burst_tokens)
        });
        prefix && interval
    };
    checker().tests(300).quickcheck(property);
}

/// Counts first attempts and allowed retries after each step.
fn run(config: BudgetConfig, steps: &[bool]) -> Vec<(u64, u64)> {
    let mut budget = Budget::new(config);
    let mut counts = vec![(0, 0)];
    let (mut attempts, mut retries) = (0, 0);
    for retry in steps {
        if !retry {
            budget.record_attempt();
            attempts += 1;
        } else if budget.try_retry() {
            retries += 1;
        }
        counts.push((attempts, retries));
    }
    counts
}
