//! Views of routers that can communicate converge, whatever faults there were before.

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
/// Heartbeats after the last fault within which the views of a zone converge.
///
/// A dead link is detected within 3 heartbeats; a lost section is resent within 5 for each of at
/// most two links that it crosses.
const ZONE_HEARTBEATS: u32 = 3 + 2 * 5;
/// Heartbeats after the last fault within which routers know the duty holders in other zones.
///
/// In addition to [`ZONE_HEARTBEATS`], allows 3 heartbeats for each router of the other zone that a
/// border router may dial without success, and the resending of a report over two more links.
const FLEET_HEARTBEATS: u32 = ZONE_HEARTBEATS + 3 * 4 + 2 * 5;

/// A fault, or a wait between faults.
#[derive(Debug, Clone)]
enum Fault {
    PartitionHost { host: usize, partition: u8 },
    PartitionZone { zone: usize, partition: u8 },
    Restart { host: usize },
    Stop { host: usize },
    Loss { permille: u32 },
    Duplication { permille: u32 },
    Delay { steps: u32 },
    Pause { host: usize },
    Resume { host: usize },
    Wait { steps: u32 },
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % (ZONES.len() * ROUTERS);
        match u8::arbitrary(g) % 12 {
            0 => Self::PartitionHost {
                host,
                partition: u8::arbitrary(g) % 3,
            },
            1 => Self::PartitionZone {
                zone: host % ZONES.len(),
                partition: u8::arbitrary(g) % 3,
            },
            2 => Self::Restart { host },
            3 => Self::Stop { host },
            4 => Self::Loss {
                permille: u32::arbitrary(g) % 500,
            },
            5 => Self::Duplication {
                permille: u32::arbitrary(g) % 500,
            },
            6 => Self::Delay {
                steps: 1 + u32::arbitrary(g) % 40,
            },
            7 => Self::Pause { host },
            8 => Self::Resume { host },
            _ => Self::Wait {
                steps: u32::arbitrary(g) % 100,
            },
        }
    }
}

fn host(number: usize) -> HostId {
    host_name(ZONES[number / ROUTERS].0, number % ROUTERS)
}

fn apply(net: &mut Net, fault: &Fault, last_incarnation: &mut u64) {
    match fault {
        Fault::PartitionHost { host: h, partition } => {
            net.partitions.insert(host(*h), *partition);
        }
        Fault::PartitionZone { zone, partition } => {
            for number in 0..ROUTERS {
                net.partitions
                    .insert(host_name(ZONES[*zone].0, number), *partition);
            }
        }
        Fault::Restart { host: h } => {
            *last_incarnation += 1;
            net.start(&host(*h), ZONES[h / ROUTERS].0, *last_incarnation, &ZONES);
            let list = net.router_list();
            net.handle_event(&host(*h), primrose_member::Event::Hosts(list));
        }
        Fault::Stop { host: h } => net.stop(&host(*h)),
        Fault::Loss { permille } => net.loss = *permille,
        Fault::Duplication { permille } => net.duplication = *permille,
        Fault::Delay { steps } => net.delay = *steps,
        Fault::Pause { host: h } => net.pause(&host(*h), true),
        Fault::Resume { host: h } => net.pause(&host(*h), false),
        Fault::Wait { steps } => (0..*steps).for_each(|_| net.step()),
    }
}

/// Ends all faults except the partitions.
fn end_faults(net: &mut Net) {
    net.loss = 0;
    net.duplication = 0;
    net.delay = 1;
    let hosts: Vec<HostId> = net.nodes.keys().cloned().collect();
    for host in hosts {
        net.pause(&host, false);
    }
}

/// Returns the running members of a zone that are in the same partition as the observer.
fn expected_members(net: &Net, zone: &str, observer: &HostId) -> BTreeSet<Member> {
    let partition = net.partitions[observer];
    let is_expected = |host: &HostId| net.partitions[host] == partition && host.starts_with(zone);
    let nodes = net.nodes.iter().filter(|(host, _)| is_expected(host));
    nodes.map(|(_, node)| node.view.me().clone()).collect()
}

fn check_zones(net: &Net) -> Result<(), String> {
    for (host, node) in &net.nodes {
        let zone = &host[..2];
        let live: BTreeSet<Member> = node.view.members().cloned().collect();
        let expected = expected_members(net, zone, host);
        if live != expected {
            return Err(format!("{host} sees {live:?}, expected {expected:?}"));
        }
    }
    Ok(())
}

fn check_fleet(net: &Net) -> Result<(), String> {
    for (host, node) in &net.nodes {
        for (zone, _) in ZONES.iter().filter(|(zone, _)| !host.starts_with(zone)) {
            let expected = expected_members(net, zone, host);
            let seen: BTreeSet<Member> = node.view.members_in(zone).into_iter().cloned().collect();
            if seen != expected {
                return Err(format!(
                    "{host} sees {seen:?} in {zone}, expected {expected:?}"
                ));
            }
            let Some(member) = expected.first() else {
                continue;
            };
            let their_holder = net.nodes[&member.host].view.holder("duty");
            if node.view.holder_in(zone, "duty") != their_holder {
                return Err(format!(
                    "{host} disagrees with {zone} about the holder of a duty there"
                ));
            }
        }
    }
    Ok(())
}

fn check_convergence(faults: Vec<Fault>) -> Result<(), String> {
    let mut net = Net::fleet(1, &ZONES, ROUTERS);
    let mut last_incarnation = 1;
    for fault in &faults {
        apply(&mut net, fault, &mut last_incarnation);
    }
    end_faults(&mut net);
    net.run(Duration::from_secs(1) * ZONE_HEARTBEATS);
    check_zones(&net).map_err(|e| format!("{e} after {faults:?}"))?;
    net.run(Duration::from_secs(1) * (FLEET_HEARTBEATS - ZONE_HEARTBEATS));
    check_zones(&net)?;
    check_fleet(&net).map_err(|e| format!("{e} after {faults:?}"))
}

#[test]
fn views_converge_after_any_faults() {
    let property = |faults: Vec<Fault>| match check_convergence(faults) {
        Ok(()) => quickcheck::TestResult::passed(),
        Err(e) => quickcheck::TestResult::error(e),
    };
    let property: fn(Vec<Fault>) -> quickcheck::TestResult = property;
    checker().tests(25).quickcheck(property);
}

#[test]
fn views_converge_without_faults() {
    check_convergence(Vec::new()).unwrap();
}

#[test]
fn fleet_without_a_host_list_converges_from_one_seed() {
    let mut net = Net::new(1);
    net.seeds = vec!["127.0.0.1:10000".parse().unwrap()];
    for (zone, _) in ZONES {
        for number in 0..ROUTERS {
            net.start(&host_name(zone, number), zone, 1, &ZONES);
        }
    }
    net.run(Duration::from_secs(1) * FLEET_HEARTBEATS);
    check_zones(&net).unwrap();
    check_fleet(&net).unwrap();
    // Routers drop the seed once they have other links.
    assert!(net.nodes.values().all(|node| node.dialed_seeds.is_empty()));
}
