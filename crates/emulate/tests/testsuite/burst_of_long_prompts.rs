//! Load pattern `burst`, on the class with the longest prompts.

use crate::assert_better_than_baseline;

#[test]
fn short_requests_are_served_during_a_burst_of_long_prompts() {
    let score = assert_better_than_baseline("burst-of-long-prompts");
    let short = score.classes[&2].served_share();
    let long = score.classes[&0].served_share();
    assert!(short >= long / 2.0 && long >= short / 4.0, "{short} {long}");
}
