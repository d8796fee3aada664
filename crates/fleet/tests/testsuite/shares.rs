//! Who is refused when there is more work than servers can do.

use primrose_fleet::Decision;
use primrose_fleet::RefusalReason;

use crate::build::ask;
use crate::build::fleet_with;
use crate::build::ms;
use crate::build::prompt;

/// Sends requests of one account until one is refused; returns how many were sent, and why.
fn fill(fleet: &mut primrose_fleet::Fleet, account: &str, from: u64) -> (u64, RefusalReason) {
    for number in 0..1_000 {
        let now = ms(from);
        match fleet.decide(&ask(account, prompt(number), now), now) {
            Decision::Send(_) => {}
            Decision::Refuse(refusal) => return (number, refusal.reason),
        }
    }
    panic!("nothing was refused");
}

#[test]
fn an_account_beyond_its_share_leaves_room_for_the_others() {
    // The shared rate covers a few prompts over the window.
    let mut fleet = fleet_with(1, 3, Some(20_000));
    let (large, reason) = fill(&mut fleet, "large", 10);
    assert_eq!(reason, RefusalReason::OverShare);
    assert!(large > 0, "idle servers take work beyond the share");
    let asked = ask("small", prompt(5_000), ms(11));
    let decision = fleet.decide(&asked, ms(11));
    assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
}

#[test]
fn a_refused_caller_hears_when_to_come_back() {
    let mut fleet = fleet_with(1, 1, Some(1_000_000));
    fill(&mut fleet, "any", 10);
    let Decision::Refuse(refusal) = fleet.decide(&ask("any", prompt(1), ms(12)), ms(12)) else {
        panic!("refused");
    };
    assert!(refusal.predicted > refusal.allowed);
    assert!(refusal.retry_after >= ms(100) && refusal.retry_after <= ms(2_000));
}

#[test]
fn without_servers_requests_are_refused_at_once() {
    let mut fleet = fleet_with(1, 0, None);
    let Decision::Refuse(refusal) = fleet.decide(&ask("any", prompt(1), ms(12)), ms(12)) else {
        panic!("refused");
    };
    assert_eq!(refusal.reason, RefusalReason::NoServer);
}
