//! How long work takes on a server at a moment, as servers say it in their answers.

use primrose_fleet::cost::WorkTime;
use primrose_fleet::place::share_key;
use primrose_fleet::place::Prompt;
use primrose_fleet::speed::SpeedSums;
use primrose_fleet::AttemptOutcome;
use primrose_fleet::Decision;
use primrose_fleet::Fleet;

use crate::build::exchange_digests;
use crate::build::fleet_with_servers;
use crate::build::ms;
use crate::build::placement_request;
use crate::build::prompt;
use crate::load_day::play;
use crate::load_day::ByTime;
use crate::load_day::Site;

fn usual(_: usize, _: u64) -> f64 {
    1.0
}

fn two_speeds(server: usize, _: u64) -> f64 {
    if server % 3 == 0 {
        1.7
    } else {
        0.7
    }
}

/// Guards against decisions that change for pools whose servers send no fourth figure. The numbers are
/// those of the code before it was read.
#[test]
fn decisions_are_the_same_while_no_server_sends_the_figure() {
    struct Case {
        name: &'static str,
        site: Site,
        choices: u64,
    }
    let site = |speed, requests: u64| Site {
        gateways: 3,
        servers: 9,
        rate: requests * 50,
        prefixes: 40,
        end: 6_000,
        speed,
        figure: None,
        token_rate: None,
        percent_b: 0,
    };
    let cases = [
        Case {
            name: "servers alike",
            site: site(usual, 3),
            choices: 7_882_408_549_911_834_047,
        },
        Case {
            name: "two speeds",
            site: site(two_speeds, 4),
            choices: 6_700_775_680_219_653_721,
        },
        Case {
            name: "more than servers can do",
            site: site(two_speeds, 8),
            choices: 9_658_236_204_273_728_308,
        },
    ];
    for case in cases {
        let day = play(&case.site);
        let servers = day
            .sent
            .iter()
            .map(|(at, server)| at * 100 + *server as u64);
        let choices = share_key(servers.chain([day.refused]));
        assert_eq!(choices, case.choices, "{}", case.name);
    }
}

/// Guards against reports that are used too long or count too much, and against numbers that a broken
/// server may send.
#[test]
fn report_is_bounded_and_decays() {
    struct Case {
        name: &'static str,
        factor: f64,
        age: u64,
        expected: (f64, f64),
    }
    let case = |name, factor, age, expected| Case {
        name,
        factor,
        age,
        expected,
    };
    let cases = [
        case("usual", 1.0, 0, (1.0, 1.0)),
        case("slowed", 2.5, 0, (1.9, 2.0)),
        case("decayed to a third", 2.5, 600, (1.3, 1.4)),
        case("almost too old", 2.5, 990, (1.05, 1.2)),
        case("too old", 2.5, 1_000, (1.0, 1.0)),
        case("idle", 0.4, 0, (0.75, 0.75)),
        case("nothing", 0.0, 0, (0.75, 0.75)),
        case("huge", 1e300, 0, (2.0, 2.0)),
    ];
    for case in cases {
        let mut work_time = WorkTime::default();
        work_time.record_own(case.factor, ms(5_000));
        let factor = work_time.factor(ms(5_000 + case.age));
        let (least, most) = case.expected;
        assert!(least <= factor && factor <= most, "{}: {factor}", case.name);
    }
}

/// Guards against a server whose reports always are above the usual time, and which counts as slow
/// twice: by its speed and by its reports.
#[test]
fn constant_reports_are_left_to_the_speed() {
    let mut work_time = WorkTime::default();
    for round in 0..200 {
        work_time.record(1.43, ms(round * 100));
    }
    let factor = work_time.factor(ms(20_000));
    assert!((0.98..1.02).contains(&factor), "{factor}");
    work_time.record_own(1.43 * 2.5, ms(20_010));
    let factor = work_time.factor(ms(20_010));
    assert!(factor > 1.9, "{factor}");
}

/// Guards against gateways that place by cost before a server has sent the figure, that do not learn it
/// from one another, or that keep it alive by telling each other when no server sends it any more.
#[test]
fn part_is_used_while_servers_send_the_figure() {
    let mut gateways: Vec<Fleet> = (1..=3)
        .map(|host| fleet_with_servers(host, 3, None))
        .collect();
    let aware = |gateways: &[Fleet]| -> Vec<usize> {
        gateways.iter().map(Fleet::cost_aware_pools).collect()
    };
    let request = placement_request("a", prompt(1), ms(10));
    let Decision::Send(mut placement) = gateways[0].decide(&request, ms(10)) else {
        panic!("the request was refused");
    };
    gateways[0].record_events(&request, &mut placement, ms(90));
    for invalid in [None, Some(f64::NAN), Some(f64::INFINITY), Some(-1.0)] {
        gateways[0].record_work_time(&placement, invalid, ms(100));
    }
    exchange_digests(&mut gateways, 200);
    assert_eq!(aware(&gateways), [0, 0, 0]);
    let digest = gateways[0].digest(ms(300));
    assert!(digest.cost_pools.is_empty());
    assert!(digest
        .servers
        .iter()
        .all(|row| row.speed == SpeedSums::default() && row.report.is_none()));
    assert!(gateways[0].record_work_time(&placement, Some(250.0), ms(400)));
    assert!(!gateways[0].record_work_time(&placement, Some(250.0), ms(400)));
    exchange_digests(&mut gateways, 500);
    assert_eq!(aware(&gateways), [1, 1, 1]);
    for now in (600..40_000).step_by(100) {
        exchange_digests(&mut gateways, now);
    }
    assert_eq!(aware(&gateways), [0, 0, 0]);
}

/// Guards against reports that only the gateway uses that got them.
#[test]
fn report_to_one_gateway_counts_at_the_others() {
    let mut gateways: Vec<Fleet> = (1..=2)
        .map(|host| fleet_with_servers(host, 1, None))
        .collect();
    let request = placement_request("a", prompt(1), ms(10));
    let Decision::Send(placement) = gateways[0].decide(&request, ms(10)) else {
        panic!("the request was refused");
    };
    let mut predict = |percent: f64, now: u64| {
        gateways[0].record_work_time(&placement, Some(percent), ms(now));
        exchange_digests(&mut gateways, now + 10);
        let request = placement_request("b", prompt(1), ms(now + 20));
        let Decision::Send(sent) = gateways[1].decide(&request, ms(now + 20)) else {
            panic!("the request was refused");
        };
        gateways[1].finish_attempt(&request, &sent, AttemptOutcome::GivenUp, ms(now + 30));
        sent.predicted.as_secs_f64()
    };
    let usual = predict(100.0, 100);
    let slowed = predict(250.0, 200);
    assert!(
        slowed > 1.6 * usual && slowed <= 2.0 * usual,
        "{slowed} s are predicted at the slowed server, {usual} before"
    );
}

/// Guards against all gateways sending their requests to the server whose report they all have read.
#[test]
fn stale_report_attracts_a_bounded_part_of_the_requests() {
    const GATEWAYS: u8 = 12;
    const SERVERS: u8 = 10;
    let start = |host| fleet_with_servers(host, SERVERS, None);
    let prompt = |number| Prompt {
        shared_tokens: 400,
        own_tokens: 600,
        ..prompt(number)
    };
    let mut gateways: Vec<Fleet> = (1..=GATEWAYS).map(start).collect();
    // The preferred servers of the prefixes are occupied, so that others are considered.
    let mut number = 0;
    let mut reported = None;
    for fleet in &mut gateways {
        for _ in 0..10 {
            number += 1;
            let request = placement_request("a", prompt(number), ms(100));
            let Decision::Send(placement) = fleet.decide(&request, ms(100)) else {
                continue;
            };
            if placement.server == "s1" && reported.is_none() {
                fleet.record_work_time(&placement, Some(5.0), ms(100));
                reported = Some(placement);
            }
        }
    }
    assert!(reported.is_some());
    exchange_digests(&mut gateways, 150);
    let mut sent = 0;
    let mut attracted = 0;
    for round in 0..10 {
        for fleet in &mut gateways {
            number += 1;
            let now = ms(200 + round * 10);
            let request = placement_request("a", prompt(number), now);
            if let Decision::Send(placement) = fleet.decide(&request, now) {
                sent += 1;
                attracted += u32::from(placement.server == "s1");
            }
        }
    }
    // Twice its share of the requests, and some for chance.
    assert!(
        sent >= 100 && attracted * u32::from(SERVERS) <= 3 * sent,
        "{attracted} of {sent} requests went to one of {SERVERS} servers"
    );
}

fn slowed(server: usize, now: u64) -> bool {
    share_key([server as u64, now / 600]) % 100 < 15
}

/// Guards against requests that go on to servers which are slowed for a moment, although answers say
/// so.
#[test]
fn slowed_servers_get_fewer_requests_for_the_moment() {
    let site = |figure: ByTime| Site {
        gateways: 6,
        servers: 12,
        rate: 160,
        prefixes: 240,
        end: 40_000,
        speed: |server, now| if slowed(server, now) { 0.4 } else { 1.0 },
        figure: Some(figure),
        token_rate: None,
        percent_b: 0,
    };
    let share = |figure: ByTime| {
        let day = play(&site(figure));
        let late = day.sent.iter().filter(|(at, _)| *at > 20_000);
        let to_slowed = late.clone().filter(|(at, server)| slowed(*server, *at));
        to_slowed.count() as f64 / late.count() as f64
    };
    let told = share(|server, now| if slowed(server, now) { 250.0 } else { 100.0 });
    let untold = share(|_, _| 100.0);
    assert!(
        told < 0.95 * untold,
        "{told} of the requests went to slowed servers, {untold} if answers do not say so"
    );
}

/// Guards against a placement by cost that gives an account with much demand the share of another one.
#[test]
fn account_within_its_share_is_served_at_three_times_the_capacity() {
    let day = play(&Site {
        gateways: 6,
        servers: 12,
        rate: 600,
        prefixes: 240,
        end: 40_000,
        speed: two_speeds,
        figure: Some(|_, _| 100.0),
        token_rate: Some(600_000),
        percent_b: 4,
    });
    // In the second half of the day.
    let asked = 600.0 * 20.0;
    let sent_b = day.accounts["b"] as f64 / (0.04 * asked);
    let sent_a = day.accounts["a"] as f64 / (0.96 * asked);
    assert!(
        sent_b > 0.8 && sent_a < 0.5,
        "account b got {sent_b} of what it asked for, account a {sent_a}"
    );
}
