//! Which servers are used while the platform's list changes, lapses and comes back.

use primrose_core::clock::Mono;
use primrose_fleet::entry::short_start_id;
use primrose_fleet::server::ServerChange;
use primrose_fleet::server::Servers;

use crate::build::ms;
use crate::build::server;
use crate::build::MODELS;

/// One thing that happens to the list.
enum Step {
    Seen(&'static str),
    Leaving(&'static str),
    Removed(&'static str),
    Listed(Vec<&'static str>),
    OutageEnded,
    Mark(&'static str),
    ReportedRemoved(&'static str),
    Expire,
}

struct Case {
    name: &'static str,
    steps: Vec<(u64, Step)>,
    /// Servers that take new requests in the end.
    used: Vec<&'static str>,
}

fn number(id: &str) -> u8 {
    id.trim_start_matches('s').parse().expect("a number")
}

fn play(steps: Vec<(u64, Step)>) -> Servers {
    let mut servers = Servers::default();
    for (at, step) in steps {
        apply(&mut servers, step, ms(at));
    }
    servers
}

fn apply(servers: &mut Servers, step: Step, now: Mono) {
    let entry = |id: &str| server(id, MODELS, number(id));
    match step {
        Step::Seen(id) => drop(servers.upsert(entry(id), now)),
        Step::Leaving(id) => {
            let mut entry = entry(id);
            entry.leaving = true;
            servers.upsert(entry, now);
        }
        Step::Removed(id) => drop(servers.remove(id, now)),
        Step::Listed(ids) => drop(servers.replace(ids.into_iter().map(entry).collect(), now)),
        Step::OutageEnded => servers.record_outage_end(now),
        Step::Mark(id) => drop(servers.merge_leaving(&[short_start_id(&entry(id))], now)),
        Step::ReportedRemoved(id) => {
            drop(servers.merge_removed(&[short_start_id(&entry(id))], now))
        }
        Step::Expire => drop(servers.expire(now)),
    }
}

#[test]
fn servers_are_used_as_the_list_says() {
    use Step::*;
    let cases = vec![
        Case {
            name: "a removed server is gone at once",
            steps: vec![(1, Seen("s1")), (2, Seen("s2")), (3, Removed("s1"))],
            used: vec!["s2"],
        },
        Case {
            name: "a leaving mark outlives an older entry of the same start",
            steps: vec![(1, Seen("s1")), (2, Leaving("s1")), (3, Seen("s1"))],
            used: vec![],
        },
        Case {
            name: "a mark told by a gateway comes before the entry",
            steps: vec![(1, Mark("s1")), (2, Seen("s1"))],
            used: vec![],
        },
        Case {
            name: "a mark told by a gateway stops a known server",
            steps: vec![(1, Seen("s1")), (2, Mark("s1"))],
            used: vec![],
        },
        Case {
            name: "a server that left the list is gone by another gateway's word",
            steps: vec![(1, Seen("s1")), (2, Seen("s2")), (3, ReportedRemoved("s1"))],
            used: vec!["s2"],
        },
        Case {
            name: "it is used again once it is listed, whatever echoes say",
            steps: vec![
                (1, Seen("s1")),
                (3, ReportedRemoved("s1")),
                (4, Seen("s1")),
                (5, ReportedRemoved("s1")),
            ],
            used: vec!["s1"],
        },
        Case {
            name: "nobody's word removes a server just after an outage",
            steps: vec![
                (1, Seen("s1")),
                (5_000, OutageEnded),
                (5_001, ReportedRemoved("s1")),
            ],
            used: vec!["s1"],
        },
        Case {
            name: "an entry that lapsed during an outage stays usable",
            steps: vec![
                (1, Seen("s1")),
                (5_000, OutageEnded),
                (5_001, Listed(vec![])),
            ],
            used: vec!["s1"],
        },
        Case {
            name: "it is back after the list names it again",
            steps: vec![
                (1, Seen("s1")),
                (5_000, OutageEnded),
                (5_001, Listed(vec![])),
                (6_000, Seen("s1")),
                (8_000, Expire),
            ],
            used: vec!["s1"],
        },
        Case {
            name: "it is gone two seconds after the outage",
            steps: vec![
                (1, Seen("s1")),
                (5_000, OutageEnded),
                (5_001, Listed(vec![])),
                (7_000, Expire),
            ],
            used: vec![],
        },
        Case {
            // Found by a day on which a server left 2.4 s after an outage and was still sent
            // requests two seconds later.
            name: "a server that leaves long after an outage is gone at once",
            steps: vec![
                (1, Seen("s1")),
                (5_000, OutageEnded),
                (7_400, Removed("s1")),
            ],
            used: vec![],
        },
        Case {
            name: "a server that leaves soon after an outage is gone two seconds after it",
            steps: vec![
                (1, Seen("s1")),
                (5_000, OutageEnded),
                (6_900, Removed("s1")),
                (7_000, Expire),
            ],
            used: vec![],
        },
    ];
    for case in cases {
        let servers = play(case.steps);
        let used = servers.iter().filter(|server| server.accepts_requests());
        let mut used: Vec<_> = used.map(|server| server.entry.id.as_str()).collect();
        used.sort_unstable();
        assert_eq!(used, case.used, "{}", case.name);
    }
}

#[test]
fn a_new_start_under_an_old_name_is_a_new_server() {
    let mut servers = Servers::default();
    let mut entry = server("s1", MODELS, 1);
    entry.leaving = true;
    servers.upsert(entry.clone(), ms(1));
    entry.leaving = false;
    entry.born_ms += 5_000;
    let changes = servers.upsert(entry, ms(2));
    assert_eq!(changes, [ServerChange::Joined("s1".to_owned())]);
}

#[test]
fn an_address_belongs_to_the_server_that_started_last() {
    let mut servers = Servers::default();
    let old = server("old", MODELS, 1);
    let mut new = server("new", MODELS, 1);
    new.born_ms += 5_000;
    servers.upsert(old, ms(1));
    let changes = servers.upsert(new, ms(2));
    let expected = [
        ServerChange::Removed("old".to_owned()),
        ServerChange::Joined("new".to_owned()),
    ];
    assert_eq!(changes, expected);
}
