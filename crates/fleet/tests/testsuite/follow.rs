//! Which gateways read the platform's lists, and when the others fetch snapshots.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::Fleet;
use primrose_fleet::SnapshotScope;
use primrose_fleet::FOLLOWER_COUNT;

use crate::build::fleet_with_servers;
use crate::build::ip;
use crate::build::ms;

/// Returns gateways that have read the list of servers up to version 5.
fn gateways(count: u8) -> Vec<Fleet> {
    let mut gateways: Vec<Fleet> = (1..=count)
        .map(|host| fleet_with_servers(host, 2, None))
        .collect();
    for fleet in &mut gateways {
        fleet.advance_list_version(5);
    }
    gateways
}

/// Sends a digest of each gateway for which `is_sender` holds to all others.
fn send_digests(gateways: &mut [Fleet], is_sender: impl Fn(usize) -> bool, now: Mono) {
    for from in (0..gateways.len()).filter(|from| is_sender(*from)) {
        let digest = gateways[from].digest(now);
        for (to, fleet) in gateways.iter_mut().enumerate() {
            if to != from {
                fleet.merge(digest.clone(), ip(from as u8 + 1), now);
            }
        }
    }
}

fn followers(gateways: &[Fleet], now: Mono) -> Vec<usize> {
    let is_follower = |index: &usize| gateways[*index].is_follower(now);
    (0..gateways.len()).filter(is_follower).collect()
}

#[test]
fn large_fleet_has_few_followers_and_isolated_gateways_all_follow() {
    let mut gateways = gateways(20);
    assert_eq!(followers(&gateways, ms(1)).len(), 20);
    send_digests(&mut gateways, |_| true, ms(2));
    assert_eq!(followers(&gateways, ms(3)).len(), FOLLOWER_COUNT);
    assert_eq!(followers(&gateways, ms(60_000)).len(), 20);
}

#[test]
fn all_gateways_follow_in_a_small_fleet() {
    let mut gateways = gateways(12);
    send_digests(&mut gateways, |_| true, ms(2));
    assert_eq!(followers(&gateways, ms(3)).len(), 12);
}

#[test]
fn silent_followers_and_those_that_cannot_read_are_replaced() {
    let mut gateways = gateways(20);
    send_digests(&mut gateways, |_| true, ms(2));
    let first = followers(&gateways, ms(3));
    let (silent, unreadable) = (first[0], first[1]);
    gateways[unreadable].set_list_unreadable_since(Some(ms(3)));
    for step in 1..30 {
        send_digests(&mut gateways, |index| index != silent, ms(100 * step));
    }
    let now = ms(3_000);
    let current = followers(&gateways, now);
    assert!(
        current.contains(&unreadable),
        "a gateway that cannot read the list keeps trying"
    );
    let reading = current.iter().filter(|index| !first[..2].contains(index));
    assert_eq!(reading.count(), FOLLOWER_COUNT);
}

#[test]
fn each_side_of_a_partition_has_its_own_followers() {
    let mut gateways = gateways(30);
    for step in 1..30 {
        let (one, other) = gateways.split_at_mut(14);
        send_digests(one, |_| true, ms(100 * step));
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
    assert_eq!(followers(&gateways[..14], now).len(), FOLLOWER_COUNT);
    assert_eq!(followers(&gateways[14..], now).len(), FOLLOWER_COUNT);
}

#[test]
fn only_membership_changes_make_a_non_follower_fetch_a_snapshot() {
    let mut follower = fleet_with_servers(1, 2, None);
    let mut non_follower = fleet_with_servers(2, 2, None);
    follower.advance_list_version(7);
    non_follower.advance_list_version(5);
    non_follower.merge(follower.digest(ms(1)), ip(1), ms(1));
    assert_eq!(non_follower.snapshot_source(SnapshotScope::Members), None);
    assert_eq!(
        non_follower.snapshot_source(SnapshotScope::List),
        Some(ip(1))
    );
    follower.advance_list_version(9);
    follower.record_membership_change(9);
    non_follower.merge(follower.digest(ms(2)), ip(1), ms(2));
    assert_eq!(non_follower.snapshot_source(SnapshotScope::Tables), None);
    assert_eq!(
        non_follower.snapshot_source(SnapshotScope::Members),
        Some(ip(1))
    );
    non_follower.adopt_servers(&follower.snapshot(), ms(3));
    assert_eq!(non_follower.snapshot_source(SnapshotScope::Members), None);
    // It then serves as a source for others.
    let mut third = fleet_with_servers(3, 2, None);
    third.advance_list_version(5);
    third.merge(non_follower.digest(ms(4)), ip(2), ms(4));
    let elapsed = Duration::from_millis(1);
    assert_eq!(third.snapshot_source(SnapshotScope::Members), Some(ip(2)));
    assert!(third.is_follower(ms(4) + elapsed));
}
