//! How the gateways of a zone divide the limits of its servers in a large fleet.

use std::collections::HashMap;

use primrose_fleet::limit::part_of_limit;
use primrose_fleet::limit::weights;
use primrose_fleet::limit::Sharer;
use primrose_fleet::AttemptOutcome;
use primrose_fleet::Decision;
use primrose_fleet::Fleet;
use primrose_fleet::FleetConfig;
use primrose_fleet::Placement;
use primrose_fleet::PlacementRequest;

use crate::build::exchange_digests;
use crate::build::ip;
use crate::build::ms;
use crate::build::placement_request;
use crate::build::prompt;
use crate::build::server;
use crate::build::tables;
use crate::build::MODELS;

const GATEWAYS: usize = 24;
const ZONES: usize = 3;
const SERVERS: usize = 18;
/// Tokens a second that accounts share; more than they ask for.
const TOKEN_RATE: u64 = 4_300_000;
/// Gateway with much of the demand, and the one to which that moves.
const BUSY: usize = 4;
const NEXT_BUSY: usize = 10;
/// Time from which on all servers name limits, time at which the demand moves or the day ends, and the end
/// of a day on which the demand moves.
const FROM: u64 = 5_000;
const MOVE: u64 = 13_000;
const LONG_DAY: u64 = 20_000;
/// Time after the first limit, or after a move, from which on requests are counted.
const STABLE: u64 = 3_000;
/// Span in which the requests at a server are bounded.
const SPAN: u64 = 4_000;
const STEP: u64 = 20;
const DIGEST_INTERVAL: u64 = 200;
/// Least number of requests at a gateway by which it is judged alone.
const MIN_REQUESTS: usize = 5;
/// Duration of a run.
const RUN: u64 = 200;

struct Case {
    name: &'static str,
    /// Limit of each server, in requests a second.
    limit: f64,
    /// Requests a second at the busy gateway, and at each of the others.
    busy: f64,
    other: f64,
    /// Least part of the requests at the busy gateway that is sent, and of those at the others.
    least: (f64, f64),
    /// Whether the demand of the busy gateway moves to another one of its zone.
    moves: bool,
}

struct Run {
    gateway: usize,
    request: PlacementRequest,
    placement: Placement,
    end: u64,
}

impl Case {
    fn end(&self) -> u64 {
        if self.moves {
            LONG_DAY
        } else {
            MOVE
        }
    }
}

/// Requests of a day: times and gateways of those that arrived, and the same with servers of those that
/// were sent.
#[derive(Default)]
struct Day {
    asked: Vec<(u64, usize)>,
    sent: Vec<(u64, usize, String)>,
}

impl Day {
    /// Returns the requests of some gateways in a time, and those that were sent.
    fn counts(&self, gateways: &[usize], from: u64, until: u64) -> (usize, usize) {
        let counts = |at: u64, by: usize| gateways.contains(&by) && (from..until).contains(&at);
        let asked = self.asked.iter().filter(|(at, by)| counts(*at, *by));
        let sent = self.sent.iter().filter(|(at, by, _)| counts(*at, *by));
        (asked.count(), sent.count())
    }

    /// Returns the most requests that one server got in a span.
    fn most_in_span(&self) -> usize {
        let mut by_server: HashMap<&str, Vec<u64>> = HashMap::new();
        for (at, _, server) in self.sent.iter().filter(|(at, ..)| *at >= FROM + STABLE) {
            by_server.entry(server).or_default().push(*at);
        }
        let in_span = |times: &[u64], from: u64| {
            let span = from..from + SPAN;
            times.iter().filter(|at| span.contains(at)).count()
        };
        let counts = by_server.values();
        let counts = counts.flat_map(|times| times.iter().map(move |from| in_span(times, *from)));
        counts.max().unwrap_or_default()
    }
}

fn gateway(number: usize) -> Fleet {
    let host = number as u8 + 1;
    let mut fleet = Fleet::new(FleetConfig {
        incarnation: u64::from(host),
        zone: format!("zone-{}", number % ZONES),
        ip: ip(host),
        capacity: 120,
        retry_permille: 200,
        retry_slack: 56,
        cold_bound: None,
        place_by_cost: true,
    });
    fleet.adopt_tables(tables(1, Some(TOKEN_RATE)));
    for number in 0..SERVERS {
        let mut entry = server(&format!("s{number}"), MODELS, 100 + number as u8);
        entry.zone = format!("zone-{}", number % ZONES);
        fleet.upsert_server(entry, ms(1));
    }
    fleet
}

fn play(case: &Case) -> Day {
    let mut gateways: Vec<Fleet> = (0..GATEWAYS).map(gateway).collect();
    let mut day = Day::default();
    let mut runs: Vec<Run> = Vec::new();
    // Requests that are due at each gateway; the first ones are spread over a second.
    let mut due: Vec<f64> = (0..GATEWAYS)
        .map(|number| number as f64 / GATEWAYS as f64)
        .collect();
    for now in (STEP..case.end()).step_by(STEP as usize) {
        let (ended, running): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|run| now >= run.end);
        runs = running;
        for mut run in ended {
            let fleet = &mut gateways[run.gateway];
            fleet.record_limit(&run.placement, (now >= FROM).then_some(case.limit), ms(now));
            fleet.record_events(&run.request, &mut run.placement, ms(now));
            fleet.finish_attempt(&run.request, &run.placement, AttemptOutcome::Good, ms(now));
        }
        let busy = if case.moves && now >= MOVE {
            NEXT_BUSY
        } else {
            BUSY
        };
        for (number, fleet) in gateways.iter_mut().enumerate() {
            let rate = if number == busy {
                case.busy
            } else {
                case.other
            };
            due[number] += rate * STEP as f64 / 1_000.0;
            if due[number] < 1.0 {
                continue;
            }
            due[number] -= 1.0;
            day.asked.push((now, number));
            let shared = now * 31 + number as u64;
            let request = placement_request(&format!("a{number}"), prompt(shared), ms(now));
            if let Decision::Send(placement) = fleet.decide(&request, ms(now)) {
                day.sent.push((now, number, placement.server.clone()));
                runs.push(Run {
                    gateway: number,
                    request,
                    placement,
                    end: now + RUN,
                });
            }
        }
        if now % DIGEST_INTERVAL == 0 {
            exchange_digests(&mut gateways, now);
        }
    }
    day
}

fn cases() -> Vec<Case> {
    let case = |name, limit, (busy, other), least| Case {
        name,
        limit,
        busy,
        other,
        least,
        moves: false,
    };
    vec![
        case("small limit", 0.4, (1.6, 0.0), (0.7, 0.0)),
        case("limit", 2.5, (10.0, 0.5), (0.7, 0.5)),
        case("large limit", 20.0, (80.0, 4.0), (0.7, 0.5)),
        case("even demand", 2.5, (1.5, 1.5), (0.5, 0.5)),
        case("too much", 2.5, (30.0, 3.0), (0.15, 0.15)),
        case("too much, small limit", 0.4, (5.0, 0.5), (0.1, 0.0)),
        Case {
            moves: true,
            ..case("the demand moves", 2.5, (10.0, 0.5), (0.7, 0.5))
        },
    ]
}

/// Returns what was wrong on the day of a case.
fn faults(case: &Case) -> Vec<String> {
    let mut faults = Vec::new();
    let day = play(case);
    let allowed = 1.5 * case.limit * SPAN as f64 / 1_000.0 + 5.0;
    let most = day.most_in_span();
    if most as f64 > allowed {
        let name = case.name;
        faults.push(format!(
            "{name}: {most} requests in 4 s, {allowed} are allowed"
        ));
    }
    let (busy, other) = case.least;
    let mut expected = vec![(vec![BUSY], FROM + STABLE, MOVE, busy)];
    if case.moves {
        expected.push((vec![NEXT_BUSY], MOVE + STABLE, LONG_DAY, busy));
    }
    let others = (0..GATEWAYS).filter(|number| ![BUSY, NEXT_BUSY].contains(number));
    let others: Vec<usize> = others.collect();
    let alone = others.iter().map(|number| vec![*number]);
    for group in alone.chain([others.clone()]) {
        expected.push((group, FROM + STABLE, case.end(), other));
    }
    for (group, from, until, least) in expected {
        let (asked, sent) = day.counts(&group, from, until);
        if asked >= MIN_REQUESTS && (sent as f64) < least * asked as f64 {
            let name = case.name;
            faults.push(format!(
                "{name}: {sent} of {asked} requests at gateways {group:?} were sent"
            ));
        }
    }
    faults
}

/// Guards against limits of which a gateway with much of a zone's demand gets as little as the others.
#[test]
fn gateways_get_parts_of_limits_that_fit_their_demand() {
    let cases = cases();
    let faults: Vec<String> = cases.iter().flat_map(faults).collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

struct PartsCase {
    name: &'static str,
    levels: [u8; 6],
    sharers: usize,
    /// Least part of all servers' limits that the first gateway has, and most.
    first: (f64, f64),
}

const PARTS_CASES: [PartsCase; 4] = [
    PartsCase {
        name: "same demand, all share",
        levels: [20; 6],
        sharers: 9,
        first: (0.166, 0.167),
    },
    PartsCase {
        name: "same demand, some share",
        levels: [20; 6],
        sharers: 3,
        first: (0.12, 0.21),
    },
    PartsCase {
        name: "four times the demand, some share",
        levels: [24, 20, 20, 20, 20, 20],
        sharers: 3,
        first: (0.3, 0.45),
    },
    // A gateway of an older build does not publish its demand.
    PartsCase {
        name: "an unknown demand",
        levels: [40, 20, 20, 0, 20, 20],
        sharers: 3,
        first: (0.12, 0.21),
    },
];

/// Guards against parts that together are more than the limit, and against gateways without any part.
#[test]
fn parts_of_a_limit_are_all_of_it_and_fit_the_weights() {
    const SERVERS: u32 = 400;
    for case in &PARTS_CASES {
        let sharers = weights(&case.levels).into_iter().zip(1_000..);
        let sharers: Vec<Sharer> = sharers.map(|(weight, id)| Sharer { id, weight }).collect();
        let mut sums = vec![0.0; sharers.len()];
        for server in 0..SERVERS {
            let part = |own: &Sharer| part_of_limit(server, &sharers, own.id, case.sharers);
            let parts: Vec<f64> = sharers.iter().map(part).collect();
            let total: f64 = parts.iter().sum();
            assert!((total - 1.0).abs() < 1e-9, "{}: {total}", case.name);
            let drawn = parts.iter().filter(|part| **part > 0.0).count();
            assert_eq!(drawn, case.sharers.min(sharers.len()), "{}", case.name);
            for (sum, part) in sums.iter_mut().zip(parts) {
                *sum += part / f64::from(SERVERS);
            }
        }
        let (least, most) = case.first;
        let first = sums[0];
        assert!(first >= least && first <= most, "{}: {first}", case.name);
        assert!(sums.iter().all(|part| *part > 0.02), "{}", case.name);
    }
}

/// Guards against limits that nobody uses for the time that one request takes at a part of the rate.
#[test]
fn limits_are_used_soon_after_they_are_named() {
    let cases = cases();
    let case = cases.iter().find(|case| case.name == "even demand");
    let day = play(case.expect("the case"));
    let all: Vec<usize> = (0..GATEWAYS).collect();
    let (asked, sent) = day.counts(&all, FROM + 1_000, FROM + STABLE);
    assert!(sent * 2 >= asked, "{sent} of {asked} requests were sent");
}
