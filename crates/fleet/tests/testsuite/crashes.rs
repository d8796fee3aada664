//! Requests that crash servers are refused; popular requests are not refused when links break.

use primrose_fleet::AttemptOutcome;
use primrose_fleet::Decision;
use primrose_fleet::Fleet;
use primrose_fleet::PlacementRequest;
use primrose_fleet::RefusalReason;

use crate::build::fleet_with_servers;
use crate::build::ip;
use crate::build::ms;
use crate::build::placement_request;
use crate::build::prompt;

/// Sends a request and finishes it with `outcome`; returns the reason if it was refused.
fn run_attempt(
    fleet: &mut Fleet,
    request: &PlacementRequest,
    outcome: AttemptOutcome,
    at: u64,
) -> Option<RefusalReason> {
    match fleet.decide(request, ms(at)) {
        Decision::Send(placement) => {
            fleet.finish_attempt(request, &placement, outcome, ms(at + 1));
            None
        }
        Decision::Refuse(refusal) => Some(refusal.reason),
    }
}

/// Sends a digest of each gateway to the two others.
fn exchange_digests(gateways: &mut [Fleet; 3], at: u64) {
    for from in 0..3 {
        let digest = gateways[from].digest(ms(at));
        for to in (0..3).filter(|to| *to != from) {
            gateways[to].merge(digest.clone(), ip(from as u8 + 1), ms(at));
        }
    }
}

fn gateways() -> [Fleet; 3] {
    [1, 2, 3].map(|host| fleet_with_servers(host, 4, None))
}

#[test]
fn request_with_three_broken_runs_is_refused_by_all_gateways() {
    let mut gateways = gateways();
    let request = placement_request("any", prompt(1), ms(1));
    for fleet in &mut gateways {
        assert_eq!(
            run_attempt(fleet, &request, AttemptOutcome::Broken, 10),
            None
        );
    }
    exchange_digests(&mut gateways, 20);
    for fleet in &mut gateways {
        let reason = run_attempt(fleet, &request, AttemptOutcome::Broken, 30);
        assert_eq!(reason, Some(RefusalReason::CrashesServers));
    }
}

#[test]
fn recently_successful_request_is_not_refused_for_broken_links() {
    let mut gateways = gateways();
    let request = placement_request("any", prompt(1), ms(1));
    for fleet in &mut gateways {
        assert_eq!(run_attempt(fleet, &request, AttemptOutcome::Good, 5), None);
    }
    for at in [10, 20, 30] {
        for fleet in &mut gateways {
            assert_eq!(
                run_attempt(fleet, &request, AttemptOutcome::Broken, at),
                None
            );
        }
        exchange_digests(&mut gateways, at + 5);
    }
    for fleet in &mut gateways {
        assert_eq!(run_attempt(fleet, &request, AttemptOutcome::Good, 40), None);
    }
}

#[test]
fn success_long_ago_does_not_prevent_refusal() {
    let mut gateways = gateways();
    let request = placement_request("any", prompt(1), ms(1));
    assert_eq!(
        run_attempt(&mut gateways[0], &request, AttemptOutcome::Good, 5),
        None
    );
    for at in [70_000, 140_000] {
        gateways[0].expire(ms(at));
    }
    for at in [140_010, 140_020, 140_030] {
        let late_request = PlacementRequest {
            fingerprint: request.fingerprint,
            ..placement_request("any", prompt(1), ms(at))
        };
        assert_eq!(
            run_attempt(&mut gateways[0], &late_request, AttemptOutcome::Broken, at),
            None
        );
    }
    let late_request = PlacementRequest {
        fingerprint: request.fingerprint,
        ..placement_request("any", prompt(1), ms(140_040))
    };
    let reason = run_attempt(
        &mut gateways[0],
        &late_request,
        AttemptOutcome::Broken,
        140_040,
    );
    assert_eq!(reason, Some(RefusalReason::CrashesServers));
}

#[test]
fn success_at_one_gateway_clears_the_request_at_all() {
    let mut gateways = gateways();
    let request = placement_request("any", prompt(1), ms(1));
    // Three runs at the first gateway: two break, and the third is still running when the digests
    // are exchanged.
    let Decision::Send(running) = gateways[0].decide(&request, ms(2)) else {
        panic!("the request was refused");
    };
    for at in [3, 4] {
        assert_eq!(
            run_attempt(&mut gateways[0], &request, AttemptOutcome::Broken, at),
            None
        );
    }
    assert_eq!(
        run_attempt(&mut gateways[1], &request, AttemptOutcome::Broken, 5),
        None
    );
    exchange_digests(&mut gateways, 10);
    let reason = run_attempt(&mut gateways[2], &request, AttemptOutcome::Good, 11);
    assert_eq!(reason, Some(RefusalReason::CrashesServers));
    gateways[0].finish_attempt(&request, &running, AttemptOutcome::Good, ms(12));
    exchange_digests(&mut gateways, 20);
    for fleet in &mut gateways {
        assert_eq!(run_attempt(fleet, &request, AttemptOutcome::Good, 30), None);
    }
}
