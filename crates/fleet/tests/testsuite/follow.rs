//! Which gateways read the platform's lists, and what the others take over.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::Fleet;
use primrose_fleet::SnapshotScope;
use primrose_fleet::FOLLOWER_COUNT;

use crate::build::fleet_with;
use crate::build::ip;
use crate::build::ms;

/// Gateways that have read the list of servers.
fn fleets(count: u8) -> Vec<Fleet> {
    let mut fleets: Vec<Fleet> = (1..=count).map(|me| fleet_with(me, 2, None)).collect();
    for fleet in &mut fleets {
        fleet.advance_list_version(5);
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
    let is_follower = |index: &usize| fleets[*index].is_follower(now);
    (0..fleets.len()).filter(is_follower).collect()
}

#[test]
fn a_few_follow_and_all_do_who_hear_nobody() {
    let mut fleets = fleets(20);
    assert_eq!(followers(&fleets, ms(1)).len(), 20);
    tell(&mut fleets, |_| true, ms(2));
    assert_eq!(followers(&fleets, ms(3)).len(), FOLLOWER_COUNT);
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
    let (silent, list_unreadable) = (first[0], first[1]);
    fleets[list_unreadable].set_list_unreadable_since(Some(ms(3)));
    for step in 1..30 {
        tell(&mut fleets, |index| index != silent, ms(100 * step));
    }
    let now = ms(3_000);
    let next = followers(&fleets, now);
    assert!(
        next.contains(&list_unreadable),
        "one that cannot read goes on trying"
    );
    let reading = next.iter().filter(|index| !first[..2].contains(index));
    assert_eq!(reading.count(), FOLLOWER_COUNT);
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
    assert_eq!(followers(&fleets[..14], now).len(), FOLLOWER_COUNT);
    assert_eq!(followers(&fleets[14..], now).len(), FOLLOWER_COUNT);
}

#[test]
fn only_joined_and_left_servers_are_news_to_one_that_does_not_follow() {
    let mut reads = fleet_with(1, 2, None);
    let mut idle = fleet_with(2, 2, None);
    reads.advance_list_version(7);
    idle.advance_list_version(5);
    idle.merge(reads.digest(ms(1)), ip(1), ms(1));
    assert_eq!(idle.snapshot_source(SnapshotScope::Members), None);
    assert_eq!(idle.snapshot_source(SnapshotScope::List), Some(ip(1)));
    reads.advance_list_version(9);
    reads.record_membership_change(9);
    idle.merge(reads.digest(ms(2)), ip(1), ms(2));
    assert_eq!(idle.snapshot_source(SnapshotScope::Tables), None);
    assert_eq!(idle.snapshot_source(SnapshotScope::Members), Some(ip(1)));
    idle.adopt_servers(&reads.snapshot(), ms(3));
    assert_eq!(idle.snapshot_source(SnapshotScope::Members), None);
    // It tells others in turn.
    let mut third = fleet_with(3, 2, None);
    third.advance_list_version(5);
    third.merge(idle.digest(ms(4)), ip(2), ms(4));
    let wait = Duration::from_millis(1);
    assert_eq!(third.snapshot_source(SnapshotScope::Members), Some(ip(2)));
    assert!(third.is_follower(ms(4) + wait));
}
