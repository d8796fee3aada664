//! The limits that servers name hold over all gateways, and servers get most of what they allow.

use primrose_fleet::AttemptOutcome;
use primrose_fleet::Decision;
use primrose_fleet::Fleet;
use primrose_fleet::Placement;
use primrose_fleet::PlacementRequest;
use primrose_fleet::RefusalReason;

use crate::build::exchange_digests;
use crate::build::fleet_with_servers;
use crate::build::ms;
use crate::build::placement_request;
use crate::build::prompt;

/// Servers that name a limit, and servers that name none.
const LIMITED: u8 = 4;
const FREE: u8 = 2;
/// Time at which servers begin to name limits, and at which they end.
const FROM: u64 = 5_000;
const UNTIL: u64 = 20_000;
/// Length of the day.
const DAY: u64 = 26_000;
/// Time from the first naming of a limit until it has to hold.
const STABLE: u64 = 3_000;
/// Span in which requests are counted.
const SPAN: u64 = 4_000;
/// Step of the simulation; each gateway gets a request in each second one.
const STEP: u64 = 50;
/// Duration of a run.
const RUN: u64 = 200;

struct Case {
    name: &'static str,
    gateways: u8,
    rate: f64,
    /// Gateway that is replaced by a new one at 10 s, if any.
    restarted: Option<usize>,
}

struct Run {
    gateway: usize,
    request: PlacementRequest,
    placement: Placement,
    end: u64,
}

/// What the servers got, and how many requests were refused for limits.
struct Day {
    arrivals: Vec<(u64, String)>,
    refused: Vec<u64>,
}

fn is_limited(server: &str) -> bool {
    let number: u8 = server[1..].parse().expect("a number");
    number <= LIMITED
}

fn play(case: &Case, free: u8) -> Day {
    let start = |host| fleet_with_servers(host, LIMITED + free, None);
    let mut gateways: Vec<Fleet> = (1..=case.gateways).map(start).collect();
    let mut day = Day {
        arrivals: Vec::new(),
        refused: Vec::new(),
    };
    let mut runs: Vec<Run> = Vec::new();
    for now in (STEP..DAY).step_by(STEP as usize) {
        if let Some(index) = case.restarted.filter(|_| now == 10_000) {
            gateways[index] = start(index as u8 + 1);
            runs.retain(|run| run.gateway != index);
        }
        let (ended, running): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|run| now >= run.end);
        runs = running;
        for run in ended {
            let names_limit = (FROM..UNTIL).contains(&now) && is_limited(&run.placement.server);
            let fleet = &mut gateways[run.gateway];
            fleet.record_limit(&run.placement, names_limit.then_some(case.rate), ms(now));
            fleet.finish_attempt(&run.request, &run.placement, AttemptOutcome::Good, ms(now));
        }
        for (index, fleet) in gateways.iter_mut().enumerate() {
            if (now / STEP + index as u64) % 2 == 0 {
                continue;
            }
            let request = placement_request("any", prompt(now * 7 + index as u64), ms(now));
            match fleet.decide(&request, ms(now)) {
                Decision::Send(placement) => {
                    day.arrivals.push((now, placement.server.clone()));
                    runs.push(Run {
                        gateway: index,
                        request,
                        placement,
                        end: now + RUN,
                    });
                }
                Decision::Refuse(refusal) => {
                    if refusal.reason == RefusalReason::ServerLimits {
                        assert!(!refusal.retry_after.is_zero());
                        day.refused.push(now);
                    }
                }
            }
        }
        if now % 100 == 0 {
            exchange_digests(&mut gateways, now);
        }
    }
    day
}

/// Returns the most requests that one limited server got in a span.
fn most_in_span(day: &Day) -> usize {
    let mut most = 0;
    for number in 1..=LIMITED {
        let server = format!("s{number}");
        let times = day.arrivals.iter().filter(|(_, id)| *id == server);
        let times: Vec<u64> = times.map(|(at, _)| *at).collect();
        for from in times.iter().filter(|at| **at >= FROM + STABLE) {
            let span = *from..(from + SPAN).min(UNTIL);
            most = most.max(times.iter().filter(|at| span.contains(at)).count());
        }
    }
    most
}

fn cases() -> Vec<Case> {
    let case = |name, gateways, rate| Case {
        name,
        gateways,
        rate,
        restarted: None,
    };
    vec![
        case("one gateway", 1, 2.5),
        case("small fleet", 9, 2.5),
        case("small fleet, small limit", 9, 0.4),
        case("small fleet, none allowed", 9, 0.0),
        case("small fleet, large limit", 9, 20.0),
        Case {
            restarted: Some(3),
            ..case("small fleet, a gateway restarts", 9, 2.5)
        },
        case("large fleet", 24, 2.5),
        case("large fleet, small limit", 24, 0.4),
        case("large fleet, large limit", 24, 20.0),
    ]
}

#[test]
fn servers_get_what_their_limits_allow_and_not_more() {
    for case in cases() {
        let day = play(&case, FREE);
        let span_s = SPAN as f64 / 1_000.0;
        let allowed = 1.5 * case.rate * span_s + 5.0;
        let most = most_in_span(&day);
        assert!(
            most as f64 <= allowed,
            "{}: {most} requests in 4 s, {allowed} are allowed",
            case.name
        );
        let limited = |at: u64| (FROM + STABLE..UNTIL).contains(&at);
        let got = day.arrivals.iter();
        let got = got
            .filter(|(at, id)| limited(*at) && is_limited(id))
            .count();
        let span_s = (UNTIL - FROM - STABLE) as f64 / 1_000.0;
        let limits = case.rate * span_s * f64::from(LIMITED);
        let offered = f64::from(case.gateways) * 10.0 * span_s;
        let least = limits.min(offered / 3.0) * 0.5;
        assert!(
            got as f64 >= least,
            "{}: {got} requests, of {limits} that the limits allow",
            case.name
        );
        assert!(
            day.refused.is_empty(),
            "{}: the others take the rest",
            case.name
        );
    }
}

#[test]
fn requests_beyond_all_limits_are_refused_until_the_limits_end() {
    // One gateway alone gets no more than the limits allow.
    let cases = cases().into_iter();
    for case in cases.filter(|case| case.rate == 2.5 && case.gateways > 1) {
        let day = play(&case, 0);
        assert!(most_in_span(&day) <= 20, "{}", case.name);
        let during = day.refused.iter().filter(|at| **at < UNTIL).count();
        assert!(during > 0, "{}: nothing was refused", case.name);
        let late = UNTIL + STABLE;
        let after = day.refused.iter().filter(|at| **at >= late).count();
        assert_eq!(
            after, 0,
            "{}: refused after the limits had ended",
            case.name
        );
    }
}

/// Guards accounts with little demand against one that asks for most of what limits allow.
#[test]
fn account_below_its_share_comes_first_when_limits_are_used_up() {
    let case = Case {
        name: "one gateway",
        gateways: 1,
        rate: 2.5,
        restarted: None,
    };
    let mut fleet = fleet_with_servers(1, LIMITED, None);
    let mut runs: Vec<Run> = Vec::new();
    let (mut asked, mut sent) = (0, 0);
    for now in (STEP..DAY).step_by(STEP as usize) {
        fleet.expire(ms(now));
        let (ended, running): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|run| now >= run.end);
        runs = running;
        for run in ended {
            fleet.record_limit(&run.placement, Some(case.rate), ms(now));
            fleet.finish_attempt(&run.request, &run.placement, AttemptOutcome::Good, ms(now));
        }
        // Forty requests a second of one account, two of the other.
        let accounts: &[&str] = if now % 500 == 0 {
            &["large", "large", "small"]
        } else {
            &["large", "large"]
        };
        for (index, account) in accounts.iter().enumerate() {
            let request = placement_request(account, prompt(now * 7 + index as u64), ms(now));
            let counts = *account == "small" && now >= STABLE;
            asked += usize::from(counts);
            if let Decision::Send(placement) = fleet.decide(&request, ms(now)) {
                sent += usize::from(counts);
                runs.push(Run {
                    gateway: 0,
                    request,
                    placement,
                    end: now + RUN,
                });
            }
        }
    }
    assert!(sent * 2 >= asked, "{sent} of {asked} requests were sent");
}
