//! Load pattern `srv_slow`: two servers take four times as long for every step.

use crate::assert_better_than_baseline;

#[test]
fn slow_servers_cost_little_worth() {
    let slow = assert_better_than_baseline("servers-slow");
    let usual = assert_better_than_baseline("usual");
    // Two of nine servers run at a quarter of their speed for less than half of the simulation.
    assert!(slow.all.worth_share() > usual.all.worth_share() * 0.75);
}
