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
/// Time for dead links to be found, four routers to be tried in vain, and reports to be repaired.
const SETTLE: Duration = Duration::from_secs(3 + 4 * 3 + 2 * 5);
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

/// Starts the fleet and lets it settle.
fn settled() -> Net {
    let names = names();
    let zones: Vec<(&str, &str)> = names.iter().map(|(z, r)| (&z[..], &r[..])).collect();
    let mut net = Net::fleet(1, &zones, ROUTERS);
    net.run(SETTLE);
    net
}

/// Checks that each router reaches those of the same part, over few links, and no others.
fn check(net: &Net) {
    for from in net.nodes.keys() {
        let links = net.link_count(from);
        assert!(links <= MAX_LINKS, "{from} has {links} links");
        for to in net.nodes.keys().filter(|to| *to != from) {
            let member = net.nodes[to].view.me().clone();
            let way = hops(net, from, &member);
            let joined = net.parts[from] == net.parts[to];
            assert_eq!(way.is_ok(), joined, "{from} to {to}: {way:?}");
        }
    }
}

#[test]
fn every_router_reaches_every_other_over_few_links() {
    let mut net = settled();
    check(&net);
    // A leaving server that one router sees is known to all within 3 s.
    let mut list = net.router_list();
    list.push(server_entry("s1", 1, HostState::Leaving));
    net.tell(&host_name("z30", 1), Event::Hosts(list));
    net.run(Duration::from_secs(3));
    assert!(net.nodes.values().all(|n| n.view.is_leaving("s1", 1)));
}

#[test]
fn regions_that_lose_each_other_go_on_and_join_again() {
    let mut net = settled();
    let far: Vec<HostId> = net.nodes.keys().cloned().collect();
    let cut = |net: &mut Net, part| {
        for host in &far {
            let number: usize = host[1..3].parse().unwrap();
            // The regions 0 to 2 are cut off from the others, and zone 30 from its region.
            let parted = number % REGIONS < 3 || number == 30;
            net.parts
                .insert(host.clone(), if parted { part } else { 0 });
        }
    };
    cut(&mut net, 1);
    net.run(Duration::from_secs(20));
    check(&net);
    cut(&mut net, 0);
    net.run(SETTLE);
    check(&net);
}
