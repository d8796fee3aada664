//! Leaving marks reach every router quickly, and are neither lost nor revived.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_core::id::HostId;
use primrose_member::Action;
use primrose_member::Event;
use primrose_member::Heartbeat;
use primrose_member::LeavingMark;
use primrose_support::seeded::checker;
use quickcheck::TestResult;

use crate::net::host_name;
use crate::net::server_entry;
use crate::net::Net;

const ZONES: [(&str, &str); 3] = [("z0", ""), ("z1", ""), ("z2", "")];
/// Time within which all reachable routers know of a leaving server.
const SPREAD: Duration = Duration::from_secs(3);
/// Time after which a fleet that has started is at rest.
const START: Duration = Duration::from_secs(10);
/// Time in which lost news are repaired: 5 beats for each of four links.
const REPAIR: Duration = Duration::from_secs(20);

fn list(net: &Net, servers: &[Host]) -> Event {
    let mut list = net.router_list();
    list.extend_from_slice(servers);
    Event::Hosts(list)
}

#[test]
fn one_router_that_sees_the_list_suffices() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(START);
    let leaving = server_entry("s1", 7, HostState::Leaving);
    let event = list(&net, &[leaving]);
    net.tell(&host_name("z1", 2), event);
    net.run(SPREAD);
    for (host, node) in &net.nodes {
        assert!(node.view.is_leaving("s1", 7), "{host}");
        assert!(node.view.is_leaving("s1", 6), "{host}");
        assert!(!node.view.is_leaving("s1", 8), "{host}");
        let said = |(_, action): &&(Duration, Action)| {
            *action
                == Action::ServerLeaving {
                    host: "s1".to_owned(),
                    incarnation: 7,
                }
        };
        assert_eq!(node.told.iter().filter(said).count(), 1, "{host}");
    }
}

#[test]
fn an_empty_restart_learns_the_marks_from_its_peers() {
    let mut net = Net::fleet(1, &ZONES, 3);
    let leaving = server_entry("s1", 7, HostState::Leaving);
    let event = list(&net, &[leaving]);
    net.tell(&host_name("z0", 0), event);
    net.run(START);
    let restarted = host_name("z2", 1);
    net.start(&restarted, "z2", 2, &ZONES);
    // Its own list lags and shows the server live.
    let event = list(&net, &[server_entry("s1", 7, HostState::Live)]);
    net.tell(&restarted, event);
    net.run(SPREAD);
    assert!(net.nodes[&restarted].view.is_leaving("s1", 7));
}

#[test]
fn marks_of_hosts_that_are_gone_are_forgotten_everywhere() {
    let mut net = Net::fleet(1, &[("z0", "")], 2);
    let event = list(&net, &[server_entry("s1", 7, HostState::Leaving)]);
    net.tell(&host_name("z0", 0), event);
    net.run(Duration::from_secs(590));
    assert!(net.nodes.values().all(|n| n.view.is_leaving("s1", 7)));
    net.run(Duration::from_secs(30));
    assert!(net.nodes.values().all(|n| !n.view.is_leaving("s1", 7)));
}

#[test]
fn a_mark_lasts_while_any_router_sees_the_host_in_its_list() {
    let mut net = Net::fleet(1, &ZONES, 1);
    net.run(START);
    let event = list(&net, &[server_entry("s1", 7, HostState::Leaving)]);
    for _ in 0..70 {
        net.tell(&host_name("z0", 0), event.clone());
        net.run(Duration::from_secs(20));
    }
    for (host, node) in &net.nodes {
        assert!(node.view.is_leaving("s1", 7), "{host}");
        // A mark that had been forgotten in between would have been told again.
        let said =
            |(_, action): &&(Duration, Action)| matches!(action, Action::ServerLeaving { .. });
        assert_eq!(node.told.iter().filter(said).count(), 1, "{host}");
    }
}

#[test]
fn the_age_of_a_mark_travels_with_it() {
    let mut net = Net::fleet(1, &[("z0", "")], 2);
    net.run(START);
    let (a, b) = (host_name("z0", 0), host_name("z0", 1));
    let from = net.nodes[&b].view.me().clone();
    let old = LeavingMark {
        host: "s1".to_owned(),
        incarnation: 7,
        age: 590,
    };
    let expired = LeavingMark {
        host: "s2".to_owned(),
        age: 600,
        ..old.clone()
    };
    let heartbeat = Heartbeat {
        count: u64::MAX,
        leaving: vec![old, expired],
        ..Heartbeat::default()
    };
    // The clock must have run for longer than a mark can be old.
    net.run(Duration::from_secs(600));
    net.tell(&a, Event::Heartbeat { from, heartbeat });
    assert!(net.nodes[&a].view.is_leaving("s1", 7));
    assert!(!net.nodes[&a].view.is_leaving("s2", 7));
    net.run(Duration::from_secs(15));
    assert!(net.nodes.values().all(|n| !n.view.is_leaving("s1", 7)));
}

/// Shows of host lists, late and crossed: which router, which server, incarnation, leaving.
type Shows = Vec<(u8, u8, u8, bool, u8)>;

fn marks_only_grow(shows: &Shows) -> Result<(), String> {
    let mut net = Net::fleet(3, &ZONES, 2);
    net.run(START);
    net.loss = 300;
    net.doubling = 300;
    net.delay = 40;
    let hosts: Vec<HostId> = net.nodes.keys().cloned().collect();
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    for (router, server, incarnation, leaving, steps) in shows {
        let name = format!("s{}", server % 3);
        let incarnation = u64::from(incarnation % 4);
        let state = if *leaving {
            let top = highest.entry(name.clone()).or_default();
            *top = incarnation.max(*top);
            HostState::Leaving
        } else {
            HostState::Live
        };
        let router = &hosts[usize::from(*router) % hosts.len()];
        let event = list(&net, &[server_entry(&name, incarnation, state)]);
        net.tell(router, event);
        if !net.nodes[router].view.is_leaving(&name, incarnation) && *leaving {
            return Err(format!("{router} does not believe its own list"));
        }
        (0..steps % 20).for_each(|_| net.step());
    }
    net.loss = 0;
    net.delay = 1;
    net.run(REPAIR);
    check(&net, &highest)
}

fn check(net: &Net, highest: &BTreeMap<String, u64>) -> Result<(), String> {
    for (host, node) in &net.nodes {
        for (server, top) in highest {
            if !node.view.is_leaving(server, *top) {
                return Err(format!("{host} has lost the mark of {server}"));
            }
            if node.view.is_leaving(server, top + 1) {
                return Err(format!("{host} marks a new incarnation of {server}"));
            }
        }
        let mut last: BTreeMap<&String, u64> = BTreeMap::new();
        for (_, action) in &node.told {
            let Action::ServerLeaving {
                host: s,
                incarnation,
            } = action
            else {
                continue;
            };
            let before = last.insert(s, *incarnation);
            if before.is_some_and(|before| before >= *incarnation) {
                return Err(format!("{host} went back on {s}"));
            }
        }
    }
    Ok(())
}

#[test]
fn marks_only_grow_under_any_interleaving() {
    let property: fn(Shows) -> TestResult = |shows| match marks_only_grow(&shows) {
        Ok(()) => TestResult::passed(),
        Err(e) => TestResult::error(e),
    };
    checker().tests(15).quickcheck(property);
}
