//! A view neither declares others dead rashly nor holds on to what was replaced.

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
const START: Duration = Duration::from_secs(8);

fn downs(net: &Net, host: &str) -> usize {
    let told = &net.nodes[host].told;
    let down = |(_, action): &&(Duration, Action)| matches!(action, Action::MemberDown { .. });
    told.iter().filter(down).count()
}

#[test]
fn a_paused_process_that_wakes_declares_nobody_dead() {
    let mut net = Net::fleet(1, &ZONES, 4);
    net.run(START);
    let host = host_name("z0", 1);
    net.pause(&host, true);
    net.run(Duration::from_secs(30));
    net.pause(&host, false);
    net.run(Duration::from_secs(5));
    assert_eq!(downs(&net, &host), 0);
    let woke = |(_, action): &(Duration, Action)| matches!(action, Action::PauseDetected { .. });
    assert!(net.nodes[&host].told.iter().any(woke));
    // The others had given it up, and have it back.
    let other = host_name("z0", 0);
    assert_eq!(downs(&net, &other), 1);
    assert_eq!(net.nodes[&other].view.members().count(), 4);
}

#[test]
fn a_silent_peer_is_given_up_after_missed_beats() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(START);
    let host = host_name("z0", 1);
    net.pause(&host, true);
    net.run(Duration::from_secs(2));
    let other = host_name("z0", 0);
    assert_eq!(net.nodes[&other].view.members().count(), 3);
    net.run(Duration::from_secs(2));
    assert_eq!(net.nodes[&other].view.members().count(), 2);
}

#[test]
fn a_new_incarnation_takes_the_place_of_the_old_at_once() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(START);
    let host = host_name("z0", 1);
    net.start(&host, "z0", 5, &ZONES);
    let list = net.router_list();
    net.tell(&host, Event::Hosts(list));
    net.run(Duration::from_secs(1));
    let fresh = Member {
        host,
        incarnation: 5,
    };
    for node in net
        .nodes
        .values()
        .filter(|n| n.view.me().host.starts_with("z0"))
    {
        assert!(node.view.members().any(|m| *m == fresh));
        assert_eq!(node.view.members().count(), 3);
    }
}

#[test]
fn news_of_an_older_incarnation_change_nothing() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(START);
    let at = host_name("z0", 0);
    let old = Member {
        host: host_name("z0", 1),
        incarnation: 0,
    };
    net.tell(
        &at,
        Event::LinkDown {
            member: old.clone(),
        },
    );
    net.tell(
        &at,
        Event::LinkUp {
            member: old,
            zone: "z0".to_owned(),
            addr: "127.0.0.1:1".parse().unwrap(),
        },
    );
    net.run(Duration::from_secs(2));
    assert_eq!(downs(&net, &at), 0);
    assert_eq!(net.nodes[&at].view.members().count(), 3);
}

#[test]
fn a_draining_router_loses_its_duties_everywhere_and_stays_reachable() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(START);
    let duties: Vec<String> = (0..50).map(|n| format!("duty {n}")).collect();
    let draining = host_name("z0", 1);
    net.tell(&draining, Event::Drain);
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
fn a_table_in_force_is_told_to_peers_at_once() {
    let mut net = Net::fleet(1, &ZONES, 3);
    net.run(START);
    let table = TableVersion {
        generation: 12,
        change: "c12".to_owned(),
    };
    net.tell(&host_name("z0", 0), Event::Table(table.clone()));
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

/// Gives the view a link to b and a first beat of b with these records.
fn hear_b(view: &mut View, records: Vec<Record>) {
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
fn only_routers_that_hear_each_other_are_joined() {
    let cases = [
        Case {
            name: "b hears us",
            records: vec![record("b", 1, &["a"])],
            live: &["a", "b"],
        },
        Case {
            name: "b does not hear us",
            records: vec![record("b", 1, &[])],
            live: &["a"],
        },
        Case {
            name: "b hears c, and c hears b",
            records: vec![record("b", 1, &["a", "c"]), record("c", 1, &["b"])],
            live: &["a", "b", "c"],
        },
        Case {
            name: "b hears c, but c does not hear b",
            records: vec![record("b", 1, &["a", "c"]), record("c", 1, &[])],
            live: &["a", "b"],
        },
        Case {
            name: "c says that it hears all, but nobody hears it",
            records: vec![record("b", 1, &["a"]), record("c", 1, &["a", "b"])],
            live: &["a", "b"],
        },
        Case {
            name: "an older record comes late",
            records: vec![record("b", 2, &["a"]), record("b", 1, &[])],
            live: &["a", "b"],
        },
    ];
    for case in cases {
        let mut view = view(Vec::new());
        hear_b(&mut view, case.records);
        assert_eq!(live(&view), case.live, "{}", case.name);
    }
}

#[test]
fn seeds_are_dialed_until_others_are_known() {
    let (seed, own) = (addr(2), addr(1));
    let mut view = view(vec![seed, own]);
    let first = view.handle(Event::Tick, STEP);
    let dialed = [seed, own].map(|addr| Action::ConnectSeed { addr });
    assert_eq!(first[..2], dialed);
    hear_b(&mut view, vec![record("b", 1, &["a"])]);
    let mut given_up = Vec::new();
    for step in 2..400 {
        let heartbeat = Heartbeat {
            count: u64::from(step),
            ..Heartbeat::default()
        };
        let from = member("b");
        view.handle(Event::Heartbeat { from, heartbeat }, STEP * step);
        let actions = view.handle(Event::Tick, STEP * step);
        let seeds = |a: &Action| matches!(a, Action::DisconnectSeed { .. });
        given_up.extend(actions.into_iter().filter(seeds));
    }
    let want = [seed, own].map(|addr| Action::DisconnectSeed { addr });
    assert_eq!(given_up, want);
    // All links are lost, so the seeds are needed again.
    let member = member("b");
    view.handle(Event::LinkDown { member }, STEP * 400);
    let again = view.handle(Event::Tick, STEP * 400);
    assert!(dialed.iter().all(|action| again.contains(action)));
}

#[test]
fn a_part_of_the_zone_that_only_a_report_shows_is_dialed() {
    let mut view = view(Vec::new());
    let x = member("x");
    let up = Event::LinkUp {
        member: x.clone(),
        zone: "z1".to_owned(),
        addr: addr(3),
    };
    view.handle(up, STEP);
    // Its own report of the zone, of itself alone, is the first.
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
    // Meanwhile it has corrected the report, and still dials.
    let later = view.handle(Event::Tick, STEP * 60);
    let host = "c".to_owned();
    assert!(!later.contains(&Action::Disconnect { host }));
}
