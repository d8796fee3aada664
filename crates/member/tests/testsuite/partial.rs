//! Routers of a zone that reach each other only over others still agree.

use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_member::Event;
use primrose_member::Forward;
use primrose_member::Routed;
use primrose_support::seeded::checker;
use quickcheck::TestResult;

use crate::net::host_name;
use crate::net::pair;
use crate::net::Net;

const ZONES: [(&str, &str); 1] = [("z0", "")];
const ROUTERS: usize = 5;
/// Beats for dead links to be found, and for the repair of records on up to four links.
const SETTLE: Duration = Duration::from_secs(3 + 4 * 5);

fn host(number: usize) -> HostId {
    host_name("z0", number)
}

/// Hosts that a host reaches over links that are not cut.
fn component(net: &Net, start: &HostId) -> BTreeSet<HostId> {
    let mut seen = BTreeSet::from([start.clone()]);
    let mut open = vec![start.clone()];
    while let Some(at) = open.pop() {
        for next in net.nodes.keys() {
            if !net.cuts.contains(&pair(&at, next)) && seen.insert(next.clone()) {
                open.push(next.clone());
            }
        }
    }
    seen
}

fn check(net: &Net) -> Result<(), String> {
    for (host, node) in &net.nodes {
        let want = component(net, host);
        let live: BTreeSet<HostId> = node.view.members().map(|m| m.host.clone()).collect();
        if live != want {
            return Err(format!("{host} sees {live:?}, expected {want:?}"));
        }
        for other in want.iter().filter(|other| *other != host) {
            let to = net.nodes[other].view.me();
            delivered(net, host, to)?;
        }
    }
    Ok(())
}

/// Follows a message from router to router.
fn delivered(net: &Net, from: &HostId, to: &Member) -> Result<(), String> {
    let sender = net.nodes[from].view.me().clone();
    let mut routed = Routed::new(sender, to.clone(), ());
    let mut at = from.clone();
    loop {
        match routed.forward(&net.nodes[&at].view) {
            Forward::Deliver { .. } => return Ok(()),
            Forward::Relay { next, routed: on } => {
                at = next;
                routed = on;
            }
            Forward::Drop(reason) => return Err(format!("{from} to {to}: {reason} at {at}")),
        }
    }
}

fn agrees(cuts: &[(usize, usize)], restarts: &[usize]) -> Result<(), String> {
    let mut net = Net::fleet(1, &ZONES, ROUTERS);
    net.run(Duration::from_secs(5));
    for (a, b) in cuts {
        net.cuts
            .insert(pair(&host(a % ROUTERS), &host(b % ROUTERS)));
    }
    for number in restarts {
        let list = net.router_list();
        let host = host(number % ROUTERS);
        let incarnation = net.nodes[&host].view.me().incarnation + 1;
        net.start(&host, "z0", incarnation, &ZONES);
        net.tell(&host, Event::Hosts(list));
        net.step();
    }
    net.run(SETTLE);
    check(&net)
}

#[test]
fn a_chain_is_one_component() {
    let cuts = [(0, 2), (0, 3), (0, 4), (1, 3), (1, 4), (2, 4)];
    agrees(&cuts, &[]).unwrap();
    agrees(&cuts, &[2]).unwrap();
}

#[test]
fn any_graph_of_links_agrees() {
    let property: fn(Vec<(usize, usize)>, Vec<usize>) -> TestResult = |cuts, restarts| {
        let few = cuts.len() % 11;
        match agrees(&cuts[..few], &restarts[..restarts.len().min(5)]) {
            Ok(()) => TestResult::passed(),
            Err(e) => TestResult::error(e),
        }
    };
    checker().tests(30).quickcheck(property);
}
