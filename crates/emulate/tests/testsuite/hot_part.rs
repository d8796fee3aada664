//! Load pattern `hot_key`: a large share of the requests uses one shared prefix.

use crate::assert_better_than_baseline;

#[test]
fn a_hot_prefix_costs_little_worth() {
    let hot = assert_better_than_baseline("hot-part");
    let usual = assert_better_than_baseline("usual");
    // Requests with the same prefix save prefill, but placement prefers the same server for all of
    // them; that preference must not cost much.
    assert!(hot.all.worth_share() > usual.all.worth_share() * 0.8);
}
