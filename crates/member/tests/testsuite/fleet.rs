//! A fleet of the planned shape: 31 zones in 8 regions, with few links per router.

use std::time::Duration;

use primrose_core::host::HostState;
use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_member::Event;
use primrose_member::Forward;
use primrose_member::Routed;

use crate::net::host_name;
use crate::net::server_entry;
use crate::net::Net;

const ZONES: usize = 31;
const REGIONS: usize = 8;
const ROUTERS: usize = 2;
/// Time to detect dead links, dial four routers without success and resend lost reports.
const CONVERGENCE_TIME: Duration = Duration::from_secs(3 + 4 * 3 + 2 * 5);
/// Maximum number of links of a router in a small zone: one to its peer in the zone and, in the
/// worst case, all links of two border routers on either side to 4 neighbouring zones and 7 regions.
const MAX_LINKS: usize = 1 + 2 * 2 * (4 + 7);

fn zone_names() -> Vec<(String, String)> {
    let name = |n: usize| (format!("z{n:02}"), format!("r{}", n % REGIONS));
    (0..ZONES).map(name).collect()
}

/// Returns the number of links on the route from sender to receiver.
fn hops(net: &Net, from: &HostId, to: &Member) -> Result<u8, String> {
    let sender = net.nodes[from].view.me().clone();
    let mut routed = Routed::new(sender, to.clone(), ());
    let mut current = from.clone();
    loop {
        let hops = routed.hops;
        match routed.forward(&net.nodes[&current].view) {
            Forward::Deliver { .. } => return Ok(hops),
            Forward::Relay {
                next,
                routed: forwarded,
            } => {
                current = next;
                routed = forwarded;
            }
            Forward::Drop(reason) => return Err(format!("{from} to {to}: {reason} at {current}")),
        }
    }
}

/// Starts the fleet and lets it converge.
fn converged_fleet() -> Net {
    let zone_names = zone_names();
    let zones: Vec<(&str, &str)> = zone_names.iter().map(|(z, r)| (&z[..], &r[..])).collect();
    let mut net = Net::fleet(1, &zones, ROUTERS);
    net.run(CONVERGENCE_TIME);
    net
}

/// Checks that each router has few links and reaches exactly the routers of its partition.
fn check(net: &Net) {
    for from in net.nodes.keys() {
        let links = net.link_count(from);
        assert!(links <= MAX_LINKS, "{from} has {links} links");
        for to in net.nodes.keys().filter(|to| *to != from) {
            let member = net.nodes[to].view.me().clone();
            let route = hops(net, from, &member);
            let connected = net.partitions[from] == net.partitions[to];
            assert_eq!(route.is_ok(), connected, "{from} to {to}: {route:?}");
        }
    }
}

#[test]
fn every_router_reaches_every_other_with_few_links() {
    let mut net = converged_fleet();
    check(&net);
    // A leaving server in the host list of one router is known to all within 3 s.
    let mut list = net.router_list();
    list.push(server_entry("s1", 1, HostState::Leaving));
    net.handle_event(&host_name("z30", 1), Event::Hosts(list));
    net.run(Duration::from_secs(3));
    assert!(net.nodes.values().all(|n| n.view.is_leaving("s1", 1)));
}

#[test]
fn separated_regions_keep_working_and_reconnect() {
    let mut net = converged_fleet();
    let hosts: Vec<HostId> = net.nodes.keys().cloned().collect();
    let set_partition = |net: &mut Net, partition| {
        for host in &hosts {
            let number: usize = host[1..3].parse().unwrap();
            // The regions 0 to 2 are cut off from the others, and zone 30 from its region.
            let is_cut_off = number % REGIONS < 3 || number == 30;
            net.partitions
                .insert(host.clone(), if is_cut_off { partition } else { 0 });
        }
    };
    set_partition(&mut net, 1);
    net.run(Duration::from_secs(20));
    check(&net);
    set_partition(&mut net, 0);
    net.run(CONVERGENCE_TIME);
    check(&net);
}
