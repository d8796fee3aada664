//! Rendezvous hashing moves as few duties as possible.

use std::collections::BTreeMap;

use primrose_member::rendezvous::holder;
use primrose_member::rendezvous::ranking;
use primrose_support::seeded::checker;

const DUTIES: usize = 1200;

fn hosts(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("host-{n}")).collect()
}

fn holders(hosts: &[String]) -> Vec<String> {
    let names = || hosts.iter().map(String::as_str);
    let one = |n| holder(names(), &format!("duty {n}")).unwrap().to_owned();
    (0..DUTIES).map(one).collect()
}

#[test]
fn only_the_duties_of_a_leaver_move() {
    let all = hosts(12);
    let before = holders(&all);
    let after = holders(&all[1..]);
    for (was, is) in before.iter().zip(&after) {
        assert!(was == is || *was == all[0]);
        assert_ne!(*is, all[0]);
    }
}

#[test]
fn duties_spread_evenly() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for host in holders(&hosts(12)) {
        *counts.entry(host).or_default() += 1;
    }
    // 100 each on average, with a standard deviation of 10.
    assert_eq!(counts.len(), 12);
    assert!(
        counts.values().all(|n| (60..=140).contains(n)),
        "{counts:?}"
    );
}

#[test]
fn holder_heads_the_ranking_in_any_order() {
    let property: fn(Vec<String>, String) -> bool = |hosts, duty| {
        let names = hosts.iter().map(String::as_str);
        let back = hosts.iter().rev().map(String::as_str);
        let ranked = ranking(names, &duty);
        holder(back, &duty) == ranked.first().copied()
    };
    checker().quickcheck(property);
}
