//! Leaving marks reach every router within seconds, and are neither lost nor revived.

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
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time after which a fleet that has started has converged.
const STARTUP_TIME: Duration = Duration::from_secs(10);
/// Time within which lost marks are resent: 5 heartbeats for each of four links.
const REPAIR_TIME: Duration = Duration::from_secs(20);

fn host_list(net: &Net, servers: &[Host]) -> Event {
    let mut host_list = net.router_list();
    host_list.extend_from_slice(servers);
    Event::Hosts(host_list)
}

#[test]
fn mark_seen_by_one_router_reaches_all() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(STARTUP_TIME);
    let leaving = server_entry("s1", 7, HostState::Leaving);
    let event = host_list(&net, &[leaving]);
    net.handle_event(&host_name("z1", 2), event);
    net.run(PROPAGATION_TIME);
    for (host, node) in &net.nodes {
        assert!(node.view.is_leaving("s1", 7), "{host}");
        assert!(node.view.is_leaving("s1", 6), "{host}");
        assert!(!node.view.is_leaving("s1", 8), "{host}");
        let is_announcement = |(_, action): &&(Duration, Action)| {
            *action
                == Action::ServerLeaving {
                    host: "s1".to_owned(),
                    incarnation: 7,
                }
        };
        assert_eq!(
            node.emitted.iter().filter(is_announcement).count(),
            1,
            "{host}"
        );
    }
}

#[test]
fn restarted_router_learns_marks_from_its_peers() {
    let mut net = Net::fleet(1, &ZONES, 3);
    let leaving = server_entry("s1", 7, HostState::Leaving);
    let event = host_list(&net, &[leaving]);
    net.handle_event(&host_name("z0", 0), event);
    net.run(STARTUP_TIME);
    let restarted = host_name("z2", 1);
    net.start(&restarted, "z2", 2, &ZONES);
    // Its own host list is out of date and shows the server as live.
    let event = host_list(&net, &[server_entry("s1", 7, HostState::Live)]);
    net.handle_event(&restarted, event);
    net.run(PROPAGATION_TIME);
    assert!(net.nodes[&restarted].view.is_leaving("s1", 7));
}

#[test]
fn marks_of_removed_hosts_expire_everywhere() {
    let mut net = Net::fleet(1, &[("z0", "")], 2);
    let event = host_list(&net, &[server_entry("s1", 7, HostState::Leaving)]);
    net.handle_event(&host_name("z0", 0), event);
    net.run(Duration::from_secs(590));
    assert!(net.nodes.values().all(|n| n.view.is_leaving("s1", 7)));
    net.run(Duration::from_secs(30));
    assert!(net.nodes.values().all(|n| !n.view.is_leaving("s1", 7)));
}

#[test]
fn mark_is_kept_while_any_router_lists_the_host() {
    let mut net = Net::fleet(1, &ZONES, 1);
    net.run(STARTUP_TIME);
    let event = host_list(&net, &[server_entry("s1", 7, HostState::Leaving)]);
    for _ in 0..70 {
        net.handle_event(&host_name("z0", 0), event.clone());
        net.run(Duration::from_secs(20));
    }
    for (host, node) in &net.nodes {
        assert!(node.view.is_leaving("s1", 7), "{host}");
        // A mark that had expired in between would have been reported again.
        let is_announcement =
            |(_, action): &&(Duration, Action)| matches!(action, Action::ServerLeaving { .. });
        assert_eq!(
            node.emitted.iter().filter(is_announcement).count(),
            1,
            "{host}"
        );
    }
}

#[test]
fn received_marks_keep_their_age() {
    let mut net = Net::fleet(1, &[("z0", "")], 2);
    net.run(STARTUP_TIME);
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
    // The time since the start must exceed the maximum age of a mark.
    net.run(Duration::from_secs(600));
    net.handle_event(&a, Event::Heartbeat { from, heartbeat });
    assert!(net.nodes[&a].view.is_leaving("s1", 7));
    assert!(!net.nodes[&a].view.is_leaving("s2", 7));
    net.run(Duration::from_secs(15));
    assert!(net.nodes.values().all(|n| !n.view.is_leaving("s1", 7)));
}

/// Host lists, possibly out of date: router, server, incarnation, leaving, steps to wait after it.
type ListUpdates = Vec<(u8, u8, u8, bool, u8)>;

fn check_marks_only_advance(updates: &ListUpdates) -> Result<(), String> {
    let mut net = Net::fleet(3, &ZONES, 2);
    net.run(STARTUP_TIME);
    net.loss = 300;
    net.duplication = 300;
    net.delay = 40;
    let hosts: Vec<HostId> = net.nodes.keys().cloned().collect();
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    for (router, server, incarnation, leaving, steps) in updates {
        let name = format!("s{}", server % 3);
        let incarnation = u64::from(incarnation % 4);
        let state = if *leaving {
            let highest_leaving = highest.entry(name.clone()).or_default();
            *highest_leaving = incarnation.max(*highest_leaving);
            HostState::Leaving
        } else {
            HostState::Live
        };
        let router = &hosts[usize::from(*router) % hosts.len()];
        let event = host_list(&net, &[server_entry(&name, incarnation, state)]);
        net.handle_event(router, event);
        if !net.nodes[router].view.is_leaving(&name, incarnation) && *leaving {
            return Err(format!("{router} ignores its own host list"));
        }
        (0..steps % 20).for_each(|_| net.step());
    }
    net.loss = 0;
    net.delay = 1;
    net.run(REPAIR_TIME);
    check(&net, &highest)
}

fn check(net: &Net, highest: &BTreeMap<String, u64>) -> Result<(), String> {
    for (host, node) in &net.nodes {
        for (server, highest_leaving) in highest {
            if !node.view.is_leaving(server, *highest_leaving) {
                return Err(format!("{host} has lost the mark of {server}"));
            }
            if node.view.is_leaving(server, highest_leaving + 1) {
                return Err(format!("{host} has marked a new incarnation of {server}"));
            }
        }
        let mut last: BTreeMap<&String, u64> = BTreeMap::new();
        for (_, action) in &node.emitted {
            let Action::ServerLeaving {
                host: server,
                incarnation,
            } = action
            else {
                continue;
            };
            let previous = last.insert(server, *incarnation);
            if previous.is_some_and(|previous| previous >= *incarnation) {
                return Err(format!(
                    "{host} reported incarnations of {server} out of order"
                ));
            }
        }
    }
    Ok(())
}

#[test]
fn marks_only_advance_under_any_interleaving() {
    let property: fn(ListUpdates) -> TestResult = |updates| match check_marks_only_advance(&updates)
    {
        Ok(()) => TestResult::passed(),
        Err(e) => TestResult::error(e),
    };
    checker().tests(15).quickcheck(property);
}
