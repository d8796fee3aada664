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
use primrose_fleet::FleetConfig;

use crate::build::exchange_digests;
use crate::build::fleet;
use crate::build::ip;
use crate::build::ms;
use crate::build::route;
use crate::build::server;
use crate::build::tables;
use crate::build::target;
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
        /// Rounds of digests from the beginning of the stream until the second build joins, if it does
        /// so later.
        joins_after: Option<u64>,
        /// Rounds of digests after that, in which the gateway that began the stream sends none.
        rounds: u64,
    }
    let case = |name, gateways, joins_after, rounds| Case {
        name,
        gateways,
        joins_after,
        rounds,
    };
    let cases = [
        case("few gateways", 3, None, 1),
        case("few gateways, killed at the join", 3, Some(1), 0),
        case("few gateways, killed after the join", 3, Some(1), 1),
        case("many gateways", 24, None, 3),
        case("many gateways, killed at the join", 24, Some(1), 3),
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
        if case.joins_after.is_none() {
            add(&mut gateways, "v1.1", now);
        }
        for _ in 0..10 {
            exchange_digests(&mut gateways, now);
            now += ROUND;
        }
        let last = gateways.len() - 1;
        assert!(!gateways[last].is_relay(), "{}", case.name);
        gateways[last].record_stream(stream_id("begun"), build("v1"), ms(now));
        for _ in 0..case.joins_after.unwrap_or(1) {
            exchange_digests(&mut gateways, now);
            now += ROUND;
        }
        gateways.pop();
        add(&mut gateways, "v1.1", now);
        for _ in 0..case.rounds {
            exchange_digests(&mut gateways, now);
            now += ROUND;
        }
        for (number, fleet) in gateways.iter().enumerate() {
            let build_found = found(fleet, Some("begun"), ms(now));
            let expected = Found::Recorded("v1");
            assert_eq!(build_found, expected, "{}: gateway {number}", case.name);
        }
    }
}

/// Guards against a backlog that is published oldest first, so that the streams that still run come last.
#[test]
fn newest_streams_are_published_first() {
    let mut gateways: Vec<Fleet> = (1..=2).map(|host| fleet(host, None)).collect();
    let now = ms(ROUND);
    for version in ["v1", "v1.1"] {
        gateways
            .iter_mut()
            .for_each(|fleet| add_server(fleet, version, now));
    }
    let names: Vec<String> = (0..500).map(|number| format!("stream {number}")).collect();
    for name in &names {
        gateways[0].record_stream(stream_id(name), build("v1"), now);
    }
    exchange_digests(&mut gateways, ROUND);
    let newest = names.last().expect("a stream");
    assert_eq!(
        found(&gateways[1], Some(newest), now),
        Found::Recorded("v1")
    );
    for round in 2..=11 {
        exchange_digests(&mut gateways, round * ROUND);
    }
    for name in &names {
        assert_eq!(
            found(&gateways[1], Some(name), now),
            Found::Recorded("v1"),
            "{name}"
        );
    }
}

/// Guards against callers that come back to a gateway that started after their stream began, once the
/// one that began it was killed.
#[test]
fn a_gateway_that_starts_learns_of_running_streams() {
    for count in [3, 24] {
        let mut gateways: Vec<Fleet> = (1..=count).map(|host| fleet(host, None)).collect();
        let servers = |fleet: &mut Fleet, now| {
            add_server(fleet, "v1", now);
            add_server(fleet, "v1.1", now);
        };
        gateways.iter_mut().for_each(|fleet| servers(fleet, ms(1)));
        let mut now = ROUND;
        for _ in 0..10 {
            exchange_digests(&mut gateways, now);
            now += ROUND;
        }
        let last = gateways.len() - 1;
        gateways[last].record_stream(stream_id("begun"), build("v1"), ms(now));
        for _ in 0..5 {
            exchange_digests(&mut gateways, now);
            now += ROUND;
        }
        let relays = gateways.iter().enumerate();
        let relays =
            relays.filter(|(number, fleet)| count == 3 && *number == 0 || fleet.is_relay());
        let relays: Vec<usize> = relays.map(|(number, _)| number).collect();
        for number in relays {
            let mut restarted = restarted_fleet(number as u8 + 1, now);
            servers(&mut restarted, ms(now));
            gateways[number] = restarted;
        }
        for _ in 0..20 {
            exchange_digests(&mut gateways, now);
            now += ROUND;
        }
        for (number, fleet) in gateways.iter_mut().enumerate() {
            fleet.complete_origins();
            let build_found = found(fleet, Some("begun"), ms(now));
            assert_eq!(build_found, Found::Recorded("v1"), "{count}: {number}");
        }
    }
}

/// Returns a gateway that starts anew on a host, with a higher incarnation.
fn restarted_fleet(host: u8, now: u64) -> Fleet {
    let mut fleet = Fleet::new(FleetConfig {
        incarnation: now,
        zone: "a".to_owned(),
        ip: ip(host),
        capacity: 120,
        retry_permille: 200,
        retry_slack: 56,
        cold_bound: None,
        place_by_cost: true,
    });
    fleet.adopt_tables(tables(1, None));
    fleet
}

/// Guards against streams of a route with several pools that no other gateway can place, and against
/// streams that go on at another pool after an edit of the route.
#[test]
fn streams_of_a_split_or_moved_route_stay_at_their_pool() {
    struct Case {
        name: &'static str,
        /// Targets of the route while the stream begins, and later.
        targets: (&'static [&'static str], &'static [&'static str]),
        /// Whether the edit puts the later targets into a route below the first one.
        is_below: bool,
        /// Time from the edit to the caller's request.
        after: Duration,
        /// Pool at which a stream with a record goes on, and one without.
        found: (Option<&'static str>, Option<&'static str>),
    }
    let case = |name, targets, after, found| Case {
        name,
        targets,
        is_below: false,
        after,
        found,
    };
    let (a, b, both): (&[&str], &[&str], &[&str]) = (&[MODELS], &["others"], &[MODELS, "others"]);
    let soon = ms(2_000);
    let cases = [
        case("one pool", (a, a), soon, (Some(MODELS), Some(MODELS))),
        case("split", (both, both), soon, (Some(MODELS), None)),
        case("split later", (a, both), soon, (Some(MODELS), None)),
        case("no longer split", (both, a), soon, (Some(MODELS), None)),
        case(
            "no longer split for long",
            (both, a),
            LONG_AFTER,
            (Some(MODELS), Some(MODELS)),
        ),
        case("moved", (a, b), soon, (Some(MODELS), None)),
        Case {
            is_below: true,
            ..case("a route below it", (a, b), soon, (Some(MODELS), None))
        },
    ];
    for (case, count) in cases.iter().flat_map(|case| [(case, 2), (case, 24)]) {
        let mut gateways: Vec<Fleet> = (1..=count).map(|host| fleet(host, None)).collect();
        let mut now = ROUND;
        let edit = |gateways: &mut [Fleet], generation, targets: &[&str], is_below| {
            let mut edited = tables(generation, None);
            let route = edited.routes.first_mut().expect("a route");
            let mut later = route.clone();
            later.targets = targets.iter().map(|pool| target(pool)).collect();
            if is_below {
                later.prefix.push_str("below/");
                edited.routes.push(later.clone());
            } else {
                *route = later.clone();
            }
            for fleet in gateways {
                fleet.adopt_tables(edited.clone());
            }
            later
        };
        edit(&mut gateways, 2, case.targets.0, false);
        for fleet in &mut gateways {
            fleet.upsert_server(server("s1", MODELS, 1), ms(now));
            fleet.upsert_server(server("s2", "others", 2), ms(now));
            fleet.complete_origins();
        }
        for _ in 0..10 {
            exchange_digests(&mut gateways, now);
            now += ROUND;
        }
        let last = gateways.last_mut().expect("a gateway");
        last.record_stream(stream_id("begun"), build("v1"), ms(now));
        for _ in 0..5 {
            exchange_digests(&mut gateways, now);
            now += ROUND;
        }
        let route = edit(&mut gateways, 3, case.targets.1, case.is_below);
        let later = ms(now) + case.after;
        // The gateway that began the stream is killed at the edit.
        gateways.pop();
        for _ in 0..5 {
            exchange_digests(&mut gateways, now);
            now += ROUND;
        }
        gateways[0].expire(later);
        gateways[0].record_stream(stream_id("begun later"), build("v1"), later);
        let pool = |stream| match gateways[0].stream_origin(Some(stream_id(stream)), &route, later)
        {
            StreamOrigin::Recorded(pool, _) | StreamOrigin::OnlyKnown(pool, _) => Some(pool),
            StreamOrigin::Unknown => None,
        };
        let begun = if case.after == LONG_AFTER {
            "begun later"
        } else {
            "begun"
        };
        let (recorded, unknown) = case.found;
        assert_eq!(
            pool(begun).as_deref(),
            recorded,
            "{}, {count} gateways",
            case.name
        );
        assert_eq!(
            pool("unknown").as_deref(),
            unknown,
            "{}, {count} gateways",
            case.name
        );
        let stored = gateways[0].origin_history(later).streams;
        assert_eq!(
            stored.is_empty(),
            unknown.is_some(),
            "{}: stored",
            case.name
        );
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
