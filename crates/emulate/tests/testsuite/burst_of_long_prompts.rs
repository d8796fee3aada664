//! Answers the pattern `burst` of the class with the longest prompts.

use crate::better_for_all;

#[test]
fn short_questions_are_served_through_the_burst() {
    let score = better_for_all("burst-of-long-prompts");
    let short = score.classes[&2].served();
    let long = score.classes[&0].served();
    assert!(short >= long / 2.0 && long >= short / 4.0, "{short} {long}");
}
