//! Load pattern `retry_abuse`: about a third of the callers retry immediately and repeatedly.

use crate::assert_better_than_baseline;

#[test]
fn immediate_retries_do_not_starve_other_callers() {
    let impatient = assert_better_than_baseline("impatient-callers");
    assert!(impatient.all.served_share() > 0.5);
}
