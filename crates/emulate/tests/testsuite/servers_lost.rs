//! Load pattern `srv_crash`: a third of the servers crashes at peak load.

use crate::assert_better_than_baseline;

#[test]
fn remaining_servers_carry_on_and_service_recovers() {
    let score = assert_better_than_baseline("servers-lost");
    let share = |from: u64, until: u64| {
        let seconds = score.seconds.range(from..until);
        let sums = seconds.fold((0.0, 0.0), |sums, (_, tally)| {
            (sums.0 + tally.received, sums.1 + tally.total)
        });
        sums.0 / sums.1
    };
    // Six of nine servers are up from the eighth to the fourteenth second.
    assert!(share(9, 14) > share(4, 8) * 0.5, "during");
    assert!(share(18, 24) > share(4, 8) * 0.9, "after");
}
