//! Routers of a zone that reach each other only over other routers still agree.

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
/// Time to detect dead links and to resend lost records over up to four links.
const CONVERGENCE_TIME: Duration = Duration::from_secs(3 + 4 * 5);

fn host(number: usize) -> HostId {
    host_name("z0", number)
}

/// Returns the hosts that a host reaches over links that are not cut.
fn component(net: &Net, start: &HostId) -> BTreeSet<HostId> {
    let mut seen = BTreeSet::from([start.clone()]);
    let mut pending = vec![start.clone()];
    while let Some(current) = pending.pop() {
        for next in net.nodes.keys() {
            if !net.cut_links.contains(&pair(&current, next)) && seen.insert(next.clone()) {
                pending.push(next.clone());
            }
        }
    }
    seen
}

fn check(net: &Net) -> Result<(), String> {
    for (host, node) in &net.nodes {
        let expected = component(net, host);
        let live: BTreeSet<HostId> = node.view.members().map(|m| m.host.clone()).collect();
        if live != expected {
            return Err(format!("{host} sees {live:?}, expected {expected:?}"));
        }
        for other in expected.iter().filter(|other| *other != host) {
            let to = net.nodes[other].view.me();
            check_delivery(net, host, to)?;
        }
    }
    Ok(())
}

/// Follows a message from router to router until it is delivered or dropped.
fn check_delivery(net: &Net, from: &HostId, to: &Member) -> Result<(), String> {
    let sender = net.nodes[from].view.me().clone();
    let mut routed = Routed::new(sender, to.clone(), ());
    let mut current = from.clone();
    loop {
        match routed.forward(&net.nodes[&current].view) {
            Forward::Deliver { .. } => return Ok(()),
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

fn check_agreement(cut_links: &[(usize, usize)], restarts: &[usize]) -> Result<(), String> {
    let mut net = Net::fleet(1, &ZONES, ROUTERS);
    net.run(Duration::from_secs(5));
    for (a, b) in cut_links {
        net.cut_links
            .insert(pair(&host(a % ROUTERS), &host(b % ROUTERS)));
    }
    for number in restarts {
        let list = net.router_list();
        let host = host(number % ROUTERS);
        let incarnation = net.nodes[&host].view.me().incarnation + 1;
        net.start(&host, "z0", incarnation, &ZONES);
        net.handle_event(&host, Event::Hosts(list));
        net.step();
    }
    net.run(CONVERGENCE_TIME);
    check(&net)
}

#[test]
fn chain_of_links_is_one_component() {
    let cut_links = [(0, 2), (0, 3), (0, 4), (1, 3), (1, 4), (2, 4)];
    check_agreement(&cut_links, &[]).unwrap();
    check_agreement(&cut_links, &[2]).unwrap();
}

#[test]
fn routers_agree_for_any_graph_of_links() {
    let property: fn(Vec<(usize, usize)>, Vec<usize>) -> TestResult = |cut_links, restarts| {
        let count = cut_links.len() % 11;
        match check_agreement(&cut_links[..count], &restarts[..restarts.len().min(5)]) {
            Ok(()) => TestResult::passed(),
            Err(e) => TestResult::error(e),
        }
    };
    checker().tests(30).quickcheck(property);
}
