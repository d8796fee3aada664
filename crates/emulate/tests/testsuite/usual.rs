//! The usual mix at its heaviest: shared parts are read once and refusals are few.

use crate::better_for_all;

#[test]
fn shared_parts_are_read_about_once() {
    let score = better_for_all("usual");
    // 116, 106 and 146 parts of three sizes, once each; the rest of what is read is callers' own.
    let parts = 116 * 13_300 + 106 * 6_300 + 146 * 350;
    let own_most = score.read.saturating_sub(parts);
    assert!(score.found > own_most / 2, "kept parts carry the load");
    assert_eq!(score.preempted, 0);
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let (one, _) = crate::both("usual");
    let (two, _) = crate::both("usual");
    assert_eq!(one.all.ends, two.all.ends);
}
