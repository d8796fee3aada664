//! Answers the pattern `hot_tenant`: one account sends many times its usual.

use crate::better_for_all;
use crate::pattern;
use crate::SEED;
use primrose_emulate::pattern::Pattern;
use primrose_emulate::policy::Policy;
use primrose_emulate::world::play;

#[test]
fn the_others_keep_most_of_what_they_had() {
    let with = better_for_all("one-large-account");
    let without = play(&Pattern::default(), Policy::Fleet, SEED);
    let rest = |score: &primrose_emulate::score::Score| {
        let others = score.accounts.iter().filter(|(account, _)| **account != 5);
        let sums = others.fold((0.0, 0.0), |sums, (_, tally)| {
            (sums.0 + tally.got, sums.1 + tally.owed)
        });
        sums.0 / sums.1
    };
    // The account asks for as much as all others together; they share the other half.
    assert!(rest(&with) > rest(&without) / 2.0);
    let large = with.accounts[&5].share();
    assert!(rest(&with) > large, "the large account pays for its size");
    assert!(!pattern("one-large-account").troubles.is_empty());
}
