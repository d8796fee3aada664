//! Suspect requests run alone, on one server of the pool.

use std::collections::BTreeMap;

use primrose_dispatch::dispatcher::Event;
use primrose_dispatch::message::Body;
use primrose_dispatch::message::Demand;
use primrose_dispatch::message::Digest;
use primrose_dispatch::message::Ending;
use primrose_dispatch::message::Finished;
use primrose_dispatch::message::LoanReturn;
use primrose_dispatch::message::Seen;

use crate::build::finished;
use crate::build::member;
use crate::build::registration;
use crate::build::seconds;
use crate::build::Bench;

fn suspect(bench: &mut Bench, request: u64) {
    let mut registration = registration(request, "a");
    registration.suspect = true;
    bench.register_with(registration);
}

#[test]
fn suspects_run_alone_on_one_server() {
    let mut bench = Bench::new((2, 2), &["s0", "s1"]);
    for request in 1..=4 {
        bench.register(request, "a");
    }
    suspect(&mut bench, 10);
    suspect(&mut bench, 11);
    let apart = bench.dispatcher.status(bench.now);
    let apart = apart.servers.iter().find(|s| s.apart).unwrap();
    let apart = apart.server.clone();
    let on: Vec<_> = bench.grants.iter().filter(|g| g.server == apart).collect();
    let on: Vec<_> = on.iter().map(|g| g.attempt.request).collect();
    bench.register(5, "a");
    bench.finish(on[0], Ending::Done);
    assert_eq!(bench.grants.len(), 4, "the server is being emptied");
    bench.finish(on[1], Ending::Done);
    assert_eq!(bench.granted()[4..], [10]);
    bench.finish(10, Ending::Done);
    assert_eq!(bench.granted()[4..], [10, 11]);
    bench.finish(11, Ending::Done);
    assert_eq!(bench.granted()[4..], [10, 11, 5]);
}

/// The zone that comes first by name hosts all suspects; the others ask it.
#[test]
fn suspects_of_other_zones_go_to_the_first_zone() {
    let mut bench = Bench::new((2, 2), &["s0"]);
    let peers = BTreeMap::from([("z0".to_owned(), Some(member("p0")))]);
    bench.tell(Event::Peers(peers));
    suspect(&mut bench, 10);
    assert_eq!(bench.granted(), []);
    let mut demands = bench.sent.iter().filter_map(|(_, body)| match body {
        Body::Demand(demand) => Some(demand.suspects),
        _ => None,
    });
    assert_eq!(demands.next_back(), Some(1));

    let peers = BTreeMap::from([("z2".to_owned(), Some(member("p2")))]);
    let mut host = Bench::new((2, 2), &["s0", "s1"]);
    host.tell(Event::Peers(peers));
    let demand = Demand {
        sequence: 1,
        seen: Seen::default(),
        wants: Vec::new(),
        suspects: 2,
    };
    host.hear("p2", Body::Demand(demand));
    let loans = |bench: &Bench| {
        let loan = |(_, body): &(_, Body)| match body {
            Body::Loan(loan) => Some(loan.clone()),
            _ => None,
        };
        bench.sent.iter().filter_map(loan).collect::<Vec<_>>()
    };
    let lent = loans(&host);
    assert_eq!(lent.len(), 1, "one at a time");
    assert!(lent[0].suspect);
    // Nothing else runs beside it.
    for request in 1..=3 {
        host.register(request, "a");
    }
    assert_eq!(host.on(&lent[0].server), 0);
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
    host.hear("p2", Body::LoanReturn(over));
    assert_eq!(loans(&host).len(), 2);
}

/// A zone whose name comes first but which has no server does not host them.
#[test]
fn zone_without_servers_does_not_host_suspects() {
    let mut bench = Bench::new((2, 2), &["s0"]);
    let peers = BTreeMap::from([("z0".to_owned(), Some(member("p0")))]);
    bench.tell(Event::Peers(peers));
    suspect(&mut bench, 10);
    assert_eq!(bench.granted(), []);
    let digest = Digest {
        sequence: 1,
        age: 1000,
        rows: Vec::new(),
        waiting: Vec::new(),
        hosts: false,
        loans: None,
    };
    bench.hear("p0", Body::Digest(digest));
    assert_eq!(bench.granted(), [10]);
}

/// A flood of suspects does not keep the pool's only server from the others.
#[test]
fn only_server_serves_others_between_suspects() {
    let mut bench = Bench::new((1, 1), &["s0"]);
    for request in 10..15 {
        suspect(&mut bench, request);
    }
    bench.register(1, "b");
    assert_eq!(bench.granted(), [10]);
    bench.finish(10, Ending::Done);
    assert_eq!(bench.granted(), [10, 1]);
    bench.finish(1, Ending::Done);
    bench.pass(seconds(1.9));
    bench.renew(vec![]);
    assert_eq!(bench.granted(), [10, 1]);
    bench.pass(seconds(0.2));
    assert_eq!(bench.granted(), [10, 1, 11]);
}
