//! Rendezvous hashing spreads duties evenly and moves as few as possible.

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
    let holder_of = |n| holder(names(), &format!("duty {n}")).unwrap().to_owned();
    (0..DUTIES).map(holder_of).collect()
}

#[test]
fn only_duties_of_a_removed_host_move() {
    let all = hosts(12);
    let before = holders(&all);
    let after = holders(&all[1..]);
    for (old, new) in before.iter().zip(&after) {
        assert!(old == new || *old == all[0]);
        assert_ne!(*new, all[0]);
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
fn holder_is_first_in_the_ranking_for_any_order_of_hosts() {
    let property: fn(Vec<String>, String) -> bool = |hosts, duty| {
        let names = hosts.iter().map(String::as_str);
        let reversed = hosts.iter().rev().map(String::as_str);
        let ranked = ranking(names, &duty);
        holder(reversed, &duty) == ranked.first().copied()
    };
    checker().quickcheck(property);
}

struct EvenAssignment {
    hosts: usize,
    duties: usize,
    max_duties: usize,
}

/// A few duties must not accumulate on one router, whatever the order of the candidates.
#[test]
fn assign_evenly_respects_the_even_share() {
    let cases = [
        EvenAssignment {
            hosts: 1,
            duties: 5,
            max_duties: 5,
        },
        EvenAssignment {
            hosts: 3,
            duties: 5,
            max_duties: 2,
        },
        EvenAssignment {
            hosts: 5,
            duties: 5,
            max_duties: 1,
        },
        EvenAssignment {
            hosts: 12,
            duties: 5,
            max_duties: 1,
        },
        EvenAssignment {
            hosts: 0,
            duties: 2,
            max_duties: 0,
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
            let held = holders
                .iter()
                .filter(|holder| **holder == Some(*host))
                .count();
            assert!(
                held <= case.max_duties,
                "{host} of {} holds {held}",
                case.hosts
            );
        }
        let vacant = holders.iter().filter(|holder| holder.is_none()).count();
        assert_eq!(vacant, if case.hosts == 0 { case.duties } else { 0 });
        hosts.reverse();
        assert_eq!(assign_evenly(&hosts, &duties), holders);
    }
}

/// The first duty goes where plain rendezvous hashing puts it.
#[test]
fn assign_evenly_assigns_the_first_duty_by_plain_hashing() {
    let hosts = ["a", "b", "c", "d"];
    let duties = vec!["one".to_owned()];
    assert_eq!(assign_evenly(&hosts, &duties)[0], holder(hosts, "one"));
}
