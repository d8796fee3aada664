//! Which gateways know which build began a stream.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::catalog::RequestKind;
use primrose_fleet::digest::DigestScope;
use primrose_fleet::entry::build_id;
use primrose_fleet::entry::BuildId;
use primrose_fleet::entry::ServerEntry;
use primrose_fleet::origin::stream_id;
use primrose_fleet::origin::StreamOrigin;
use primrose_fleet::Fleet;

use crate::build::exchange_digests;
use crate::build::fleet;
use crate::build::ip;
use crate::build::ms;
use crate::build::route;
use crate::build::server;
use crate::build::MODELS;

/// Interval between two rounds of digests, in milliseconds.
const ROUND: u64 = 200;
/// Time after which no caller takes a stream up any more.
const LONG_AFTER: Duration = Duration::from_secs(31);

fn build(version: &str) -> BuildId {
    build_id(MODELS, version)
}

fn entry(version: &str) -> ServerEntry {
    let mut entry = server(version, MODELS, version.len() as u8);
    entry.version = version.to_owned();
    entry
}

fn add_server(fleet: &mut Fleet, version: &str, now: Mono) {
    fleet.upsert_server(entry(version), now);
}

/// Where a stream goes on, by versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    Recorded(&'static str),
    OnlyKnown(&'static str),
    Unknown,
}

fn found(fleet: &Fleet, stream: Option<&str>, now: Mono) -> Found {
    let route = route(RequestKind::Stream { resumable: true });
    let version = |id: BuildId| {
        let versions = ["v1", "v1.1"];
        let known = versions.into_iter().find(|version| build(version) == id);
        known.expect("a build of this test")
    };
    match fleet.stream_origin(stream.map(stream_id), &route, now) {
        StreamOrigin::Recorded(_, build) => Found::Recorded(version(build)),
        StreamOrigin::OnlyKnown(_, build) => Found::OnlyKnown(version(build)),
        StreamOrigin::Unknown => Found::Unknown,
    }
}

/// Guards against streams that go on at a build that may not have begun them. A single known build is
/// never enough, since the gateway may not have heard of another one yet.
#[test]
fn unknown_stream_goes_on_only_if_one_build_can_have_begun_it() {
    struct Case {
        name: &'static str,
        /// Versions of the servers at the start, and of those that are left when the caller comes.
        versions: (&'static [&'static str], &'static [&'static str]),
        knows_past: bool,
        /// Time from the start to the caller's request.
        after: Duration,
        /// Version of a server that a check of the platform's list finds then.
        joined: Option<&'static str>,
        found: Found,
    }
    let case = |name, versions, knows_past, after, found| Case {
        name,
        versions,
        knows_past,
        after,
        joined: None,
        found,
    };
    let checked = |name, joined, found| Case {
        joined: Some(joined),
        ..case(name, (&["v1"], &["v1"]), true, LONG_AFTER, found)
    };
    let (one, two): (&[&str], &[&str]) = (&["v1"], &["v1", "v1.1"]);
    let soon = ms(2_000);
    let only = Found::OnlyKnown("v1");
    let cases = [
        case("one build", (one, one), true, soon, only),
        case("started lately", (one, one), false, soon, Found::Unknown),
        case("started long ago", (one, one), false, LONG_AFTER, only),
        case("two builds", (two, two), true, soon, Found::Unknown),
        case("one has just left", (two, one), true, soon, Found::Unknown),
        case("one left long ago", (two, one), true, LONG_AFTER, only),
        case("no server", (&[], &[]), true, soon, Found::Unknown),
        checked("another build has joined", "v1.1", Found::Unknown),
        checked("another server of the build has joined", "v1", only),
    ];
    for case in cases {
        let mut fleet = fleet(1, None);
        let (before, left) = case.versions;
        for version in before {
            add_server(&mut fleet, version, ms(1));
        }
        fleet.expire(ms(1));
        for version in before.iter().filter(|version| !left.contains(version)) {
            fleet.remove_server(version, ms(2));
        }
        if case.knows_past {
            fleet.complete_origins();
        }
        let now = ms(1) + case.after;
        fleet.expire(now);
        if let Some(version) = case.joined {
            fleet.record_listed(&entry(version), now);
        }
        for stream in [None, Some("unknown")] {
            assert_eq!(found(&fleet, stream, now), case.found, "{}", case.name);
        }
    }
}

/// Guards against a build that is forgotten since its server joined and was removed between two looks
/// at the servers.
#[test]
fn build_of_a_server_that_is_removed_at_once_is_remembered() {
    let now = ms(1_000);
    let mut fleet = fleet(1, None);
    add_server(&mut fleet, "v1", now);
    fleet.complete_origins();
    add_server(&mut fleet, "v1.1", now);
    fleet.remove_server("v1.1", now);
    fleet.expire(now);
    assert_eq!(found(&fleet, Some("unknown"), now), Found::Unknown);
}

/// Guards against callers that come back to another gateway than the one that was killed.
#[test]
fn other_gateways_learn_where_streams_began() {
    struct Case {
        name: &'static str,
        gateways: u8,
        /// Rounds of digests after which all know a stream.
        rounds: u64,
        /// Whether the second build starts after the stream.
        mixed_later: bool,
    }
    let case = |name, gateways, rounds, mixed_later| Case {
        name,
        gateways,
        rounds,
        mixed_later,
    };
    let cases = [
        case("few gateways", 3, 1, false),
        case("few gateways, second build starts later", 3, 1, true),
        case("many gateways with relays", 24, 3, false),
    ];
    for case in cases {
        let mut gateways: Vec<Fleet> = (1..=case.gateways).map(|host| fleet(host, None)).collect();
        let mut now = ROUND;
        let add = |gateways: &mut [Fleet], version, now| {
            gateways
                .iter_mut()
                .for_each(|fleet| add_server(fleet, version, ms(now)));
        };
        add(&mut gateways, "v1", now);
        if !case.mixed_later {
            add(&mut gateways, "v1.1", now);
        }
        for _ in 0..10 {
            exchange_digests(&mut gateways, now);
            now += ROUND;
        }
        let begins = gateways.len() / 2;
        gateways[begins].record_stream(stream_id("begun"), build("v1.1"), ms(now));
        if case.mixed_later {
            exchange_digests(&mut gateways, now);
            add(&mut gateways, "v1.1", now);
        }
        for _ in 0..case.rounds {
            now += ROUND;
            exchange_digests(&mut gateways, now);
        }
        for (number, fleet) in gateways.iter().enumerate() {
            let build_found = found(fleet, Some("begun"), ms(now));
            let expected = Found::Recorded("v1.1");
            assert_eq!(build_found, expected, "{}: gateway {number}", case.name);
        }
    }
}

/// Guards against streams that cannot go on after all gateways were killed.
#[test]
fn stored_history_makes_up_for_a_restart() {
    let now = ms(1_000);
    let mut before = fleet(1, None);
    for version in ["v1", "v1.1"] {
        add_server(&mut before, version, now);
    }
    before.expire(now);
    before.record_stream(stream_id("begun"), build("v1.1"), now);
    let history = before.origin_history(now);
    let mut after = fleet(1, None);
    // The servers of v1 have left meanwhile.
    add_server(&mut after, "v1.1", now);
    after.expire(now);
    after.restore_origins(&history, now);
    after.complete_origins();
    assert_eq!(found(&after, Some("begun"), now), Found::Recorded("v1.1"));
    assert_eq!(found(&after, Some("unknown"), now), Found::Unknown);
}

/// Guards against a check that reads the list only from a version on up to which this gateway does not
/// know all servers.
#[test]
fn joins_are_known_as_far_as_a_relay_reads_without_a_later_change() {
    struct Case {
        name: &'static str,
        scope: DigestScope,
        is_unreadable: bool,
        /// Versions that the other gateway has read, and of the last change of servers there.
        versions: (u64, u64),
        known: u64,
    }
    let case = |name, scope, is_unreadable, versions, known| Case {
        name,
        scope,
        is_unreadable,
        versions,
        known,
    };
    let (view, own) = (DigestScope::Fleet, DigestScope::Gateway);
    let cases = [
        case("no change since", view, false, (9, 5), 9),
        case("a later change", view, false, (9, 6), 5),
        case("the relay cannot read the list", view, true, (9, 5), 5),
        case("an older list", view, false, (4, 3), 5),
        case("not a relay", own, false, (9, 5), 5),
    ];
    for case in cases {
        let mut relay = fleet(2, None);
        let (list, members) = case.versions;
        relay.advance_list_version(list);
        relay.record_membership_change(members);
        relay.set_list_unreadable_since(case.is_unreadable.then_some(ms(1)));
        let mut gateway = fleet(1, None);
        gateway.advance_list_version(5);
        let mut digest = relay.digest(ms(2));
        digest.relay.scope = case.scope;
        gateway.merge(digest, ip(2), ms(2));
        assert_eq!(gateway.joins_version(), case.known, "{}", case.name);
    }
}
