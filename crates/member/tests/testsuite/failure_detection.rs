//! A view removes dead and replaced routers, and no others.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::id::Member;
use primrose_member::Action;
use primrose_member::Event;
use primrose_member::Heartbeat;
use primrose_member::MemberEntry;
use primrose_member::Record;
use primrose_member::Report;
use primrose_member::Settings;
use primrose_member::TableVersion;
use primrose_member::View;

use crate::net::host_name;
use crate::net::Net;
use crate::net::STEP;

const ZONES: [(&str, &str); 2] = [("z0", ""), ("z1", "")];
const STARTUP_TIME: Duration = Duration::from_secs(8);

fn member_down_count(net: &Net, host: &str) -> usize {
    let emitted = &net.nodes[host].emitted;
    let is_member_down =
        |(_, action): &&(Duration, Action)| matches!(action, Action::MemberDown { .. });
    emitted.iter().filter(is_member_down).count()
}

#[test]
fn resumed_process_does_not_declare_peers_dead() {
    let mut net = Net::fleet(1, &ZONES, 4);
    net.run(STARTUP_TIME);
    let host = host_name("z0", 1);
    net.pause(&host, true);
    net.run(Duration::from_secs(30));
    net.pause(&host, false);
    net.run(Duration::from_secs(5));
    assert_eq!(member_down_count(&net, &host), 0);
    let is_pause =
        |(_, action): &(Duration, Action)| matches!(action, Action::PauseDetected { .. });
    assert!(net.nodes[&host].emitted.iter().any(is_pause));
    // The other routers had removed it, and have added it again.
    let other = host_name("z0", 0);
    assert_eq!(member_down_count(&net, &other), 1);
    assert_eq!(net.nodes[&other].view.members().count(), 4);
}

#[test]
fn silent_peer_is_removed_after_missed_heartbeats() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(STARTUP_TIME);
    let host = host_name("z0", 1);
    net.pause(&host, true);
    net.run(Duration::from_secs(2));
    let other = host_name("z0", 0);
    assert_eq!(net.nodes[&other].view.members().count(), 3);
    net.run(Duration::from_secs(2));
    assert_eq!(net.nodes[&other].view.members().count(), 2);
}

#[test]
fn new_incarnation_replaces_the_old_one_at_once() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(STARTUP_TIME);
    let host = host_name("z0", 1);
    net.start(&host, "z0", 5, &ZONES);
    let list = net.router_list();
    net.handle_event(&host, Event::Hosts(list));
    net.run(Duration::from_secs(1));
    let restarted = Member {
        host,
        incarnation: 5,
    };
    for node in net
        .nodes
        .values()
        .filter(|n| n.view.me().host.starts_with("z0"))
    {
        assert!(node.view.members().any(|m| *m == restarted));
        assert_eq!(node.view.members().count(), 3);
    }
}

#[test]
fn events_of_an_older_incarnation_are_ignored() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(STARTUP_TIME);
    let host = host_name("z0", 0);
    let old = Member {
        host: host_name("z0", 1),
        incarnation: 0,
    };
    net.handle_event(
        &host,
        Event::LinkDown {
            member: old.clone(),
        },
    );
    net.handle_event(
        &host,
        Event::LinkUp {
            member: old,
            zone: "z0".to_owned(),
            addr: "127.0.0.1:1".parse().unwrap(),
        },
    );
    net.run(Duration::from_secs(2));
    assert_eq!(member_down_count(&net, &host), 0);
    assert_eq!(net.nodes[&host].view.members().count(), 3);
}

#[test]
fn draining_router_loses_its_duties_and_stays_reachable() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(STARTUP_TIME);
    let duties: Vec<String> = (0..50).map(|n| format!("duty {n}")).collect();
    let draining = host_name("z0", 1);
    net.handle_event(&draining, Event::Drain);
    net.run(Duration::from_secs(2));
    for node in net.nodes.values() {
        for duty in &duties {
            let holder = node.view.holder_in("z0", duty).unwrap();
            assert_ne!(holder.host, draining);
        }
        let members = node.view.members_in("z0");
        assert!(members.iter().any(|m| m.host == draining));
    }
}

#[test]
fn table_in_force_is_sent_to_peers_at_once() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(STARTUP_TIME);
    let table = TableVersion {
        generation: 12,
        change: "c12".to_owned(),
    };
    net.handle_event(&host_name("z0", 0), Event::Table(table.clone()));
    net.run(Duration::from_millis(200));
    let (from, newest) = net.nodes[&host_name("z0", 2)].view.newest_table().unwrap();
    assert_eq!(from.host, host_name("z0", 0));
    assert_eq!(*newest, table);
}

fn view(seeds: Vec<SocketAddr>) -> View {
    let mut settings = Settings::new(member("a"), "z0".to_owned(), addr(1));
    settings.seeds = seeds;
    View::new(settings, Duration::ZERO)
}

fn member(host: &str) -> Member {
    Member {
        host: host.to_owned(),
        incarnation: 1,
    }
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record(host: &str, version: u64, links: &[&str]) -> Record {
    Record {
        member: member(host),
        version,
        addr: addr(2),
        draining: false,
        links: links.iter().map(|link| link.to_string()).collect(),
        gates: Vec::new(),
    }
}

/// Passes the view a link to b and a first heartbeat of b with these records.
fn receive_from_b(view: &mut View, records: Vec<Record>) {
    let up = Event::LinkUp {
        member: member("b"),
        zone: "z0".to_owned(),
        addr: addr(2),
    };
    view.handle(up, STEP);
    let heartbeat = Heartbeat {
        count: 1,
        records,
        ..Heartbeat::default()
    };
    let from = member("b");
    view.handle(Event::Heartbeat { from, heartbeat }, STEP);
}

fn live(view: &View) -> Vec<&str> {
    view.members().map(|m| m.host.as_str()).collect()
}

struct Case {
    name: &'static str,
    records: Vec<Record>,
    live: &'static [&'static str],
}

#[test]
fn only_routers_with_mutual_links_are_live() {
    let cases = [
        Case {
            name: "b lists a",
            records: vec![record("b", 1, &["a"])],
            live: &["a", "b"],
        },
        Case {
            name: "b does not list a",
            records: vec![record("b", 1, &[])],
            live: &["a"],
        },
        Case {
            name: "b lists c, and c lists b",
            records: vec![record("b", 1, &["a", "c"]), record("c", 1, &["b"])],
            live: &["a", "b", "c"],
        },
        Case {
            name: "b lists c, but c does not list b",
            records: vec![record("b", 1, &["a", "c"]), record("c", 1, &[])],
            live: &["a", "b"],
        },
        Case {
            name: "c lists all, but no other lists c",
            records: vec![record("b", 1, &["a"]), record("c", 1, &["a", "b"])],
            live: &["a", "b"],
        },
        Case {
            name: "an older record arrives late",
            records: vec![record("b", 2, &["a"]), record("b", 1, &[])],
            live: &["a", "b"],
        },
    ];
    for case in cases {
        let mut view = view(Vec::new());
        receive_from_b(&mut view, case.records);
        assert_eq!(live(&view), case.live, "{}", case.name);
    }
}

#[test]
fn seeds_are_dialed_until_other_routers_are_known() {
    let (seed, own) = (addr(2), addr(1));
    let mut view = view(vec![seed, own]);
    let first = view.handle(Event::Tick, STEP);
    let dialed = [seed, own].map(|addr| Action::ConnectSeed { addr });
    assert_eq!(first[..2], dialed);
    receive_from_b(&mut view, vec![record("b", 1, &["a"])]);
    let mut disconnected = Vec::new();
    for step in 2..400 {
        let heartbeat = Heartbeat {
            count: u64::from(step),
            ..Heartbeat::default()
        };
        let from = member("b");
        view.handle(Event::Heartbeat { from, heartbeat }, STEP * step);
        let actions = view.handle(Event::Tick, STEP * step);
        let is_disconnect = |a: &Action| matches!(a, Action::DisconnectSeed { .. });
        disconnected.extend(actions.into_iter().filter(is_disconnect));
    }
    let expected = [seed, own].map(|addr| Action::DisconnectSeed { addr });
    assert_eq!(disconnected, expected);
    // All links are down, so the seeds are needed again.
    let member = member("b");
    view.handle(Event::LinkDown { member }, STEP * 400);
    let again = view.handle(Event::Tick, STEP * 400);
    assert!(dialed.iter().all(|action| again.contains(action)));
}

#[test]
fn routers_known_only_from_a_report_are_dialed() {
    let mut view = view(Vec::new());
    let x = member("x");
    let up = Event::LinkUp {
        member: x.clone(),
        zone: "z1".to_owned(),
        addr: addr(3),
    };
    view.handle(up, STEP);
    // The first report of the zone is its own and lists only itself.
    view.handle(Event::Tick, STEP * 2);
    let report = Report {
        zone: "z0".to_owned(),
        region: String::new(),
        number: 5,
        author: member("c"),
        members: vec![MemberEntry {
            member: member("c"),
            addr: addr(4),
            draining: false,
        }],
        gates: vec!["z1".to_owned()],
    };
    let heartbeat = Heartbeat {
        reports: vec![report],
        ..Heartbeat::default()
    };
    view.handle(Event::Heartbeat { from: x, heartbeat }, STEP * 30);
    let actions = view.handle(Event::Tick, STEP * 31);
    let connect = Action::Connect {
        host: "c".to_owned(),
        addr: addr(4),
    };
    assert!(actions.contains(&connect), "{actions:?}");
    // By now it has overwritten the report, and it still dials the router.
    let later = view.handle(Event::Tick, STEP * 60);
    let host = "c".to_owned();
    assert!(!later.contains(&Action::Disconnect { host }));
}
