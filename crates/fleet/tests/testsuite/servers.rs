//! Which servers are usable while the platform's list changes, and during and after its outages.

use primrose_core::clock::Mono;
use primrose_fleet::entry::short_start_id;
use primrose_fleet::server::ServerChange;
use primrose_fleet::server::Servers;

use crate::build::ms;
use crate::build::server;
use crate::build::MODELS;

/// One event: a change of the list, a report of another gateway, or the passing of time.
enum Step {
    Added(&'static str),
    Leaving(&'static str),
    Removed(&'static str),
    Listed(Vec<&'static str>),
    OutageEnded,
    ReportedLeaving(&'static str),
    ReportedRemoved(&'static str),
    Expire,
}

struct Case {
    name: &'static str,
    steps: Vec<(u64, Step)>,
    /// Servers that accept new requests at the end.
    usable: Vec<&'static str>,
}

fn number(id: &str) -> u8 {
    id.trim_start_matches('s').parse().expect("a number")
}

fn run_steps(steps: Vec<(u64, Step)>) -> Servers {
    let mut servers = Servers::default();
    for (at, step) in steps {
        apply(&mut servers, step, ms(at));
    }
    servers
}

fn apply(servers: &mut Servers, step: Step, now: Mono) {
    let entry = |id: &str| server(id, MODELS, number(id));
    match step {
        Step::Added(id) => drop(servers.upsert(entry(id), now)),
        Step::Leaving(id) => {
            let mut entry = entry(id);
            entry.leaving = true;
            servers.upsert(entry, now);
        }
        Step::Removed(id) => drop(servers.remove(id, now)),
        Step::Listed(ids) => drop(servers.replace(ids.into_iter().map(entry).collect(), now)),
        Step::OutageEnded => servers.record_outage_end(now),
        Step::ReportedLeaving(id) => {
            drop(servers.merge_leaving(&[short_start_id(&entry(id))], now))
        }
        Step::ReportedRemoved(id) => {
            drop(servers.merge_removed(&[short_start_id(&entry(id))], now))
        }
        Step::Expire => drop(servers.expire(now)),
    }
}

#[test]
fn list_changes_determine_usable_servers() {
    use Step::*;
    let cases = vec![
        Case {
            name: "a removed server is unusable at once",
            steps: vec![(1, Added("s1")), (2, Added("s2")), (3, Removed("s1"))],
            usable: vec!["s2"],
        },
        Case {
            name: "a leaving mark survives an older entry of the same incarnation",
            steps: vec![(1, Added("s1")), (2, Leaving("s1")), (3, Added("s1"))],
            usable: vec![],
        },
        Case {
            name: "a leaving mark from another gateway arrives before the entry",
            steps: vec![(1, ReportedLeaving("s1")), (2, Added("s1"))],
            usable: vec![],
        },
        Case {
            name: "a leaving mark from another gateway applies to a known server",
            steps: vec![(1, Added("s1")), (2, ReportedLeaving("s1"))],
            usable: vec![],
        },
        Case {
            name: "a removal reported by another gateway makes a server unusable",
            steps: vec![
                (1, Added("s1")),
                (2, Added("s2")),
                (3, ReportedRemoved("s1")),
            ],
            usable: vec!["s2"],
        },
        Case {
            name: "a server that is listed again stays usable despite repeated reports",
            steps: vec![
                (1, Added("s1")),
                (3, ReportedRemoved("s1")),
                (4, Added("s1")),
                (5, ReportedRemoved("s1")),
            ],
            usable: vec!["s1"],
        },
        Case {
            name: "a reported removal just after an outage has no effect",
            steps: vec![
                (1, Added("s1")),
                (5_000, OutageEnded),
                (5_001, ReportedRemoved("s1")),
            ],
            usable: vec!["s1"],
        },
        Case {
            name: "a server whose entry expired during an outage stays usable",
            steps: vec![
                (1, Added("s1")),
                (5_000, OutageEnded),
                (5_001, Listed(vec![])),
            ],
            usable: vec!["s1"],
        },
        Case {
            name: "a server that is listed again after an outage does not expire",
            steps: vec![
                (1, Added("s1")),
                (5_000, OutageEnded),
                (5_001, Listed(vec![])),
                (6_000, Added("s1")),
                (8_000, Expire),
            ],
            usable: vec!["s1"],
        },
        Case {
            name: "a server still missing two seconds after an outage is unusable",
            steps: vec![
                (1, Added("s1")),
                (5_000, OutageEnded),
                (5_001, Listed(vec![])),
                (7_000, Expire),
            ],
            usable: vec![],
        },
        Case {
            // Guards against treating a server that leaves 2.4 s after an outage as missing, which
            // kept requests going to it for two more seconds.
            name: "a server removed long after an outage is unusable at once",
            steps: vec![
                (1, Added("s1")),
                (5_000, OutageEnded),
                (7_400, Removed("s1")),
            ],
            usable: vec![],
        },
        Case {
            name: "a server removed soon after an outage is unusable two seconds after it",
            steps: vec![
                (1, Added("s1")),
                (5_000, OutageEnded),
                (6_900, Removed("s1")),
                (7_000, Expire),
            ],
            usable: vec![],
        },
    ];
    for case in cases {
        let servers = run_steps(case.steps);
        let usable = servers.iter().filter(|server| server.accepts_requests());
        let mut usable: Vec<_> = usable.map(|server| server.entry.id.as_str()).collect();
        usable.sort_unstable();
        assert_eq!(usable, case.usable, "{}", case.name);
    }
}

#[test]
fn restart_under_the_same_name_is_a_new_server() {
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
fn address_belongs_to_the_server_that_started_last() {
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

/// Guards against requests to a server that has left, but is in an older copy of the list.
#[test]
fn removed_server_returns_only_with_an_entry_that_it_wrote_later() {
    struct Case {
        name: &'static str,
        seq: u64,
        reported: bool,
        usable: bool,
    }
    let case = |name, seq, reported, usable| Case {
        name,
        seq,
        reported,
        usable,
    };
    let cases = [
        case("an older copy", 6, false, false),
        case("a copy of the last entry", 7, false, false),
        case("a later entry", 8, false, true),
        case("an entry without a number", 0, false, true),
        case(
            "an older copy after another gateway's report",
            6,
            true,
            false,
        ),
        case(
            "a later entry after another gateway's report",
            8,
            true,
            true,
        ),
    ];
    for case in cases {
        let mut servers = Servers::default();
        let mut entry = server("s1", MODELS, 1);
        entry.seq = 7;
        servers.upsert(entry.clone(), ms(1));
        if case.reported {
            servers.merge_removed(&[short_start_id(&entry)], ms(2));
        } else {
            servers.remove("s1", ms(2));
        }
        entry.seq = case.seq;
        servers.replace(vec![entry], ms(3));
        assert_eq!(servers.get("s1").is_some(), case.usable, "{}", case.name);
    }
}
