//! Answers the pattern `srv_slow`: some servers take four times as long for everything.

use crate::better_for_all;

#[test]
fn slow_servers_do_not_drag_the_others_down() {
    let slow = better_for_all("servers-slow");
    let usual = better_for_all("usual");
    // Two of nine servers do a quarter of their work for less than half of the day.
    assert!(slow.all.share() > usual.all.share() * 0.75);
}
