//! Answers the pattern `srv_crash`: a third of the servers is lost at the peak.

use crate::better_for_all;

#[test]
fn the_rest_goes_on_and_the_return_is_smooth() {
    let score = better_for_all("servers-lost");
    let share = |from: u64, until: u64| {
        let seconds = score.seconds.range(from..until);
        let sums = seconds.fold((0.0, 0.0), |sums, (_, tally)| {
            (sums.0 + tally.got, sums.1 + tally.owed)
        });
        sums.0 / sums.1
    };
    // Six of nine servers are left from the eighth to the fourteenth second.
    assert!(share(9, 14) > share(4, 8) * 0.5, "during");
    assert!(share(18, 24) > share(4, 8) * 0.9, "after");
}
