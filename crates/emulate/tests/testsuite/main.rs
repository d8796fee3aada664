//! Load patterns, simulated with the gateways' placement code and with a baseline.

mod burst_of_long_prompts;
mod engine;
mod even_shares;
mod hot_part;
mod impatient_callers;
mod one_large_account;
mod servers_lost;
mod servers_slow;
mod single_gateway;
mod spare_capacity;
mod sudden_demand;
mod uneven_demand;
mod usual;
mod zone_cut;

use primrose_emulate::pattern::named_patterns;
use primrose_emulate::pattern::Pattern;
use primrose_emulate::policy::Policy;
use primrose_emulate::score::Score;
use primrose_emulate::simulation::simulate;

/// Seed of the simulations; any other works as well.
const SEED: u64 = 11;

/// Returns a named pattern.
fn pattern(name: &str) -> Pattern {
    let mut all = named_patterns().into_iter();
    let found = all.find(|(known, _)| *known == name);
    found.expect("a named pattern").1
}

/// Simulates a pattern with the gateways' placement code and with the baseline.
fn simulate_both(name: &str) -> (Score, Score) {
    let pattern = pattern(name);
    let fleet = simulate(&pattern, Policy::Fleet, SEED);
    (fleet, simulate(&pattern, Policy::LeastLoaded, SEED))
}

/// Asserts that the gateways' placement gives more worth than the baseline, in total and for the
/// worst served account, zone and class; returns the gateways' score.
fn assert_better_than_baseline(name: &str) -> Score {
    let (fleet, baseline) = simulate_both(name);
    assert!(
        fleet.all.worth_share() > baseline.all.worth_share(),
        "worth"
    );
    assert!(fleet.worst_account() > baseline.worst_account(), "accounts");
    assert!(fleet.worst_zone() > baseline.worst_zone(), "zones");
    assert!(fleet.worst_class() > baseline.worst_class(), "classes");
    fleet
}
