//! Load pattern `zone_cut`: gateways receive digests from and reach servers in their own zone only.

use crate::assert_better_than_baseline;

#[test]
fn every_zone_keeps_serving_with_its_own_servers() {
    let partitioned = assert_better_than_baseline("zone-cut");
    let usual = assert_better_than_baseline("usual");
    assert!(partitioned.worst_zone() > usual.worst_zone() * 0.6);
}
