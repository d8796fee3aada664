//! Exchange of digests in large fleets, through the relays of each zone.
//!
//! Guards against decisions on old sums: with a datagram from every host to every other, a fleet of
//! 195 gateways could send only one in 1.2 s, and many gateways sent their requests to the same
//! server before they saw one another's.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_fleet::digest::Digest;
use primrose_fleet::entry::build_id;
use primrose_fleet::Decision;
use primrose_fleet::Fleet;
use primrose_fleet::FleetConfig;

use crate::build::ms;
use crate::build::placement_request;
use crate::build::prompt;
use crate::build::server;
use crate::build::tables;
use crate::build::MODELS;

/// Step of time; every gateway sends when its interval is over.
const ROUND: Duration = Duration::from_millis(200);
/// Rounds after which sums have reached every gateway: to a relay, between zones, to a member, and
/// one for a lost datagram.
const SETTLE_ROUNDS: u32 = 8;
/// Control traffic that a host may take, in bytes per second.
const MAX_BYTES_PER_SECOND: usize = 23_000;

/// Gateways that exchange digests over links that a test can cut.
pub(crate) struct Links {
    pub(crate) gateways: Vec<Fleet>,
    zones: usize,
    /// Gateways that neither send nor receive.
    pub(crate) dead: Vec<usize>,
    /// Zones that are cut off from the others.
    separate: Vec<usize>,
    /// One datagram in so many is lost; none if zero.
    pub(crate) loss: usize,
    pub(crate) now: Mono,
    /// When each gateway sends next.
    due: Vec<Mono>,
    datagrams: usize,
    bytes_received: BTreeMap<usize, usize>,
}

fn ip(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 1, (number >> 8) as u8, number as u8))
}

fn number(ip: IpAddr) -> usize {
    let IpAddr::V4(ip) = ip else {
        panic!("not an address of the test: {ip}");
    };
    let [_, _, high, low] = ip.octets();
    usize::from(high) << 8 | usize::from(low)
}

impl Links {
    /// Starts gateways that know a few seeds, as the platform's settings name them.
    pub(crate) fn new(count: usize, zones: usize) -> Self {
        let gateway = |number: usize| {
            let mut fleet = Fleet::new(FleetConfig {
                incarnation: 1_000 + number as u64,
                zone: format!("zone-{}", number % zones),
                ip: ip(number),
                capacity: if number / zones == 3 { 500 } else { 120 },
                retry_permille: 200,
                retry_slack: 430,
                cold_bound: None,
                place_by_cost: true,
            });
            fleet.adopt_tables(tables(1, Some(4_300_000)));
            for server_number in 0..40 {
                let id = format!("s{server_number}");
                fleet.upsert_server(server(&id, MODELS, server_number), ms(1));
            }
            for seed in 0..3 {
                fleet.add_contact(ip(seed), ms(1));
            }
            fleet
        };
        let mut links = Self {
            gateways: (0..count).map(gateway).collect(),
            zones,
            dead: Vec::new(),
            separate: Vec::new(),
            loss: 0,
            now: ms(1_000),
            due: vec![Mono::ZERO; count],
            datagrams: 0,
            bytes_received: BTreeMap::new(),
        };
        links.run(20);
        links
    }

    pub(crate) fn run(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.now += ROUND;
            for from in 0..self.gateways.len() {
                if !self.dead.contains(&from) && self.due[from] <= self.now {
                    self.send(from);
                }
            }
        }
    }

    fn send(&mut self, from: usize) {
        self.gateways[from].expire(self.now);
        let outgoing = self.gateways[from].outgoing(self.now);
        self.due[from] = self.now + self.gateways[from].send_interval(&outgoing);
        for out in outgoing {
            let bytes = out.digest.encode().expect("encodes");
            let digest = Digest::decode(&bytes).expect("decodes");
            for receiver in out.receivers {
                let to = number(receiver);
                self.datagrams += 1;
                let is_lost = self.loss > 0 && self.datagrams % self.loss == 0;
                if is_lost || self.dead.contains(&to) || self.is_cut(from, to) {
                    continue;
                }
                *self.bytes_received.entry(to).or_default() += bytes.len();
                self.gateways[to].merge(digest.clone(), ip(from), self.now);
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let side = |number: usize| {
            let zone = number % self.zones;
            self.separate.contains(&zone).then_some(zone)
        };
        side(one) != side(other)
    }

    pub(crate) fn live(&self) -> Vec<usize> {
        let all = 0..self.gateways.len();
        all.filter(|number| !self.dead.contains(number)).collect()
    }

    pub(crate) fn relays(&self) -> Vec<usize> {
        let mut live = self.live();
        live.retain(|number| self.gateways[*number].is_relay());
        live
    }

    /// Sends a request through every live gateway.
    fn place_everywhere(&mut self) {
        for number in self.live() {
            let request = placement_request(&format!("a{}", number % 60), prompt(7), self.now);
            let decision = self.gateways[number].decide(&request, self.now);
            drop(decision);
        }
    }

    /// Checks that the given gateways see one another's requests once each, and no others.
    fn assert_sums_of(&self, group: &[usize], what: &str) {
        let own = |number: usize| -> (u32, u64) {
            let rows = self.gateways[number].status();
            let running = rows.iter().map(|row| row.own.running);
            (running.sum(), rows.iter().map(|row| row.own.reading).sum())
        };
        let (mut running, mut reading) = (0, 0);
        for number in group {
            running += own(*number).0;
            reading += own(*number).1;
        }
        for number in group {
            let rows = self.gateways[*number].status();
            let seen = rows.iter().map(|row| row.fleet.running + row.own.running);
            assert_eq!(seen.sum::<u32>(), running, "{what}: running at {number}");
            let seen = rows.iter().map(|row| row.fleet.reading + row.own.reading);
            assert_eq!(seen.sum::<u64>(), reading, "{what}: reading at {number}");
            let count = self.gateways[*number].gateway_count();
            assert_eq!(count, group.len(), "{what}: gateways at {number}");
        }
    }
}

#[test]
fn every_gateway_sees_all_requests_once_through_two_relays_a_zone() {
    for (count, zones) in [(13, 1), (30, 3), (60, 4), (120, 5)] {
        let mut links = Links::new(count, zones);
        let expected = 2 * zones;
        assert_eq!(links.relays().len(), expected, "{count} in {zones} zones");
        links.place_everywhere();
        links.run(SETTLE_ROUNDS);
        let all = links.live();
        links.assert_sums_of(&all, "all");
    }
}

#[test]
fn hosts_with_most_capacity_are_relays() {
    let links = Links::new(60, 4);
    for zone in 0..4 {
        let strong = 3 * 4 + zone;
        assert!(links.gateways[strong].is_relay(), "zone {zone}");
    }
}

#[test]
fn lost_datagrams_only_delay_the_sums() {
    let mut links = Links::new(45, 3);
    links.loss = 7;
    links.place_everywhere();
    links.run(3 * SETTLE_ROUNDS);
    links.loss = 0;
    links.run(SETTLE_ROUNDS);
    let all = links.live();
    links.assert_sums_of(&all, "after losses");
}

#[test]
fn relays_that_die_are_replaced() {
    let mut links = Links::new(60, 4);
    links.place_everywhere();
    links.run(SETTLE_ROUNDS);
    for what in [
        "one relay of each zone",
        "two more",
        "both relays of each zone",
    ] {
        let relays = links.relays();
        let step = if what.starts_with("both") { 1 } else { 2 };
        links.dead.extend(relays.into_iter().step_by(step));
        // The sums of a dead gateway count for three seconds.
        links.run(40);
        let live = links.live();
        links.assert_sums_of(&live, what);
        assert_eq!(links.relays().len(), 8, "{what}");
    }
}

#[test]
fn a_separate_zone_goes_on_with_its_own_sums_and_is_seen_again() {
    let mut links = Links::new(60, 4);
    links.place_everywhere();
    links.separate = vec![2];
    links.run(40);
    let inside: Vec<usize> = (0..60).filter(|number| number % 4 == 2).collect();
    links.assert_sums_of(&inside, "inside");
    let outside: Vec<usize> = (0..60).filter(|number| number % 4 != 2).collect();
    links.assert_sums_of(&outside, "outside");
    links.separate.clear();
    links.run(20);
    let all = links.live();
    links.assert_sums_of(&all, "together again");
}

#[test]
fn a_restarted_gateway_is_counted_once_even_if_its_clock_was_set_back() {
    let mut links = Links::new(30, 3);
    links.place_everywhere();
    links.run(SETTLE_ROUNDS);
    let number = links.relays()[0];
    links.dead.push(number);
    links.run(3);
    links.dead.clear();
    let mut restarted = Fleet::new(FleetConfig {
        incarnation: 7,
        zone: format!("zone-{}", number % 3),
        ip: ip(number),
        capacity: 500,
        retry_permille: 200,
        retry_slack: 430,
        cold_bound: None,
        place_by_cost: true,
    });
    restarted.adopt_tables(tables(1, Some(4_300_000)));
    for server_number in 0..40 {
        let id = format!("s{server_number}");
        restarted.upsert_server(server(&id, MODELS, server_number), ms(1));
    }
    restarted.add_contact(ip((number + 1) % 30), links.now);
    links.gateways[number] = restarted;
    links.run(25);
    let all = links.live();
    links.assert_sums_of(&all, "after the restart");
}

#[test]
fn control_traffic_of_a_host_stays_within_its_bound() {
    for (count, zones) in [(195, 5), (380, 31)] {
        let mut links = Links::new(count, zones);
        links.place_everywhere();
        links.run(SETTLE_ROUNDS);
        links.bytes_received.clear();
        links.run(10);
        let total: usize = links.bytes_received.values().sum();
        let mean = total / count * 1_000 / (ROUND * 10).as_millis() as usize;
        assert!(
            mean < MAX_BYTES_PER_SECOND,
            "{count}: {mean} bytes/s a host"
        );
        let all = links.live();
        links.assert_sums_of(&all, "all");
    }
}

/// Guards against records of streams that take the control traffic of a host over its bound.
#[test]
fn records_of_streams_fit_into_the_control_traffic() {
    struct Case {
        name: &'static str,
        gateways: usize,
        zones: usize,
        /// Streams that begin in the whole fleet in a second.
        rate: usize,
    }
    let cases = [
        Case {
            name: "one mesh",
            gateways: 12,
            zones: 3,
            rate: 164,
        },
        Case {
            name: "five zones",
            gateways: 195,
            zones: 5,
            rate: 1_714,
        },
        Case {
            name: "thirty-one zones",
            gateways: 380,
            zones: 31,
            rate: 6_300,
        },
    ];
    for case in cases {
        let mut links = Links::new(case.gateways, case.zones);
        links.place_everywhere();
        links.run(SETTLE_ROUNDS);
        let mut streams = 0;
        for round in 0..40 {
            // Until here the streams of the first rounds have been published.
            if round == 20 {
                links.bytes_received.clear();
            }
            let begun = case.rate * ROUND.as_millis() as usize * (round + 1) / 1_000;
            for stream in streams..begun {
                let gateway = &mut links.gateways[stream % case.gateways];
                gateway.record_stream(stream as u64, build_id(MODELS, "v1"), links.now);
            }
            streams = begun;
            links.run(1);
        }
        let rate = |bytes: usize| bytes * 1_000 / (ROUND * 20).as_millis() as usize;
        let total: usize = links.bytes_received.values().sum();
        let mean = rate(total) / case.gateways;
        let busiest = links
            .bytes_received
            .values()
            .max()
            .copied()
            .unwrap_or_default();
        println!(
            "{}: mean {mean} bytes/s, busiest {}",
            case.name,
            rate(busiest)
        );
        assert!(
            mean < MAX_BYTES_PER_SECOND,
            "{}: {mean} bytes/s a host",
            case.name
        );
    }
}

#[test]
fn a_gateway_without_a_view_is_not_left_alone() {
    let mut links = Links::new(30, 3);
    let request = placement_request("a1", prompt(7), links.now);
    let decision = links.gateways[4].decide(&request, links.now);
    assert!(matches!(decision, Decision::Send(_)));
    links.separate = vec![0, 1, 2];
    links.run(30);
    links.separate.clear();
    links.run(20);
    let all = links.live();
    links.assert_sums_of(&all, "after all zones were cut off");
}
