//! The usual request mix at peak load: each shared prefix is prefilled about once.

use crate::assert_better_than_baseline;

#[test]
fn shared_prefixes_are_prefilled_about_once() {
    let score = assert_better_than_baseline("usual");
    // 116, 106 and 146 prefixes of three sizes, once each; all other prefilled tokens are the
    // requests' own.
    let prefix_tokens = 116 * 13_300 + 106 * 6_300 + 146 * 350;
    let max_own_tokens = score.prefill_tokens.saturating_sub(prefix_tokens);
    assert!(
        score.cached_tokens > max_own_tokens / 2,
        "cached prefixes carry the load"
    );
    assert_eq!(score.preemptions, 0);
}

#[test]
fn the_same_seed_gives_the_same_outcomes() {
    let (first, _) = crate::simulate_both("usual");
    let (second, _) = crate::simulate_both("usual");
    assert_eq!(first.all.outcomes, second.all.outcomes);
}
