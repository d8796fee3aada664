//! Who is refused when there is more work than servers can do.

use primrose_fleet::Decision;
use primrose_fleet::Ended;
use primrose_fleet::Reason;

use crate::build::ask;
use crate::build::fleet_with;
use crate::build::ms;
use crate::build::prompt;

/// Sends requests of one account until one is refused; returns how many were sent, and why.
fn fill(fleet: &mut primrose_fleet::Fleet, account: &str, from: u64) -> (u64, Reason) {
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
    assert_eq!(reason, Reason::OverShare);
    assert!(large > 0, "idle servers take work beyond the share");
    let asked = ask("small", prompt(5_000), ms(11));
    let decision = fleet.decide(&asked, ms(11));
    assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
}

/// Found by a day on which an account that asked for twice as much as another got six times as
/// much, both beyond the operators' rate.
#[test]
fn accounts_beyond_the_rate_share_what_servers_manage_evenly() {
    let mut fleet = fleet_with(1, 9, Some(50_000));
    let mut got = [0_u64; 2];
    let mut running = Vec::new();
    // Eight seconds in which one account asks three times as often as the other, for more than
    // nine servers read.
    for step in 0..2_000_u64 {
        let now = ms(10 + step * 4);
        let which = usize::from(step % 4 == 0);
        let account = ["frequent", "rare"][which];
        let asked = ask(account, prompt(step % 60), now);
        if let Decision::Send(work) = fleet.decide(&asked, now) {
            got[which] += 1;
            running.push((now + ms(250), asked, work));
        }
        while running.first().is_some_and(|(until, ..)| *until <= now) {
            let (_, asked, mut work) = running.remove(0);
            fleet.first_event(&mut work, now);
            fleet.end(&asked, &work, Ended::Good, now);
        }
    }
    let [frequent, rare] = got;
    assert!(frequent < 1_500, "nothing was refused");
    // The rare account asks for less than half, so it gets all or nearly all it asks.
    assert!(rare * 10 >= 500 * 8, "frequent {frequent}, rare {rare}");
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
    assert_eq!(refusal.reason, Reason::NoServer);
}
