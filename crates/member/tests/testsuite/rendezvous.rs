//! Rendezvous hashing moves as few duties as possible.

use std::collections::BTreeMap;

use primrose_member::rendezvous::assign_evenly;
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

struct Spread {
    hosts: usize,
    duties: usize,
    most: usize,
}

/// A few duties never pile up on one router, and the order of the candidates does not matter.
#[test]
fn spread_gives_no_candidate_more_than_its_even_share() {
    let cases = [
        Spread {
            hosts: 1,
            duties: 5,
            most: 5,
        },
        Spread {
            hosts: 3,
            duties: 5,
            most: 2,
        },
        Spread {
            hosts: 5,
            duties: 5,
            most: 1,
        },
        Spread {
            hosts: 12,
            duties: 5,
            most: 1,
        },
        Spread {
            hosts: 0,
            duties: 2,
            most: 0,
        },
    ];
    for case in cases {
        let names: Vec<String> = (0..case.hosts).map(|number| format!("r{number}")).collect();
        let mut hosts: Vec<&str> = names.iter().map(String::as_str).collect();
        let duties: Vec<String> = (0..case.duties)
            .map(|number| format!("d{number}"))
            .collect();
        let holders = assign_evenly(&hosts, &duties);
        for host in &hosts {
            let held = holders.iter().filter(|one| **one == Some(*host)).count();
            assert!(held <= case.most, "{host} of {} holds {held}", case.hosts);
        }
        let vacant = holders.iter().filter(|one| one.is_none()).count();
        assert_eq!(vacant, if case.hosts == 0 { case.duties } else { 0 });
        hosts.reverse();
        assert_eq!(assign_evenly(&hosts, &duties), holders);
    }
}

/// The first duty goes where plain rendezvous hashing puts it.
#[test]
fn spread_puts_the_first_duty_where_plain_hashing_does() {
    let hosts = ["a", "b", "c", "d"];
    let duties = vec!["one".to_owned()];
    assert_eq!(assign_evenly(&hosts, &duties)[0], holder(hosts, "one"));
}
