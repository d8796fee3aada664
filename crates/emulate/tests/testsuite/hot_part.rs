//! Answers the pattern `hot_key`: much of the traffic is about one shared part.

use crate::better_for_all;

#[test]
fn a_hot_part_costs_little() {
    let hot = better_for_all("hot-part");
    let usual = better_for_all("usual");
    // Requests about one part save reading; they must not pay for meeting at one home.
    assert!(hot.all.share() > usual.all.share() * 0.8);
}
