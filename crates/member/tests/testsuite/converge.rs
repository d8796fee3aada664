//! Views of routers that can talk come to agree, whatever happened before.

use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_support::seeded::checker;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::net::host_name;
use crate::net::Net;

/// Zones of the small fleet, with their regions.
const ZONES: [(&str, &str); 3] = [("z0", ""), ("z1", ""), ("z2", "")];
/// Routers in each zone.
const ROUTERS: usize = 4;
/// Beats after the last fault within which the routers of a zone agree.
///
/// A dead link is found within 3 beats, a lost section is repaired within 5 for each of at most
/// two links that it crosses.
const ZONE_BEATS: u32 = 3 + 2 * 5;
/// Beats after the last fault within which routers know the holders in other zones.
///
/// Adds, to the above, 3 beats for each of the other zone's routers that a gateway may try in
/// vain, and the repair of a report on two more links.
const FLEET_BEATS: u32 = ZONE_BEATS + 3 * 4 + 2 * 5;

/// Something that goes wrong.
#[derive(Debug, Clone)]
enum Fault {
    Part { host: usize, part: u8 },
    PartZone { zone: usize, part: u8 },
    Restart { host: usize },
    Stop { host: usize },
    Loss { permille: u32 },
    Doubling { permille: u32 },
    Delay { steps: u32 },
    Pause { host: usize },
    Wake { host: usize },
    Wait { steps: u32 },
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % (ZONES.len() * ROUTERS);
        match u8::arbitrary(g) % 12 {
            0 => Self::Part {
                host,
                part: u8::arbitrary(g) % 3,
            },
            1 => Self::PartZone {
                zone: host % ZONES.len(),
                part: u8::arbitrary(g) % 3,
            },
            2 => Self::Restart { host },
            3 => Self::Stop { host },
            4 => Self::Loss {
                permille: u32::arbitrary(g) % 500,
            },
            5 => Self::Doubling {
                permille: u32::arbitrary(g) % 500,
            },
            6 => Self::Delay {
                steps: 1 + u32::arbitrary(g) % 40,
            },
            7 => Self::Pause { host },
            8 => Self::Wake { host },
            _ => Self::Wait {
                steps: u32::arbitrary(g) % 100,
            },
        }
    }
}

fn host(number: usize) -> HostId {
    host_name(ZONES[number / ROUTERS].0, number % ROUTERS)
}

fn apply(net: &mut Net, fault: &Fault, starts: &mut u64) {
    match fault {
        Fault::Part { host: h, part } => {
            net.parts.insert(host(*h), *part);
        }
        Fault::PartZone { zone, part } => {
            for number in 0..ROUTERS {
                net.parts.insert(host_name(ZONES[*zone].0, number), *part);
            }
        }
        Fault::Restart { host: h } => {
            *starts += 1;
            net.start(&host(*h), ZONES[h / ROUTERS].0, *starts, &ZONES);
            let list = net.router_list();
            net.tell(&host(*h), primrose_member::Event::Hosts(list));
        }
        Fault::Stop { host: h } => net.stop(&host(*h)),
        Fault::Loss { permille } => net.loss = *permille,
        Fault::Doubling { permille } => net.doubling = *permille,
        Fault::Delay { steps } => net.delay = *steps,
        Fault::Pause { host: h } => net.pause(&host(*h), true),
        Fault::Wake { host: h } => net.pause(&host(*h), false),
        Fault::Wait { steps } => (0..*steps).for_each(|_| net.step()),
    }
}

/// Ends all faults but the partition.
fn settle(net: &mut Net) {
    net.loss = 0;
    net.doubling = 0;
    net.delay = 1;
    let hosts: Vec<HostId> = net.nodes.keys().cloned().collect();
    for host in hosts {
        net.pause(&host, false);
    }
}

/// Hosts of the zone that run and are in the same part as a host.
fn expected(net: &Net, zone: &str, near: &HostId) -> BTreeSet<Member> {
    let part = net.parts[near];
    let same = |host: &HostId| net.parts[host] == part && host.starts_with(zone);
    let nodes = net.nodes.iter().filter(|(host, _)| same(host));
    nodes.map(|(_, node)| node.view.me().clone()).collect()
}

fn check_zones(net: &Net) -> Result<(), String> {
    for (host, node) in &net.nodes {
        let zone = &host[..2];
        let live: BTreeSet<Member> = node.view.members().cloned().collect();
        let want = expected(net, zone, host);
        if live != want {
            return Err(format!("{host} sees {live:?}, expected {want:?}"));
        }
    }
    Ok(())
}

fn check_fleet(net: &Net) -> Result<(), String> {
    for (host, node) in &net.nodes {
        for (zone, _) in ZONES.iter().filter(|(zone, _)| !host.starts_with(zone)) {
            let want = expected(net, zone, host);
            let seen: BTreeSet<Member> = node.view.members_in(zone).into_iter().cloned().collect();
            if seen != want {
                return Err(format!("{host} sees {seen:?} in {zone}, expected {want:?}"));
            }
            let Some(there) = want.first() else {
                continue;
            };
            let theirs = net.nodes[&there.host].view.holder("duty");
            if node.view.holder_in(zone, "duty") != theirs {
                return Err(format!("{host} disagrees with {zone} about its holder"));
            }
        }
    }
    Ok(())
}

fn converges(faults: Vec<Fault>) -> Result<(), String> {
    let mut net = Net::fleet(1, &ZONES, ROUTERS);
    let mut starts = 1;
    for fault in &faults {
        apply(&mut net, fault, &mut starts);
    }
    settle(&mut net);
    net.run(Duration::from_secs(1) * ZONE_BEATS);
    check_zones(&net).map_err(|e| format!("{e} after {faults:?}"))?;
    net.run(Duration::from_secs(1) * (FLEET_BEATS - ZONE_BEATS));
    check_zones(&net)?;
    check_fleet(&net).map_err(|e| format!("{e} after {faults:?}"))
}

#[test]
fn views_agree_after_any_faults() {
    let property = |faults: Vec<Fault>| match converges(faults) {
        Ok(()) => quickcheck::TestResult::passed(),
        Err(e) => quickcheck::TestResult::error(e),
    };
    let property: fn(Vec<Fault>) -> quickcheck::TestResult = property;
    checker().tests(25).quickcheck(property);
}

#[test]
fn a_quiet_start_agrees() {
    converges(Vec::new()).unwrap();
}

#[test]
fn a_fleet_without_a_host_list_finds_itself_by_one_seed() {
    let mut net = Net::new(1);
    net.seeds = vec!["127.0.0.1:10000".parse().unwrap()];
    for (zone, _) in ZONES {
        for number in 0..ROUTERS {
            net.start(&host_name(zone, number), zone, 1, &ZONES);
        }
    }
    net.run(Duration::from_secs(1) * FLEET_BEATS);
    check_zones(&net).unwrap();
    check_fleet(&net).unwrap();
    // Nobody keeps the seed once it has found its own links.
    assert!(net.nodes.values().all(|node| node.seeded.is_empty()));
}
