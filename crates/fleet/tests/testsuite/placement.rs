//! Where prompts go.

use std::collections::BTreeSet;

use primrose_fleet::place::place_prompt;
use primrose_fleet::place::preferred_server;
use primrose_fleet::place::Candidate;
use primrose_fleet::place::PrefixCache;
use primrose_fleet::prefill::PrefillModel;
use primrose_fleet::server::Load;
use primrose_fleet::Decision;

use crate::build::ask;
use crate::build::fleet_with;
use crate::build::ms;
use crate::build::prompt;

fn candidates(count: u32) -> Vec<Candidate> {
    let candidate = |short_id| Candidate {
        short_id,
        load: Load::default(),
        slots: 48,
        memory: 444_000,
        same_zone: true,
        failure_rate: 0.0,
        slowness: 1.0,
    };
    (1..=count).map(candidate).collect()
}

#[test]
fn shared_parts_spread_over_homes_and_stay_when_a_server_joins() {
    let nine = candidates(9);
    let ten = candidates(10);
    let homes: Vec<_> = (0..200).map(|part| preferred_server(part, &nine)).collect();
    let used: BTreeSet<_> = homes.iter().flatten().collect();
    assert_eq!(used.len(), 9);
    let moved = (0..200).filter(|part| preferred_server(*part, &ten) != homes[*part as usize]);
    // A tenth of the parts belongs to the new server; no others move.
    assert!(moved.count() <= 40);
}

#[test]
fn a_busy_home_is_left_only_when_waiting_costs_more_than_reading_again() {
    struct Case {
        name: &'static str,
        backlog: u64,
        stays: bool,
    }
    let cases = [
        Case {
            name: "idle",
            backlog: 0,
            stays: true,
        },
        Case {
            name: "a few prompts wait",
            backlog: 12_000,
            stays: true,
        },
        Case {
            name: "many prompts wait",
            backlog: 60_000,
            stays: false,
        },
    ];
    for case in cases {
        let mut all = candidates(9);
        let at = preferred_server(7, &all).expect("a home");
        all[at].load.reading = case.backlog;
        let choice = place_prompt(
            &prompt(7),
            &all,
            &PrefixCache::default(),
            &PrefillModel::default(),
            ms(1),
        );
        let stays = choice.expect("a place").index == at;
        assert_eq!(stays, case.stays, "{}", case.name);
    }
}

#[test]
fn a_second_home_keeps_what_it_has_read() {
    let mut all = candidates(9);
    let at = preferred_server(7, &all).expect("a home");
    let second = (at + 1) % 9;
    all[at].load.reading = 8_000;
    let mut kept = PrefixCache::default();
    kept.record(7, all[second].short_id, ms(1));
    let choice = place_prompt(&prompt(7), &all, &kept, &PrefillModel::default(), ms(2));
    let choice = choice.expect("a place");
    assert_eq!(choice.index, second);
    assert_eq!(choice.uncached_tokens, prompt(7).own_tokens);
}

#[test]
fn a_full_server_takes_nothing_more() {
    let mut all = candidates(2);
    let at = preferred_server(7, &all).expect("a home");
    all[at].load.memory = 440_000;
    let choice = place_prompt(
        &prompt(7),
        &all,
        &PrefixCache::default(),
        &PrefillModel::default(),
        ms(1),
    );
    assert_eq!(choice.expect("a place").index, 1 - at);
    all[1 - at].load.running = 48;
    let choice = place_prompt(
        &prompt(7),
        &all,
        &PrefixCache::default(),
        &PrefillModel::default(),
        ms(1),
    );
    assert_eq!(choice, None);
}

#[test]
fn a_server_that_failed_a_request_is_not_asked_again_for_it() {
    let mut fleet = fleet_with(1, 3, None);
    let mut asked = ask("account", prompt(7), ms(10));
    let mut used = BTreeSet::new();
    for _ in 0..3 {
        let Decision::Send(work) = fleet.decide(&asked, ms(10)) else {
            panic!("sent");
        };
        assert!(used.insert(work.server.clone()));
        asked.tried.push(work.server);
    }
    assert!(matches!(fleet.decide(&asked, ms(10)), Decision::Refuse(_)));
}
