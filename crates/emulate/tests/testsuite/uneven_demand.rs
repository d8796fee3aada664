//! Load pattern `hot_tenant` at several loads: fairness between accounts of uneven demand.
//!
//! Guards against a fault in which an account that requested a little more than its fair share
//! received a third of what the largest account received: both had the same limit, so that each was
//! served in proportion to its demand.

use primrose_emulate::pattern::Disturbance;
use primrose_emulate::pattern::Pattern;
use primrose_emulate::policy::Policy;
use primrose_emulate::simulation::simulate;

struct Case {
    load: f64,
    factor: f64,
}

const CASES: [Case; 4] = [
    Case {
        load: 2.0,
        factor: 6.0,
    },
    Case {
        load: 1.4,
        factor: 8.0,
    },
    Case {
        load: 1.1,
        factor: 20.0,
    },
    Case {
        load: 1.6,
        factor: 10.0,
    },
];

#[test]
fn no_account_gets_less_than_half_of_its_fair_share() {
    for Case { load, factor } in CASES {
        let large = Disturbance::AccountSurge { account: 3, factor };
        let pattern = Pattern {
            accounts: 8,
            load,
            ..Pattern::default()
        };
        let pattern = pattern.with_disturbance(4, 16, large);
        for seed in 1..9 {
            let unfair = simulate(&pattern, Policy::Fleet, seed).unfair_windows();
            assert!(
                unfair.is_empty(),
                "load {load}, {factor} times, seed {seed}: {unfair:?}"
            );
        }
    }
}
