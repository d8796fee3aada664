//! Load pattern `hot_tenant`: one account sends a multiple of its usual requests.

use crate::assert_better_than_baseline;
use crate::pattern;
use crate::SEED;
use primrose_emulate::pattern::Pattern;
use primrose_emulate::policy::Policy;
use primrose_emulate::simulation::simulate;

#[test]
fn other_accounts_keep_at_least_half_of_their_share() {
    let with_surge = assert_better_than_baseline("one-large-account");
    let without_surge = simulate(&Pattern::default(), Policy::Fleet, SEED);
    let others_share = |score: &primrose_emulate::score::Score| {
        let others = score.accounts.iter().filter(|(account, _)| **account != 5);
        let sums = others.fold((0.0, 0.0), |sums, (_, tally)| {
            (sums.0 + tally.received, sums.1 + tally.total)
        });
        sums.0 / sums.1
    };
    // The account requests as much as all others together, which leaves them half of the capacity.
    assert!(others_share(&with_surge) > others_share(&without_surge) / 2.0);
    let large = with_surge.accounts[&5].worth_share();
    assert!(
        others_share(&with_surge) > large,
        "the large account pays for its size"
    );
    assert!(!pattern("one-large-account").disturbances.is_empty());
}
