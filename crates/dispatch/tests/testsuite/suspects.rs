//! Suspect requests run alone on the isolation server.

use std::collections::BTreeMap;

use primrose_dispatch::dispatcher::Event;
use primrose_dispatch::message::Body;
use primrose_dispatch::message::Demand;
use primrose_dispatch::message::Digest;
use primrose_dispatch::message::Ending;
use primrose_dispatch::message::Finished;
use primrose_dispatch::message::LoanReturn;
use primrose_dispatch::message::Seen;

use crate::harness::finished;
use crate::harness::member;
use crate::harness::registration;
use crate::harness::seconds;
use crate::harness::DispatcherHarness;

fn suspect(harness: &mut DispatcherHarness, request: u64) {
    let mut registration = registration(request, "a");
    registration.suspect = true;
    harness.register_with(registration);
}

#[test]
fn suspects_run_alone_on_one_server() {
    let mut harness = DispatcherHarness::new((2, 2), &["s0", "s1"]);
    for request in 1..=4 {
        harness.register(request, "a");
    }
    suspect(&mut harness, 10);
    suspect(&mut harness, 11);
    let apart = harness.dispatcher.status(harness.now);
    let apart = apart.servers.iter().find(|s| s.apart).unwrap();
    let apart = apart.server.clone();
    let on: Vec<_> = harness
        .grants
        .iter()
        .filter(|g| g.server == apart)
        .collect();
    let on: Vec<_> = on.iter().map(|g| g.attempt.request).collect();
    harness.register(5, "a");
    harness.finish(on[0], Ending::Done);
    assert_eq!(
        harness.grants.len(),
        4,
        "the isolation server is being drained"
    );
    harness.finish(on[1], Ending::Done);
    assert_eq!(harness.granted()[4..], [10]);
    harness.finish(10, Ending::Done);
    assert_eq!(harness.granted()[4..], [10, 11]);
    harness.finish(11, Ending::Done);
    assert_eq!(harness.granted()[4..], [10, 11, 5]);
}

/// The first zone by name hosts all suspects; the other zones borrow its slot.
#[test]
fn suspects_of_other_zones_go_to_the_first_zone() {
    let mut harness = DispatcherHarness::new((2, 2), &["s0"]);
    let peers = BTreeMap::from([("z0".to_owned(), Some(member("p0")))]);
    harness.handle(Event::Peers(peers));
    suspect(&mut harness, 10);
    assert_eq!(harness.granted(), []);
    let mut demands = harness.sent.iter().filter_map(|(_, body)| match body {
        Body::Demand(demand) => Some(demand.suspects),
        _ => None,
    });
    assert_eq!(demands.next_back(), Some(1));

    let peers = BTreeMap::from([("z2".to_owned(), Some(member("p2")))]);
    let mut host = DispatcherHarness::new((2, 2), &["s0", "s1"]);
    host.handle(Event::Peers(peers));
    let demand = Demand {
        sequence: 1,
        seen: Seen::default(),
        wants: Vec::new(),
        suspects: 2,
    };
    host.receive("p2", Body::Demand(demand));
    let loans = |harness: &DispatcherHarness| {
        let loan = |(_, body): &(_, Body)| match body {
            Body::Loan(loan) => Some(loan.clone()),
            _ => None,
        };
        harness.sent.iter().filter_map(loan).collect::<Vec<_>>()
    };
    let lent = loans(&host);
    assert_eq!(lent.len(), 1, "one at a time");
    assert!(lent[0].suspect);
    // No other request runs on the isolation server meanwhile.
    for request in 1..=3 {
        host.register(request, "a");
    }
    assert_eq!(host.grants_on(&lent[0].server), 0);
    assert_eq!(host.grants.len(), 2);
    let finished = Finished {
        used: 1,
        ..finished(10, Ending::Done)
    };
    let over = LoanReturn {
        id: lent[0].id,
        finished: Some(finished),
        orphaned: false,
    };
    host.receive("p2", Body::LoanReturn(over));
    assert_eq!(loans(&host).len(), 2);
}

/// A zone that is first by name but has no server does not host suspects.
#[test]
fn zone_without_servers_does_not_host_suspects() {
    let mut harness = DispatcherHarness::new((2, 2), &["s0"]);
    let peers = BTreeMap::from([("z0".to_owned(), Some(member("p0")))]);
    harness.handle(Event::Peers(peers));
    suspect(&mut harness, 10);
    assert_eq!(harness.granted(), []);
    let digest = Digest {
        sequence: 1,
        age: 1000,
        rows: Vec::new(),
        waiting: Vec::new(),
        hosts: false,
        loans: None,
    };
    harness.receive("p0", Body::Digest(digest));
    assert_eq!(harness.granted(), [10]);
}

/// A flood of suspects does not keep other requests from the pool's only server.
#[test]
fn only_server_runs_other_requests_between_suspects() {
    let mut harness = DispatcherHarness::new((1, 1), &["s0"]);
    for request in 10..15 {
        suspect(&mut harness, request);
    }
    harness.register(1, "b");
    assert_eq!(harness.granted(), [10]);
    harness.finish(10, Ending::Done);
    assert_eq!(harness.granted(), [10, 1]);
    harness.finish(1, Ending::Done);
    harness.advance(seconds(1.9));
    harness.renew(vec![]);
    assert_eq!(harness.granted(), [10, 1]);
    harness.advance(seconds(0.2));
    assert_eq!(harness.granted(), [10, 1, 11]);
}
