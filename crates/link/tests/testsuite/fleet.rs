//! Membership views over real links: discovery, partition and recovery of a few routers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Receiver;
use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_core::id::HostId;
use primrose_link::BlockScope;
use primrose_link::Endpoint;
use primrose_link::LinkConfig;
use primrose_link::LinkEvent;
use primrose_member::Action;
use primrose_member::Event;
use primrose_member::Heartbeat;
use primrose_member::Settings;
use primrose_member::Timing;
use primrose_member::View;

use crate::tools::config;
use crate::tools::member;
use crate::tools::EVENT_TIMEOUT;

/// Zones of the fleet.
const ZONES: [&str; 2] = ["barasat", "habra"];
/// Routers in each zone.
const ROUTERS: usize = 2;
/// Time between two ticks.
const TICK: Duration = Duration::from_millis(10);

/// A router: a membership view on real links.
struct Router {
    view: View,
    endpoint: Endpoint<Heartbeat>,
    events: Receiver<LinkEvent<Heartbeat>>,
    start: Instant,
}

/// Routers that all run on the test thread.
struct Fleet {
    routers: Vec<Router>,
}

fn timing() -> Timing {
    Timing {
        tick: TICK,
        heartbeat_interval: Duration::from_millis(100),
        pause_threshold: Duration::from_secs(5),
        border_dial_timeout: Duration::from_millis(300),
        min_report_interval: Duration::from_millis(50),
        ..Timing::default()
    }
}

impl Router {
    fn start(config: LinkConfig, seeds: Vec<SocketAddr>) -> Self {
        let (sender, events) = crossbeam_channel::bounded(1024);
        let me = config.me.clone();
        let zone = config.zone.clone();
        let endpoint = Endpoint::start(config, sender).unwrap();
        let mut settings = Settings::new(me, zone, endpoint.local_addr());
        settings.timing = timing();
        settings.seeds = seeds;
        Self {
            view: View::new(settings, Duration::ZERO),
            endpoint,
            events,
            start: Instant::now(),
        }
    }

    fn step(&mut self) {
        let events: Vec<_> = self.events.try_iter().collect();
        for event in events {
            match event {
                LinkEvent::Up { member, zone, addr } => {
                    self.handle(Event::LinkUp { member, zone, addr });
                }
                LinkEvent::Down { member, .. } => self.handle(Event::LinkDown { member }),
                LinkEvent::Message { from, message } => {
                    let heartbeat = message;
                    self.handle(Event::Heartbeat { from, heartbeat });
                }
                LinkEvent::Refused { .. } => {}
            }
        }
        self.handle(Event::Tick);
    }

    fn handle(&mut self, event: Event) {
        for action in self.view.handle(event, self.start.elapsed()) {
            match action {
                Action::Connect { host, addr } => self.endpoint.connect(&host, addr),
                Action::ConnectSeed { addr } => self.endpoint.connect_seed(addr),
                Action::Disconnect { host } => self.endpoint.disconnect(&host),
                Action::DisconnectSeed { addr } => self.endpoint.disconnect_seed(addr),
                Action::SendHeartbeat { to, heartbeat } => {
                    drop(self.endpoint.send(&to, &heartbeat))
                }
                _ => {}
            }
        }
    }

    fn known(&self) -> usize {
        let zones = ZONES.iter();
        zones.map(|zone| self.view.members_in(zone).len()).sum()
    }
}

impl Fleet {
    fn start() -> Self {
        let seeds = Vec::new();
        let router = |n: usize| {
            let host = format!("{}-{}", ZONES[n / ROUTERS], n % ROUTERS);
            Router::start(config(member(&host, 1), ZONES[n / ROUTERS]), seeds.clone())
        };
        let routers = (0..ZONES.len() * ROUTERS).map(router).collect();
        Self { routers }
    }

    fn hosts(&self) -> Vec<Host> {
        let host = |(n, router): (usize, &Router)| Host {
            id: router.view.me().host.clone(),
            zone: ZONES[n / ROUTERS].to_owned(),
            service: "primrosed".to_owned(),
            addr: router.endpoint.local_addr(),
            state: HostState::Live,
            incarnation: 0,
        };
        self.routers.iter().enumerate().map(host).collect()
    }

    fn wait<F: Fn(&Self) -> bool>(&mut self, what: &str, condition: F) {
        let end = Instant::now() + EVENT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < end, "not in time: {what}");
            self.routers.iter_mut().for_each(Router::step);
            std::thread::sleep(TICK);
        }
    }

    fn all_know(&self, count: usize) -> bool {
        self.routers.iter().all(|router| router.known() == count)
    }

    fn holders(&self, zone: &str) -> Vec<Option<HostId>> {
        let holder = |router: &Router| {
            let holder = router.view.holder_in(zone, "duty");
            holder.map(|member| member.host.clone())
        };
        self.routers.iter().map(holder).collect()
    }
}

#[test]
fn partitioned_zones_stay_up_and_merge_after_healing() {
    let mut fleet = Fleet::start();
    let hosts = fleet.hosts();
    for router in &mut fleet.routers {
        router.handle(Event::Hosts(hosts.clone()));
    }
    fleet.wait("all know all", |fleet| fleet.all_know(4));
    for zone in ZONES {
        let holders = fleet.holders(zone);
        assert!(holders.iter().all(|holder| *holder == holders[0]));
        assert!(holders[0].is_some());
    }
    let set_partition = |fleet: &Fleet, blocked| {
        for router in &fleet.routers[..ROUTERS] {
            let scope = BlockScope::Zone(ZONES[1].to_owned());
            router.endpoint.set_blocked(scope, blocked);
        }
    };
    set_partition(&fleet, true);
    fleet.wait("each zone is alone", |fleet| fleet.all_know(2));
    assert!(fleet.holders(ZONES[0])[0].is_some());
    assert!(fleet.holders(ZONES[1])[0].is_none());
    set_partition(&fleet, false);
    fleet.wait("all know all again", |fleet| fleet.all_know(4));
}

#[test]
fn fleet_without_host_list_discovers_members_through_one_seed() {
    let first = Router::start(config(member("barasat-0", 1), ZONES[0]), Vec::new());
    let seed = first.endpoint.local_addr();
    let mut routers = vec![first];
    for (host, zone) in [
        ("barasat-1", ZONES[0]),
        ("habra-0", ZONES[1]),
        ("habra-1", ZONES[1]),
    ] {
        let config = config(member(host, 1), zone);
        routers.push(Router::start(config, vec![seed]));
    }
    let mut fleet = Fleet { routers };
    fleet.wait("all know all", |fleet| fleet.all_know(4));
}
