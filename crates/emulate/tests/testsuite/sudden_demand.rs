//! A large account that is there from the first second, and accounts that request more than there is.
//!
//! Guards against a fault in which an account over its fair share by half got two to four times as
//! much as others over theirs: from there on it was admitted at any server with a short queue, and
//! its many requests found one. See `docs/incidents/unequal-shares.md`.

use std::time::Duration;

use primrose_emulate::pattern::Disturbance;
use primrose_emulate::pattern::Pattern;
use primrose_emulate::policy::Policy;
use primrose_emulate::simulation::simulate;

/// Number of servers for which the rates of a pattern are made.
const BASE_SERVERS: usize = 9;
const SEEDS: std::ops::Range<u64> = 1..5;

struct Case {
    servers: usize,
    /// Load relative to what the servers are made for.
    load: f64,
    skew: f64,
    /// Factor on the demand of the largest account.
    factor: f64,
}

const CASES: [Case; 5] = [
    Case {
        servers: 9,
        load: 1.6,
        skew: 1.0,
        factor: 2.0,
    },
    Case {
        servers: 18,
        load: 1.6,
        skew: 1.0,
        factor: 2.0,
    },
    Case {
        servers: 30,
        load: 2.2,
        skew: 1.0,
        factor: 2.0,
    },
    Case {
        servers: 30,
        load: 1.6,
        skew: 1.0,
        factor: 6.0,
    },
    Case {
        servers: 30,
        load: 1.2,
        skew: 1.4,
        factor: 1.0,
    },
];

/// Demand far beyond what the servers process.
const FLOODED: [Case; 2] = [
    Case {
        servers: 18,
        load: 1.6,
        skew: 1.0,
        factor: 6.0,
    },
    Case {
        servers: 18,
        load: 2.2,
        skew: 0.6,
        factor: 4.0,
    },
];

fn check(case: &Case) {
    let Case {
        servers,
        load,
        skew,
        factor,
    } = *case;
    let size = servers as f64 / BASE_SERVERS as f64;
    let usual = Pattern::default();
    let large = Disturbance::AccountSurge { account: 0, factor };
    let pattern = Pattern {
        accounts: 24,
        load: load * size,
        skew,
        servers,
        gateways: 9,
        token_rate: (usual.token_rate as f64 * size) as u64,
        duration: Duration::from_secs(10),
        ..usual
    };
    let pattern = pattern.with_disturbance(1, 12, large);
    for seed in SEEDS {
        let unfair = simulate(&pattern, Policy::Fleet, seed).unfair_windows();
        assert!(
            unfair.is_empty(),
            "{servers} servers, load {load}, skew {skew}, {factor} times, seed {seed}: {unfair:?}"
        );
    }
}

#[test]
fn no_account_gets_less_than_half_of_its_fair_share_from_the_start() {
    CASES.iter().for_each(check);
}

#[test]
fn no_account_gets_less_than_half_of_its_fair_share_under_a_flood() {
    FLOODED.iter().for_each(check);
}
