//! Prompt parts that crash servers are quarantined over the fleet; sound parts that were on the same
//! servers are not.

use std::collections::BTreeSet;

use primrose_fleet::place::PartId;
use primrose_fleet::poison::QuarantineReport;
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

/// Number of servers of each gateway.
const SERVERS: u8 = 12;
/// The part that crashes servers.
const BAD: PartId = 0xbad;
/// A part that most requests share.
const COMMON: PartId = 0xa;

/// Gateways that exchange digests, and their common time.
struct World {
    gateways: Vec<Fleet>,
    now: u64,
}

impl World {
    fn new(gateways: u8) -> Self {
        let start = |host| fleet_with_servers(host, SERVERS, None);
        Self {
            gateways: (1..=gateways).map(start).collect(),
            now: 1_000,
        }
    }

    fn request(&self, parts: &[PartId]) -> PlacementRequest {
        // Requests of one moment prefer the same server.
        let own = prompt(self.now);
        PlacementRequest {
            parts: parts.into(),
            ..placement_request("any", own, ms(self.now))
        }
    }

    fn send(&mut self, gateway: usize, parts: &[PartId]) -> Option<(PlacementRequest, Placement)> {
        let request = self.request(parts);
        match self.gateways[gateway].decide(&request, ms(self.now)) {
            Decision::Send(placement) => Some((request, placement)),
            Decision::Refuse(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::CrashesServers);
                None
            }
        }
    }

    fn is_refused(&mut self, gateway: usize, parts: &[PartId]) -> bool {
        match self.send(gateway, parts) {
            Some((request, placement)) => {
                let now = ms(self.now);
                let outcome = AttemptOutcome::GivenUp;
                self.gateways[gateway].finish_attempt(&request, &placement, outcome, now);
                false
            }
            None => true,
        }
    }

    /// Runs a request to a good end.
    fn run(&mut self, gateway: usize, parts: &[PartId]) {
        if let Some((request, mut placement)) = self.send(gateway, parts) {
            let fleet = &mut self.gateways[gateway];
            fleet.record_events(&request, &mut placement, ms(self.now + 1));
            fleet.finish_attempt(&request, &placement, AttemptOutcome::Good, ms(self.now + 2));
        }
    }

    /// Breaks the connections of requests with these parts at one server.
    fn break_requests(&mut self, gateway: usize, requests: &[&[PartId]], dies: bool) {
        let mut ended = BTreeSet::new();
        for parts in requests {
            let Some((request, placement)) = self.send(gateway, parts) else {
                continue;
            };
            let fleet = &mut self.gateways[gateway];
            let now = ms(self.now);
            fleet.finish_attempt(&request, &placement, AttemptOutcome::Broken, now);
            ended.insert(placement.server);
        }
        for probe in self.gateways[gateway].take_probes() {
            if dies {
                self.gateways[gateway].record_death(probe.server, ms(self.now));
            } else {
                self.gateways[gateway].record_alive(probe.server);
            }
        }
        for id in ended.iter().filter(|_| dies) {
            for fleet in &mut self.gateways {
                fleet.remove_server(id, ms(self.now));
            }
        }
    }

    /// Lets time pass, with an exchange of digests every 100 ms.
    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now += 100;
            exchange_digests(&mut self.gateways, self.now);
        }
    }
}

/// What happens before a part is looked at.
struct Case {
    name: &'static str,
    events: fn(&mut World),
    refused: &'static [&'static [PartId]],
    sent: &'static [&'static [PartId]],
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "deaths at three gateways",
            events: |world| {
                for gateway in 0..3 {
                    world.break_requests(gateway, &[&[COMMON, BAD]], true);
                    world.pass(200);
                }
            },
            refused: &[&[COMMON, BAD], &[BAD, 7], &[BAD]],
            sent: &[&[COMMON], &[COMMON, 1], &[2]],
        },
        Case {
            name: "innocent requests on each of the servers",
            events: |world| {
                for round in 0..4 {
                    let innocent: &[PartId] = &[COMMON, 1];
                    world.break_requests(round % 3, &[innocent, &[COMMON, BAD], &[3]], true);
                    world.pass(200);
                }
            },
            refused: &[&[BAD]],
            sent: &[&[COMMON], &[COMMON, 4]],
        },
        Case {
            name: "a part that was sound before",
            events: |world| {
                world.run(0, &[COMMON, BAD]);
                world.pass(500);
                for _ in 0..6 {
                    world.break_requests(1, &[&[COMMON, BAD]], true);
                    world.run(2, &[COMMON, 1]);
                    world.pass(500);
                }
            },
            refused: &[&[COMMON, BAD]],
            sent: &[&[COMMON, 1]],
        },
        Case {
            name: "broken links to servers that are alive",
            events: |world| {
                for _ in 0..6 {
                    world.break_requests(0, &[&[COMMON, BAD]], false);
                    world.pass(300);
                }
            },
            refused: &[],
            sent: &[&[COMMON, BAD]],
        },
        Case {
            name: "servers that die at once",
            events: |world| {
                for gateway in 0..3 {
                    world.break_requests(gateway, &[&[COMMON, 1]], true);
                }
                world.pass(3_000);
            },
            refused: &[],
            sent: &[&[COMMON, 1]],
        },
        Case {
            name: "servers that die one by one while runs survive at another gateway",
            events: |world| {
                world.run(1, &[COMMON, 1]);
                world.pass(300);
                for _ in 0..3 {
                    world.break_requests(0, &[&[COMMON, 2]], true);
                    world.pass(300);
                    world.run(1, &[COMMON, 3]);
                }
                world.pass(3_000);
            },
            refused: &[],
            sent: &[&[COMMON, 1]],
        },
        Case {
            name: "requests without shared parts",
            events: |world| {
                for _ in 0..3 {
                    world.break_requests(0, &[&[]], true);
                    world.pass(300);
                }
            },
            refused: &[],
            sent: &[&[], &[1]],
        },
    ]
}

#[test]
fn only_the_part_that_crashes_servers_is_refused() {
    for case in cases() {
        let mut world = World::new(3);
        (case.events)(&mut world);
        world.pass(200);
        for gateway in 0..3 {
            for parts in case.refused {
                let refused = world.is_refused(gateway, parts);
                assert!(refused, "{}: {parts:x?} sent by {gateway}", case.name);
            }
            for parts in case.sent {
                let refused = world.is_refused(gateway, parts);
                assert!(!refused, "{}: {parts:x?} refused by {gateway}", case.name);
            }
        }
    }
}

#[test]
fn gateway_that_starts_later_learns_of_a_quarantine() {
    let mut world = World::new(3);
    for _ in 0..3 {
        world.break_requests(0, &[&[COMMON, BAD]], true);
        world.pass(300);
    }
    world.pass(60_000);
    world.gateways[2] = fleet_with_servers(3, SERVERS, None);
    world.pass(200);
    assert!(world.is_refused(2, &[COMMON, BAD]));
}

#[test]
fn one_death_renews_a_quarantine_that_is_over() {
    let mut world = World::new(1);
    for _ in 0..3 {
        world.break_requests(0, &[&[COMMON, BAD]], true);
        world.pass(300);
    }
    assert!(world.is_refused(0, &[BAD]));
    world.now += 16 * 60_000;
    world.pass(200);
    assert!(!world.is_refused(0, &[BAD]), "the quarantine has an end");
    world.break_requests(0, &[&[COMMON, BAD]], true);
    world.pass(200);
    assert!(world.is_refused(0, &[BAD]));
    assert!(!world.is_refused(0, &[COMMON]));
    world.now += 16 * 60_000;
    assert!(world.is_refused(0, &[BAD]), "the second one is longer");
}

/// Guards the requests that share their parts with one request that crashes servers by itself.
#[test]
fn parts_of_one_request_that_crashes_servers_are_not_quarantined() {
    let mut world = World::new(2);
    let repeated = world.request(&[COMMON, 1]).fingerprint;
    for round in 0..4 {
        let request = PlacementRequest {
            fingerprint: repeated,
            ..world.request(&[COMMON, 1])
        };
        let now = ms(world.now);
        let fleet = &mut world.gateways[round % 2];
        if let Decision::Send(placement) = fleet.decide(&request, now) {
            fleet.finish_attempt(&request, &placement, AttemptOutcome::Broken, now);
            for probe in fleet.take_probes() {
                fleet.record_death(probe.server, now);
            }
            for fleet in &mut world.gateways {
                fleet.remove_server(&placement.server, now);
            }
        }
        world.pass(300);
    }
    world.pass(3_000);
    assert!(!world.is_refused(0, &[COMMON, 1]));
    let request = PlacementRequest {
        fingerprint: repeated,
        ..world.request(&[COMMON, 1])
    };
    let decision = world.gateways[1].decide(&request, ms(world.now));
    assert!(matches!(decision, Decision::Refuse(_)));
}

/// Guards sound requests that share the first part of all requests with a bad part: at a gateway that
/// has just started, both parts have the same deaths.
#[test]
fn first_part_that_was_quarantined_beside_the_cause_is_released() {
    let mut world = World::new(2);
    world.run(1, &[COMMON, 1]);
    world.pass(300);
    world.break_requests(0, &[&[COMMON, 2]], true);
    for _ in 0..3 {
        world.pass(300);
        world.break_requests(0, &[&[COMMON, BAD]], true);
    }
    let now = ms(world.now);
    for part in [COMMON, BAD] {
        let quarantine = QuarantineReport {
            part,
            age_ms: 0,
            left_ms: 60_000,
            count: 1,
        };
        world.gateways[0].adopt_quarantine(quarantine, now);
    }
    world.pass(300);
    for gateway in 0..2 {
        assert!(world.is_refused(gateway, &[COMMON, BAD]));
        assert!(!world.is_refused(gateway, &[COMMON, 1]));
    }
}

/// Guards against deaths that relays do not pass on.
#[test]
fn part_is_quarantined_in_a_large_fleet_with_relays() {
    let mut world = World::new(24);
    world.pass(3_000);
    assert!(world.gateways.iter().any(Fleet::is_relay));
    for gateway in [5, 11, 17] {
        world.break_requests(gateway, &[&[COMMON, BAD]], true);
        world.pass(300);
    }
    world.pass(1_500);
    for gateway in 0..24 {
        assert!(world.is_refused(gateway, &[COMMON, BAD]), "{gateway}");
        assert!(!world.is_refused(gateway, &[COMMON, 1]), "{gateway}");
    }
}
