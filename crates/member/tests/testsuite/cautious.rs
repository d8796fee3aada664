//! A view neither declares others dead rashly nor holds on to what was replaced.

use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::id::Member;
use primrose_member::Action;
use primrose_member::Event;
use primrose_member::TableMark;

use crate::net::host_name;
use crate::net::Net;

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
    let woke = |(_, action): &(Duration, Action)| matches!(action, Action::Woke { .. });
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
    let table = TableMark {
        generation: 12,
        change: "c12".to_owned(),
    };
    net.tell(&host_name("z0", 0), Event::Table(table.clone()));
    net.run(Duration::from_millis(200));
    let (from, newest) = net.nodes[&host_name("z0", 2)].view.newest_table().unwrap();
    assert_eq!(from.host, host_name("z0", 0));
    assert_eq!(*newest, table);
}

#[test]
fn seeds_are_dialed_until_others_are_known() {
    let me = Member {
        host: "a".to_owned(),
        incarnation: 1,
    };
    let seed = "127.0.0.1:7400".parse().unwrap();
    let own = "127.0.0.1:7401".parse().unwrap();
    let mut settings = primrose_member::Settings::new(me, "z0".to_owned(), own);
    settings.seeds = vec![seed, own];
    let mut view = primrose_member::View::new(settings, Duration::ZERO);
    let actions = view.handle(Event::Tick, Duration::from_millis(50));
    let dialed = [seed, own].map(|addr| Action::ConnectSeed { addr });
    assert_eq!(actions[..2], dialed);
    let up = Event::LinkUp {
        member: Member {
            host: "b".to_owned(),
            incarnation: 1,
        },
        zone: "z0".to_owned(),
        addr: seed,
    };
    view.handle(up, Duration::from_millis(100));
    let mut later = Vec::new();
    for step in 3..400 {
        later.extend(view.handle(Event::Tick, Duration::from_millis(step * 50)));
    }
    let given_up: BTreeSet<String> = later
        .iter()
        .filter(|a| matches!(a, Action::DisconnectSeed { .. }))
        .map(|a| format!("{a:?}"))
        .collect();
    // The peer has sent no record yet, so nobody else is known and the seeds stay.
    assert!(given_up.is_empty(), "{given_up:?}");
}
