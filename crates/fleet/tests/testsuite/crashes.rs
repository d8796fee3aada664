//! Requests that crash servers are refused; popular ones whose links break are not.

use primrose_fleet::AttemptOutcome;
use primrose_fleet::Decision;
use primrose_fleet::Fleet;
use primrose_fleet::PlacementRequest;
use primrose_fleet::RefusalReason;

use crate::build::ask;
use crate::build::fleet_with;
use crate::build::ip;
use crate::build::ms;
use crate::build::prompt;

/// Sends a request and ends it; returns why it was refused, if it was.
fn run(
    fleet: &mut Fleet,
    asked: &PlacementRequest,
    ended: AttemptOutcome,
    at: u64,
) -> Option<RefusalReason> {
    match fleet.decide(asked, ms(at)) {
        Decision::Send(work) => {
            fleet.finish_attempt(asked, &work, ended, ms(at + 1));
            None
        }
        Decision::Refuse(refusal) => Some(refusal.reason),
    }
}

fn tell(fleets: &mut [Fleet; 3], at: u64) {
    for from in 0..3 {
        let digest = fleets[from].digest(ms(at));
        for to in (0..3).filter(|to| *to != from) {
            fleets[to].merge(digest.clone(), ip(from as u8 + 1), ms(at));
        }
    }
}

fn fleets() -> [Fleet; 3] {
    [1, 2, 3].map(|me| fleet_with(me, 4, None))
}

#[test]
fn a_request_that_breaks_every_run_is_refused_at_all_gateways() {
    let mut fleets = fleets();
    let asked = ask("any", prompt(1), ms(1));
    for fleet in &mut fleets {
        assert_eq!(run(fleet, &asked, AttemptOutcome::Broken, 10), None);
    }
    tell(&mut fleets, 20);
    for fleet in &mut fleets {
        let refused = run(fleet, &asked, AttemptOutcome::Broken, 30);
        assert_eq!(refused, Some(RefusalReason::CrashesServers));
    }
}

#[test]
fn a_request_that_ended_well_lately_is_not_refused_for_broken_links() {
    let mut fleets = fleets();
    let asked = ask("any", prompt(1), ms(1));
    for fleet in &mut fleets {
        assert_eq!(run(fleet, &asked, AttemptOutcome::Good, 5), None);
    }
    for at in [10, 20, 30] {
        for fleet in &mut fleets {
            assert_eq!(run(fleet, &asked, AttemptOutcome::Broken, at), None);
        }
        tell(&mut fleets, at + 5);
    }
    for fleet in &mut fleets {
        assert_eq!(run(fleet, &asked, AttemptOutcome::Good, 40), None);
    }
}

#[test]
fn a_good_end_long_ago_does_not_count() {
    let mut fleets = fleets();
    let asked = ask("any", prompt(1), ms(1));
    assert_eq!(run(&mut fleets[0], &asked, AttemptOutcome::Good, 5), None);
    for at in [70_000, 140_000] {
        fleets[0].expire(ms(at));
    }
    for at in [140_010, 140_020, 140_030] {
        let late = PlacementRequest {
            fingerprint: asked.fingerprint,
            ..ask("any", prompt(1), ms(at))
        };
        assert_eq!(run(&mut fleets[0], &late, AttemptOutcome::Broken, at), None);
    }
    let late = PlacementRequest {
        fingerprint: asked.fingerprint,
        ..ask("any", prompt(1), ms(140_040))
    };
    let refused = run(&mut fleets[0], &late, AttemptOutcome::Broken, 140_040);
    assert_eq!(refused, Some(RefusalReason::CrashesServers));
}

#[test]
fn a_good_end_elsewhere_clears_the_request_everywhere() {
    let mut fleets = fleets();
    let asked = ask("any", prompt(1), ms(1));
    // Three runs at the first gateway: two break, and the third goes on while the others hear.
    let Decision::Send(running) = fleets[0].decide(&asked, ms(2)) else {
        panic!("refused");
    };
    for at in [3, 4] {
        assert_eq!(
            run(&mut fleets[0], &asked, AttemptOutcome::Broken, at),
            None
        );
    }
    assert_eq!(run(&mut fleets[1], &asked, AttemptOutcome::Broken, 5), None);
    tell(&mut fleets, 10);
    let refused = run(&mut fleets[2], &asked, AttemptOutcome::Good, 11);
    assert_eq!(refused, Some(RefusalReason::CrashesServers));
    fleets[0].finish_attempt(&asked, &running, AttemptOutcome::Good, ms(12));
    tell(&mut fleets, 20);
    for fleet in &mut fleets {
        assert_eq!(run(fleet, &asked, AttemptOutcome::Good, 30), None);
    }
}
