//! Answers the pattern `retry_abuse`: a third of the callers repeat at once and often.

use crate::better_for_all;

#[test]
fn repeating_at_once_does_not_push_the_others_out() {
    let impatient = better_for_all("impatient-callers");
    assert!(impatient.all.served() > 0.5);
}
