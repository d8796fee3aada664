//! The host list's Consul adapter against the stand-in, including its lag.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_standin::hosts::HostRegistry;
use primrose_standin::hosts::Hosts;
use primrose_standin::kv::Kv;
use primrose_standin::kv::KvConfig;
use primrose_standin::runtime::Runtime;
use primrose_store::consul::ConsulConfig;
use primrose_store::consul::ConsulHosts;
use primrose_store::hosts::HostList;
use primrose_store::memory::MemoryHosts;
use primrose_store::store::StoreError;
use primrose_support::clock::FakeClock;

const LAG: Duration = Duration::from_secs(5);
const LONG_WAIT: Duration = Duration::from_secs(20);

fn host(id: &str, service: &str, state: HostState) -> Host {
    Host {
        id: id.to_owned(),
        zone: "george".to_owned(),
        service: service.to_owned(),
        addr: "10.1.2.3:8080".parse().unwrap(),
        state,
        incarnation: 4,
    }
}

#[test]
fn a_change_appears_after_the_lag_and_wakes_a_waiting_query() {
    let clock = Arc::new(FakeClock::new());
    let runtime = Runtime::new().unwrap();
    let served = Hosts::start(&runtime, HostRegistry::new(clock.clone(), LAG)).unwrap();
    let board = served.registry().clone();
    let list = ConsulHosts::new(ConsulConfig::new(vec![served.addr()]), "engine");

    let live = host("h1", "engine", HostState::Live);
    board.put(live.clone());
    board.put(host("h2", "other", HostState::Live));
    let first = list.hosts(0, LONG_WAIT).unwrap();
    assert!(first.hosts.is_empty());

    clock.advance(LAG);
    let second = list.hosts(first.index, LONG_WAIT).unwrap();
    assert_eq!(second.hosts, [live]);

    let leaving = host("h1", "engine", HostState::Leaving);
    board.put(leaving.clone());
    let calls = board.calls();
    let third = thread::scope(|scope| {
        let waiting = scope.spawn(|| list.hosts(second.index, LONG_WAIT));
        while board.calls() == calls {
            thread::yield_now();
        }
        clock.advance(LAG);
        waiting.join().unwrap().unwrap()
    });
    assert_eq!(third.hosts, [leaving]);
    assert_eq!(board.calls(), calls + 1);

    board.remove("h1");
    clock.advance(LAG);
    assert!(list.hosts(third.index, LONG_WAIT).unwrap().hosts.is_empty());
}

#[test]
fn a_list_of_one_zone_excludes_other_zones() {
    let clock = Arc::new(FakeClock::new());
    let runtime = Runtime::new().unwrap();
    let board = HostRegistry::new(clock, Duration::ZERO);
    let served = Hosts::start(&runtime, board.clone()).unwrap();
    let zones = ["george", "odd \" & zone", "oudtshoorn"];
    for zone in zones {
        board.put(Host {
            zone: zone.to_owned(),
            ..host(zone, "engine", HostState::Live)
        });
    }
    let config = ConsulConfig::new(vec![served.addr()]);
    let all = ConsulHosts::new(config.clone(), "engine");
    assert_eq!(all.hosts(0, LONG_WAIT).unwrap().hosts.len(), zones.len());
    for zone in ["george", "oudtshoorn", "mosselbaai"] {
        let list = ConsulHosts::in_zone(config.clone(), "engine", zone);
        let found = list.hosts(0, LONG_WAIT).unwrap().hosts;
        let names: Vec<&str> = found.iter().map(|host| host.zone.as_str()).collect();
        let expected: Vec<&str> = zones.into_iter().filter(|name| *name == zone).collect();
        assert_eq!(names, expected);
    }
}

#[test]
fn an_outage_of_the_list_is_an_error_and_not_an_empty_list() {
    let clock = Arc::new(FakeClock::new());
    let runtime = Runtime::new().unwrap();
    let served = Hosts::start(&runtime, HostRegistry::new(clock, LAG)).unwrap();
    let list = ConsulHosts::new(ConsulConfig::new(vec![served.addr()]), "engine");
    served.stop();
    let error = list.hosts(0, LONG_WAIT).unwrap_err();
    assert!(matches!(error, StoreError::Unavailable { .. }), "{error}");
    served.restart().unwrap();
    list.hosts(0, LONG_WAIT).unwrap();
}

#[test]
fn one_address_serves_keys_and_hosts() {
    let clock = Arc::new(FakeClock::new());
    let runtime = Runtime::new().unwrap();
    let board = HostRegistry::new(clock.clone(), Duration::ZERO);
    board.put(host("h1", "engine", HostState::Live));
    let config = KvConfig {
        clock,
        hosts: Some(board),
        ..KvConfig::default()
    };
    let kv = Kv::start(&runtime, config).unwrap();
    let list = ConsulHosts::new(ConsulConfig::new(vec![kv.addr()]), "engine");
    assert_eq!(list.hosts(0, LONG_WAIT).unwrap().hosts.len(), 1);
}

#[test]
fn a_change_of_the_memory_list_wakes_a_waiting_reader() {
    let list = MemoryHosts::new();
    let first = list.hosts(0, LONG_WAIT).unwrap();
    thread::scope(|scope| {
        let waiting = scope.spawn(|| list.hosts(first.index, LONG_WAIT));
        while list.calls() == 1 {
            thread::yield_now();
        }
        list.set(vec![host("h1", "engine", HostState::Live)]);
        assert_eq!(waiting.join().unwrap().unwrap().hosts.len(), 1);
    });
    list.set_down(true);
    assert!(list.hosts(0, LONG_WAIT).is_err());
}
