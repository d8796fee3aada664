//! Patterns of load against the real decisions, on modelled engines.

mod burst_of_long_prompts;
mod engine;
mod even_shares;
mod hot_part;
mod impatient_callers;
mod one_large_account;
mod servers_lost;
mod servers_slow;
mod uneven_asks;
mod usual;
mod zone_cut;

use primrose_emulate::pattern::named;
use primrose_emulate::pattern::Pattern;
use primrose_emulate::policy::Policy;
use primrose_emulate::score::Score;
use primrose_emulate::world::play;

/// Seed of the plays; any other serves as well.
const SEED: u64 = 11;

/// A named pattern.
fn pattern(name: &str) -> Pattern {
    let mut all = named().into_iter();
    let found = all.find(|(known, _)| *known == name);
    found.expect("a named pattern").1
}

/// Plays a pattern by the gateways' decisions and by the baseline.
fn both(name: &str) -> (Score, Score) {
    let pattern = pattern(name);
    let fleet = play(&pattern, Policy::Fleet, SEED);
    (fleet, play(&pattern, Policy::LeastLoaded, SEED))
}

/// Checks that callers get more than from the baseline, and that nobody pays for it.
fn better_for_all(name: &str) -> Score {
    let (fleet, plain) = both(name);
    assert!(fleet.all.share() > plain.all.share(), "worth");
    assert!(fleet.worst_account() > plain.worst_account(), "accounts");
    assert!(fleet.worst_zone() > plain.worst_zone(), "zones");
    assert!(fleet.worst_class() > plain.worst_class(), "classes");
    fleet
}
