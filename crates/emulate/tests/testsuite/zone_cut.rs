//! Answers the pattern `zone_cut`: zones neither hear one another nor reach others' servers.

use crate::better_for_all;

#[test]
fn every_zone_goes_on_with_its_own_servers() {
    let cut = better_for_all("zone-cut");
    let usual = better_for_all("usual");
    assert!(cut.worst_zone() > usual.worst_zone() * 0.6);
}
