//! Answers the pattern `hot_tenant`, and a day on which an account that asked for a little more
//! than an even share got a third of what the largest got: both were bounded alike, so that each
//! got in proportion to what it asked.

use primrose_emulate::pattern::Pattern;
use primrose_emulate::pattern::Trouble;
use primrose_emulate::policy::Policy;
use primrose_emulate::world::play;

struct Case {
    load: f64,
    times: f64,
}

const CASES: [Case; 4] = [
    Case {
        load: 2.0,
        times: 6.0,
    },
    Case {
        load: 1.4,
        times: 8.0,
    },
    Case {
        load: 1.1,
        times: 20.0,
    },
    Case {
        load: 1.6,
        times: 10.0,
    },
];

#[test]
fn no_account_gets_less_than_half_of_an_even_share() {
    for Case { load, times } in CASES {
        let large = Trouble::Account { account: 3, times };
        let pattern = Pattern {
            accounts: 8,
            load,
            ..Pattern::default()
        };
        let pattern = pattern.with(4, 16, large);
        for seed in 1..9 {
            let unfair = play(&pattern, Policy::Fleet, seed).unfair();
            assert!(
                unfair.is_empty(),
                "load {load}, {times} times, seed {seed}: {unfair:?}"
            );
        }
    }
}
