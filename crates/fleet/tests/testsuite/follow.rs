//! Which gateways read the platform's lists, and what the others take over.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::Fleet;
use primrose_fleet::Wanted;
use primrose_fleet::FOLLOWERS;

use crate::build::fleet_with;
use crate::build::ip;
use crate::build::ms;

/// Gateways that have read the list of servers.
fn fleets(count: u8) -> Vec<Fleet> {
    let mut fleets: Vec<Fleet> = (1..=count).map(|me| fleet_with(me, 2, None)).collect();
    for fleet in &mut fleets {
        fleet.list_reached(5);
    }
    fleets
}

/// Each gateway in `speaking` tells all others.
fn tell(fleets: &mut [Fleet], speaking: impl Fn(usize) -> bool, now: Mono) {
    for from in (0..fleets.len()).filter(|from| speaking(*from)) {
        let digest = fleets[from].digest(now);
        for (to, fleet) in fleets.iter_mut().enumerate() {
            if to != from {
                fleet.merge(digest.clone(), ip(from as u8 + 1), now);
            }
        }
    }
}

fn followers(fleets: &[Fleet], now: Mono) -> Vec<usize> {
    let follows = |index: &usize| fleets[*index].follows(now);
    (0..fleets.len()).filter(follows).collect()
}

#[test]
fn a_few_follow_and_all_do_who_hear_nobody() {
    let mut fleets = fleets(20);
    assert_eq!(followers(&fleets, ms(1)).len(), 20);
    tell(&mut fleets, |_| true, ms(2));
    assert_eq!(followers(&fleets, ms(3)).len(), FOLLOWERS);
    assert_eq!(followers(&fleets, ms(60_000)).len(), 20);
}

#[test]
fn each_follows_where_gateways_are_few() {
    let mut fleets = fleets(12);
    tell(&mut fleets, |_| true, ms(2));
    assert_eq!(followers(&fleets, ms(3)).len(), 12);
}

#[test]
fn silent_and_blind_followers_are_replaced() {
    let mut fleets = fleets(20);
    tell(&mut fleets, |_| true, ms(2));
    let first = followers(&fleets, ms(3));
    let (silent, blind) = (first[0], first[1]);
    fleets[blind].set_blind(Some(ms(3)));
    for step in 1..30 {
        tell(&mut fleets, |index| index != silent, ms(100 * step));
    }
    let now = ms(3_000);
    let next = followers(&fleets, now);
    assert!(next.contains(&blind), "one that cannot read goes on trying");
    let reading = next.iter().filter(|index| !first[..2].contains(index));
    assert_eq!(reading.count(), FOLLOWERS);
}

#[test]
fn a_part_that_is_cut_off_has_followers_of_its_own() {
    let mut fleets = fleets(30);
    for step in 1..30 {
        let (one, other) = fleets.split_at_mut(14);
        tell(one, |_| true, ms(100 * step));
        let digests: Vec<_> = other.iter_mut().map(|f| f.digest(ms(100 * step))).collect();
        for (from, digest) in digests.into_iter().enumerate() {
            for (to, fleet) in other.iter_mut().enumerate() {
                if to != from {
                    fleet.merge(digest.clone(), ip(from as u8 + 15), ms(100 * step));
                }
            }
        }
    }
    let now = ms(3_000);
    assert_eq!(followers(&fleets[..14], now).len(), FOLLOWERS);
    assert_eq!(followers(&fleets[14..], now).len(), FOLLOWERS);
}

#[test]
fn only_joined_and_left_servers_are_news_to_one_that_does_not_follow() {
    let mut reads = fleet_with(1, 2, None);
    let mut idle = fleet_with(2, 2, None);
    reads.list_reached(7);
    idle.list_reached(5);
    idle.merge(reads.digest(ms(1)), ip(1), ms(1));
    assert_eq!(idle.better_informed(Wanted::Members), None);
    assert_eq!(idle.better_informed(Wanted::List), Some(ip(1)));
    reads.list_reached(9);
    reads.members_changed(9);
    idle.merge(reads.digest(ms(2)), ip(1), ms(2));
    assert_eq!(idle.better_informed(Wanted::Tables), None);
    assert_eq!(idle.better_informed(Wanted::Members), Some(ip(1)));
    idle.adopt_servers(&reads.snapshot(), ms(3));
    assert_eq!(idle.better_informed(Wanted::Members), None);
    // It tells others in turn.
    let mut third = fleet_with(3, 2, None);
    third.list_reached(5);
    third.merge(idle.digest(ms(4)), ip(2), ms(4));
    let wait = Duration::from_millis(1);
    assert_eq!(third.better_informed(Wanted::Members), Some(ip(2)));
    assert!(third.follows(ms(4) + wait));
}
