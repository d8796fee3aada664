//! Which gateways know which build began a stream.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::catalog::RequestKind;
use primrose_fleet::digest::DigestScope;
use primrose_fleet::entry::build_id;
use primrose_fleet::entry::BuildId;
use primrose_fleet::origin::stream_id;
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

fn add_server(fleet: &mut Fleet, version: &str, now: Mono) {
    let mut entry = server(version, MODELS, version.len() as u8);
    entry.version = version.to_owned();
    fleet.upsert_server(entry, now);
}

fn found(fleet: &Fleet, stream: Option<&str>, now: Mono) -> Option<BuildId> {
    let route = route(RequestKind::Stream { resumable: true });
    let origin = fleet.stream_origin(stream.map(stream_id), &route, now);
    origin.map(|(_, build)| build)
}

/// Guards against streams that go on at a build that may not have begun them; also at a gateway that
/// was out of step while servers of another build joined, and knows one build only.
#[test]
fn unknown_stream_goes_on_only_if_one_build_can_have_begun_it() {
    struct Case {
        name: &'static str,
        /// Versions of the servers at the start, and of those that are left when the caller comes.
        versions: (&'static [&'static str], &'static [&'static str]),
        knows_past: bool,
        /// Whether the list of servers was confirmed when the caller comes; else only at the start.
        in_step: bool,
        /// Time from the start to the caller's request.
        after: Duration,
        found: Option<&'static str>,
    }
    let case = |name, versions, knows_past, after, found| Case {
        name,
        versions,
        knows_past,
        in_step: true,
        after,
        found,
    };
    let out_of_step = |name, after| Case {
        in_step: false,
        ..case(name, (&["v1"], &["v1"]), true, after, None)
    };
    let (one, two): (&[&str], &[&str]) = (&["v1"], &["v1", "v1.1"]);
    let soon = ms(2_000);
    let cases = [
        case("one build", (one, one), true, soon, Some("v1")),
        case("started lately", (one, one), false, soon, None),
        case(
            "started long ago",
            (one, one),
            false,
            LONG_AFTER,
            Some("v1"),
        ),
        case("two builds", (two, two), true, soon, None),
        case("one has just left", (two, one), true, soon, None),
        case(
            "one left long ago",
            (two, one),
            true,
            LONG_AFTER,
            Some("v1"),
        ),
        case("no server", (&[], &[]), true, soon, None),
        out_of_step("cut off for three seconds", ms(3_000)),
        out_of_step("cut off for long", LONG_AFTER),
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
        fleet.confirm_list(ms(1));
        let now = ms(1) + case.after;
        fleet.expire(now);
        if case.in_step {
            fleet.confirm_list(now);
        }
        let expected = case.found.map(build);
        for stream in [None, Some("unknown")] {
            assert_eq!(found(&fleet, stream, now), expected, "{}", case.name);
        }
    }
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
            let expected = Some(build("v1.1"));
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
    after.confirm_list(now);
    assert_eq!(found(&after, Some("begun"), now), Some(build("v1.1")));
    assert_eq!(found(&after, Some("unknown"), now), None);
}

/// Guards against a gateway that takes digests which waited while it stood still for news.
#[test]
fn digests_that_waited_do_not_confirm_the_list() {
    let start = ms(1_000);
    let mut relay = fleet(2, None);
    relay.advance_list_version(5);
    let mut gateway = fleet(1, None);
    add_server(&mut gateway, "v1", start);
    gateway.advance_list_version(5);
    gateway.expire(start - ms(500));
    gateway.expire(start);
    gateway.complete_origins();
    let mut hear = |gateway: &mut Fleet, now: Mono| {
        let mut view = relay.digest(now);
        view.relay.scope = DigestScope::Fleet;
        gateway.merge(view, ip(2), now);
    };
    hear(&mut gateway, start);
    let known = Some(build("v1"));
    assert_eq!(found(&gateway, Some("unknown"), start), known);
    let woken = start + ms(4_000);
    hear(&mut gateway, woken);
    assert_eq!(found(&gateway, Some("unknown"), woken), None);
    gateway.expire(woken);
    hear(&mut gateway, woken);
    assert_eq!(found(&gateway, Some("unknown"), woken), None);
    let caught_up = woken + ms(600);
    gateway.expire(caught_up);
    hear(&mut gateway, caught_up);
    assert_eq!(found(&gateway, Some("unknown"), caught_up), known);
}
