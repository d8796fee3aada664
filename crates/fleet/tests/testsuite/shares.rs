//! Which requests are refused under overload.

use primrose_fleet::place::Prompt;
use primrose_fleet::Decision;
use primrose_fleet::RefusalReason;

use crate::build::fleet_with_servers;
use crate::build::ms;
use crate::build::placement_request;
use crate::build::prompt;

/// Sends requests of one account until one is refused; returns how many were sent, and the reason
/// of the refusal.
fn send_until_refused(
    fleet: &mut primrose_fleet::Fleet,
    account: &str,
    at: u64,
) -> (u64, RefusalReason) {
    for number in 0..1_000 {
        let now = ms(at);
        match fleet.decide(&placement_request(account, prompt(number), now), now) {
            Decision::Send(_) => {}
            Decision::Refuse(refusal) => return (number, refusal.reason),
        }
    }
    panic!("nothing was refused");
}

#[test]
fn account_over_its_fair_share_leaves_capacity_to_others() {
    // The token rate covers a few prompts in one window.
    let mut fleet = fleet_with_servers(1, 3, Some(20_000));
    let (sent, reason) = send_until_refused(&mut fleet, "large", 10);
    assert_eq!(reason, RefusalReason::OverShare);
    assert!(sent > 0, "idle servers run requests over the fair share");
    let request = placement_request("small", prompt(5_000), ms(11));
    let decision = fleet.decide(&request, ms(11));
    assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
}

#[test]
fn refusal_has_a_bounded_retry_after() {
    let mut fleet = fleet_with_servers(1, 1, Some(1_000_000));
    send_until_refused(&mut fleet, "any", 10);
    let Decision::Refuse(refusal) =
        fleet.decide(&placement_request("any", prompt(1), ms(12)), ms(12))
    else {
        panic!("the request was sent");
    };
    assert!(refusal.predicted > refusal.allowed);
    assert!(refusal.retry_after >= ms(100) && refusal.retry_after <= ms(2_000));
}

#[test]
fn requests_are_refused_without_servers() {
    let mut fleet = fleet_with_servers(1, 0, None);
    let Decision::Refuse(refusal) =
        fleet.decide(&placement_request("any", prompt(1), ms(12)), ms(12))
    else {
        panic!("the request was sent");
    };
    assert_eq!(refusal.reason, RefusalReason::NoServer);
}

/// A request behind another one at the only server, and what becomes of it.
struct QueueCase {
    name: &'static str,
    /// Tokens of the request ahead of it. The server is assumed to read 60 in a millisecond.
    ahead_tokens: u64,
    own_tokens: u64,
    is_sent: bool,
}

const QUEUE_CASES: [QueueCase; 4] = [
    QueueCase {
        name: "small, behind half of the objective",
        ahead_tokens: 17_000,
        own_tokens: 2_000,
        is_sent: true,
    },
    QueueCase {
        name: "late on any server, behind half of the objective",
        ahead_tokens: 17_000,
        own_tokens: 40_000,
        is_sent: true,
    },
    QueueCase {
        name: "small, behind the whole objective",
        ahead_tokens: 40_000,
        own_tokens: 2_000,
        is_sent: false,
    },
    QueueCase {
        name: "late on any server, behind the whole objective",
        ahead_tokens: 40_000,
        own_tokens: 40_000,
        is_sent: false,
    },
];

/// Guards against a fault in which an account within its quota got none of its large requests served: each
/// was refused for a queue in which a small one was let wait. See `docs/incidents/many-attempts.md`.
#[test]
fn a_large_request_within_the_quota_waits_as_long_for_others_as_a_small_one() {
    for case in &QUEUE_CASES {
        let mut fleet = fleet_with_servers(1, 1, Some(1_000_000));
        let request = |account, shared, own_tokens| {
            let prompt = Prompt {
                shared,
                shared_tokens: 0,
                own_tokens,
                output_tokens: 100,
            };
            placement_request(account, prompt, ms(10))
        };
        let ahead = fleet.decide(&request("other", 1, case.ahead_tokens), ms(10));
        assert!(matches!(ahead, Decision::Send(_)), "{ahead:?}");
        let decision = fleet.decide(&request("own", 2, case.own_tokens), ms(10));
        let is_sent = matches!(decision, Decision::Send(_));
        assert_eq!(is_sent, case.is_sent, "{}: {decision:?}", case.name);
    }
}
