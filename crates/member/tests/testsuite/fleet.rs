//! A fleet of the planned shape: 31 zones in 8 regions, with few links a router.

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
/// Links that a router of a small zone may have at most: its one peer, two gateways' links from
/// either side to 4 neighbours and 7 regions, in the worst case all on one router.
const MAX_LINKS: usize = 1 + 2 * 2 * (4 + 7);

fn names() -> Vec<(String, String)> {
    let name = |n: usize| (format!("z{n:02}"), format!("r{}", n % REGIONS));
    (0..ZONES).map(name).collect()
}

/// Number of links from sender to receiver.
fn hops(net: &Net, from: &HostId, to: &Member) -> Result<u8, String> {
    let sender = net.nodes[from].view.me().clone();
    let mut routed = Routed::new(sender, to.clone(), ());
    let mut at = from.clone();
    loop {
        let hops = routed.hops;
        match routed.forward(&net.nodes[&at].view) {
            Forward::Deliver { .. } => return Ok(hops),
            Forward::Relay { next, routed: on } => {
                at = next;
                routed = on;
            }
            Forward::Drop(reason) => return Err(format!("{from} to {to}: {reason} at {at}")),
        }
    }
}

#[test]
fn every_router_reaches_every_other_over_few_links() {
    let names = names();
    let zones: Vec<(&str, &str)> = names.iter().map(|(z, r)| (&z[..], &r[..])).collect();
    let mut net = Net::fleet(1, &zones, ROUTERS);
    net.run(Duration::from_secs(20));
    let hosts: Vec<HostId> = net.nodes.keys().cloned().collect();
    for from in &hosts {
        assert!(net.link_count(from) <= MAX_LINKS, "{from}");
        for to in hosts.iter().filter(|to| *to != from) {
            let to = net.nodes[to].view.me().clone();
            hops(&net, from, &to).unwrap();
        }
    }
    // A leaving server that one router sees is known to all within 3 s.
    let mut list = net.router_list();
    list.push(server_entry("s1", 1, HostState::Leaving));
    net.tell(&host_name("z30", 1), Event::Hosts(list));
    net.run(Duration::from_secs(3));
    assert!(net.nodes.values().all(|n| n.view.is_leaving("s1", 1)));
}
