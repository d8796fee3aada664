//! Digests: what a gateway learns from the others, lost, doubled and reordered.

use std::time::Duration;

use primrose_fleet::demand::max_min_share;
use primrose_fleet::digest::Digest;
use primrose_fleet::digest::MAX_BYTES;
use primrose_fleet::AttemptOutcome;
use primrose_fleet::Decision;
use quickcheck::quickcheck;

use primrose_fleet::SnapshotScope;

use crate::build::ask;
use crate::build::fleet_with;
use crate::build::ip;
use crate::build::ms;
use crate::build::prompt;
use crate::build::server;
use crate::build::tables;
use crate::build::MODELS;

#[test]
fn a_digest_survives_its_journey() {
    let mut fleet = fleet_with(1, 3, Some(1_000));
    let decision = fleet.decide(&ask("account", prompt(7), ms(10)), ms(10));
    assert!(matches!(decision, Decision::Send(_)));
    let digest = fleet.digest(ms(20));
    assert!(!digest.servers.is_empty() && !digest.accounts.is_empty());
    let bytes = digest.encode().expect("encodes");
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    assert_eq!(Digest::decode(&bytes).expect("decodes"), digest);
}

#[test]
fn garbage_is_no_digest() {
    for bytes in [&b""[..], b"\x00", b"not a digest at all", &[0xff; 64]] {
        assert!(Digest::decode(bytes).is_err());
    }
}

#[test]
fn sums_of_a_gateway_are_replaced_and_not_added() {
    let mut one = fleet_with(1, 2, None);
    let mut two = fleet_with(2, 2, None);
    let asked = ask("account", prompt(7), ms(10));
    let Decision::Send(work) = one.decide(&asked, ms(10)) else {
        panic!("sent");
    };
    let early = one.digest(ms(20));
    two.merge(early.clone(), ip(1), ms(21));
    two.merge(early.clone(), ip(1), ms(22));
    let loads = |fleet: &primrose_fleet::Fleet| -> u64 {
        fleet.status().iter().map(|row| row.fleet.reading).sum()
    };
    assert_eq!(loads(&two), work.load.reading);
    one.finish_attempt(&asked, &work, AttemptOutcome::Good, ms(30));
    let late = one.digest(ms(40));
    two.merge(late, ip(1), ms(41));
    two.merge(early, ip(1), ms(42));
    assert_eq!(loads(&two), 0, "an older digest changes nothing");
}

#[test]
fn a_silent_gateway_stops_counting() {
    let mut one = fleet_with(1, 2, None);
    let mut two = fleet_with(2, 2, None);
    one.decide(&ask("account", prompt(7), ms(10)), ms(10));
    two.merge(one.digest(ms(20)), ip(1), ms(20));
    assert_eq!(two.gateway_count(), 2);
    two.expire(ms(20) + Duration::from_secs(10));
    assert_eq!(two.gateway_count(), 1);
    assert!(two.status().iter().all(|row| row.fleet.running == 0));
}

#[test]
fn tables_move_forward_only() {
    let mut fleet = fleet_with(1, 1, None);
    assert_eq!(fleet.adopt_tables(tables(5, None)), Some(1));
    assert_eq!(fleet.adopt_tables(tables(5, None)), None);
    assert_eq!(fleet.adopt_tables(tables(4, None)), None);
    assert_eq!(fleet.generation(), 5);
}

#[test]
fn an_empty_gateway_takes_over_tables_and_servers() {
    let mut told = fleet_with(1, 2, None);
    told.advance_list_version(9);
    told.adopt_tables(tables(3, None));
    let mut empty = primrose_fleet::Fleet::new(primrose_fleet::FleetConfig {
        incarnation: 2,
        zone: "a".to_owned(),
        ip: ip(2),
        retry_permille: 200,
        retry_slack: 56,
    });
    assert!(!empty.is_ready());
    assert_eq!(empty.snapshot_source(SnapshotScope::List), None);
    empty.merge(told.digest(ms(5)), ip(1), ms(5));
    assert_eq!(empty.snapshot_source(SnapshotScope::List), Some(ip(1)));
    let bytes = told.snapshot().encode().expect("encodes");
    let snapshot = primrose_fleet::snapshot::Snapshot::decode(&bytes).expect("decodes");
    empty.adopt_servers(&snapshot, ms(6));
    empty.adopt_tables(snapshot.tables.expect("tables"));
    assert!(empty.is_ready());
    assert_eq!(empty.snapshot_source(SnapshotScope::List), None);
}

#[test]
fn a_leaving_server_is_known_from_another_gateway() {
    let mut one = fleet_with(1, 2, None);
    let mut two = fleet_with(2, 2, None);
    let mut leaving = server("s1", MODELS, 101);
    leaving.leaving = true;
    one.upsert_server(leaving, ms(10));
    two.merge(one.digest(ms(20)), ip(1), ms(20));
    let row = two.status().into_iter().find(|row| row.id == "s1");
    assert!(row.expect("known").leaving);
}

#[test]
fn a_request_that_breaks_servers_is_refused_by_all() {
    let mut one = fleet_with(1, 4, None);
    let mut two = fleet_with(2, 4, None);
    let mut asked = ask("account", prompt(7), ms(10));
    asked.fingerprint = 77;
    for (fleet, runs) in [(&mut one, 2), (&mut two, 1)] {
        for _ in 0..runs {
            let Decision::Send(work) = fleet.decide(&asked, ms(10)) else {
                panic!("sent");
            };
            fleet.finish_attempt(&asked, &work, AttemptOutcome::Broken, ms(20));
        }
    }
    assert!(matches!(one.decide(&asked, ms(30)), Decision::Send(_)));
    one.merge(two.digest(ms(30)), ip(2), ms(31));
    assert!(matches!(one.decide(&asked, ms(40)), Decision::Refuse(_)));
}

#[test]
fn repeats_stay_within_the_budget_of_the_fleet() {
    // Twelve gateways that nobody told of one another, each with a hundred requests that all fail.
    let mut repeats = 0;
    for host in 1..=12 {
        let mut fleet = fleet_with(host, 4, None);
        for number in 0..100_u64 {
            let asked = ask("account", prompt(number), ms(10 + number));
            fleet.decide(&asked, ms(10 + number));
            repeats += u32::from(fleet.try_retry(&asked));
        }
    }
    // A fifth of the requests and the slack.
    assert!(repeats <= 1_200 / 5 + 56, "{repeats} repeats");
    assert!(repeats >= 1_200 / 10, "{repeats} repeats");
}

quickcheck! {
    fn max_min_shares_all_and_no_more(amount: u32, asked: Vec<u16>) -> bool {
        let asked: Vec<u64> = asked.into_iter().map(u64::from).collect();
        let level = max_min_share(u64::from(amount), asked.clone());
        let given: u64 = asked.iter().map(|one| level.min(*one)).sum();
        let total: u64 = asked.iter().sum();
        let count = asked.len() as u64;
        given <= u64::from(amount).max(total.min(u64::from(amount)))
            && (given == total || given + count >= u64::from(amount))
    }
}
