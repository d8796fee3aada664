//! A fake network under a few views: links, losses, partitions, and a clock that steps.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::host::Host;
use primrose_core::host::HostState;
use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use primrose_member::Action;
use primrose_member::Event;
use primrose_member::Heartbeat;
use primrose_member::Settings;
use primrose_member::View;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

/// Time between two steps; the views' own tick.
pub(crate) const STEP: Duration = Duration::from_millis(50);
/// Silence after which a cut link is found dead.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// Called for each beat that is sent, with its sender and its receiver.
pub(crate) type Meter = Box<dyn FnMut(&HostId, &HostId, &Heartbeat)>;
/// Pair of hosts, the lesser name first.
pub(crate) type Pair = (HostId, HostId);

/// One router process and what it has asked for.
pub(crate) struct Node {
    /// Its view.
    pub(crate) view: View,
    /// Hosts that it dials.
    pub(crate) dialed: BTreeSet<HostId>,
    /// Hosts that it dials as seeds.
    pub(crate) seeded: BTreeSet<HostId>,
    /// Everything that it told its caller, with the time.
    pub(crate) told: Vec<(Mono, Action)>,
    zone: ZoneId,
    addr: SocketAddr,
    paused: bool,
}

/// A beat under way.
struct Flight {
    due: Mono,
    from: Member,
    to: HostId,
    heartbeat: Heartbeat,
}

/// Routers and the network between them.
pub(crate) struct Net {
    /// Routers by host.
    pub(crate) nodes: BTreeMap<HostId, Node>,
    /// Time since the start.
    pub(crate) now: Mono,
    /// Part of the network of each host; hosts in different parts cannot talk.
    pub(crate) parts: BTreeMap<HostId, u8>,
    /// Pairs of hosts that cannot talk although they are in the same part.
    pub(crate) cuts: BTreeSet<Pair>,
    /// Beats of a thousand that are lost.
    pub(crate) loss: u32,
    /// Beats of a thousand that arrive twice.
    pub(crate) doubling: u32,
    /// Longest delay of a beat, in steps; different delays reorder.
    pub(crate) delay: u32,
    /// Addresses that routers are told to start from.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Called for each beat that is sent.
    pub(crate) meter: Meter,
    /// Links that are up, and since when they are cut.
    links: BTreeMap<Pair, Option<Mono>>,
    /// Links that an end has closed; both hear of it at the next step.
    closed: BTreeSet<Pair>,
    flights: Vec<Flight>,
    addrs: BTreeMap<HostId, SocketAddr>,
    rng: StdRng,
}

/// Name of a host: the zone and a number.
pub(crate) fn host_name(zone: &str, number: usize) -> HostId {
    format!("{zone}-{number}")
}

/// Makes a host list entry of a router.
pub(crate) fn router_entry(member: &Member, zone: &ZoneId, addr: SocketAddr) -> Host {
    Host {
        id: member.host.clone(),
        zone: zone.clone(),
        service: "primrosed".to_owned(),
        addr,
        state: HostState::Live,
        incarnation: 0,
    }
}

/// Makes a host list entry of a backend server.
pub(crate) fn server_entry(name: &str, incarnation: u64, state: HostState) -> Host {
    Host {
        id: name.to_owned(),
        zone: "z0".to_owned(),
        service: "engine".to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        state,
        incarnation,
    }
}

/// Makes a pair.
pub(crate) fn pair(a: &HostId, b: &HostId) -> Pair {
    let (a, b) = (a.clone(), b.clone());
    if a < b {
        (a, b)
    } else {
        (b, a)
    }
}

impl Net {
    /// Makes an empty network.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            nodes: BTreeMap::new(),
            now: Duration::from_secs(1),
            parts: BTreeMap::new(),
            cuts: BTreeSet::new(),
            loss: 0,
            doubling: 0,
            delay: 1,
            meter: Box::new(|_, _, _| ()),
            links: BTreeMap::new(),
            closed: BTreeSet::new(),
            flights: Vec::new(),
            addrs: BTreeMap::new(),
            seeds: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts `count` routers in each zone, which all see the host list.
    pub(crate) fn fleet(seed: u64, zones: &[(&str, &str)], count: usize) -> Self {
        let mut net = Self::new(seed);
        for (zone, _) in zones {
            for number in 0..count {
                net.start(&host_name(zone, number), zone, 1, zones);
            }
        }
        let list = net.router_list();
        net.show_all(&list);
        net
    }

    /// Starts a process on a host; one that runs there is gone.
    pub(crate) fn start(
        &mut self,
        host: &str,
        zone: &str,
        incarnation: u64,
        zones: &[(&str, &str)],
    ) {
        let port = 10_000 + u16::try_from(self.addrs.len()).unwrap();
        let fresh = SocketAddr::from(([127, 0, 0, 1], port));
        let addr = *self.addrs.entry(host.to_owned()).or_insert(fresh);
        self.stop(host);
        let me = Member {
            host: host.to_owned(),
            incarnation,
        };
        let mut settings = Settings::new(me, zone.to_owned(), addr);
        // Like the daemon, a router is told the region of its own zone only.
        let own = zones.iter().filter(|(name, _)| *name == zone);
        let region = |(zone, region): &(&str, &str)| (zone.to_string(), region.to_string());
        settings.regions = own.map(region).collect();
        settings.seeds = self.seeds.clone();
        let node = Node {
            view: View::new(settings, self.now),
            dialed: BTreeSet::new(),
            seeded: BTreeSet::new(),
            told: Vec::new(),
            zone: zone.to_owned(),
            addr,
            paused: false,
        };
        self.nodes.insert(host.to_owned(), node);
        self.parts.entry(host.to_owned()).or_insert(0);
    }

    /// Ends the process on a host; its links break at once.
    pub(crate) fn stop(&mut self, host: &str) {
        let Some(gone) = self.nodes.remove(host) else {
            return;
        };
        let member = gone.view.me().clone();
        let broken: Vec<Pair> = self.links.keys().cloned().collect();
        for (a, b) in broken {
            if a == host || b == host {
                self.links.remove(&(a.clone(), b.clone()));
                let other = if a == host { b } else { a };
                let member = member.clone();
                self.tell(&other, Event::LinkDown { member });
            }
        }
    }

    /// Stops or goes on giving time and beats to a process.
    pub(crate) fn pause(&mut self, host: &str, paused: bool) {
        if let Some(node) = self.nodes.get_mut(host) {
            node.paused = paused;
        }
    }

    /// Returns the host list entries of all routers.
    pub(crate) fn router_list(&self) -> Vec<Host> {
        let nodes = self.nodes.values();
        let entry = |node: &Node| router_entry(node.view.me(), &node.zone, node.addr);
        nodes.map(entry).collect()
    }

    /// Shows a host list to every router.
    pub(crate) fn show_all(&mut self, list: &[Host]) {
        let hosts: Vec<HostId> = self.nodes.keys().cloned().collect();
        for host in hosts {
            self.tell(&host, Event::Hosts(list.to_vec()));
        }
    }

    /// Gives an event to a router and carries out what it asks for.
    pub(crate) fn tell(&mut self, host: &HostId, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(host) else {
            return;
        };
        let me = node.view.me().clone();
        for action in node.view.handle(event, now) {
            match action {
                Action::Connect { host, .. } => {
                    node.dialed.insert(host);
                }
                Action::ConnectSeed { addr } => {
                    let seed = self.addrs.iter().find(|(_, known)| **known == addr);
                    node.seeded.extend(seed.map(|(host, _)| host.clone()));
                }
                Action::DisconnectSeed { .. } => node.seeded.clear(),
                Action::Disconnect { host: other } => {
                    node.dialed.remove(&other);
                    self.closed.insert(pair(host, &other));
                }
                Action::SendHeartbeat { to, heartbeat } => {
                    (self.meter)(host, &to, &heartbeat);
                    self.flights.extend(launch(
                        &mut self.rng,
                        [self.loss, self.doubling, self.delay],
                        now,
                        Flight {
                            due: now,
                            from: me.clone(),
                            to,
                            heartbeat,
                        },
                    ));
                }
                other => node.told.push((now, other)),
            }
        }
    }

    /// Lets the given time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets one step pass.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.find_dead_links();
        self.dial();
        self.deliver();
        let awake = self.nodes.iter().filter(|(_, node)| !node.paused);
        let hosts: Vec<HostId> = awake.map(|(host, _)| host.clone()).collect();
        for host in hosts {
            self.tell(&host, Event::Tick);
        }
    }

    /// Whether two hosts can talk.
    fn joined(&self, a: &str, b: &str) -> bool {
        let up = self.nodes.contains_key(a) && self.nodes.contains_key(b);
        let cut = self.cuts.contains(&pair(&a.to_owned(), &b.to_owned()));
        up && !cut && self.parts[a] == self.parts[b]
    }

    fn find_dead_links(&mut self) {
        let now = self.now;
        let mut dead: Vec<Pair> = std::mem::take(&mut self.closed).into_iter().collect();
        dead.retain(|link| self.links.contains_key(link));
        for (link, since) in self.links.clone() {
            let (a, b) = &link;
            let joined = self.joined(a, b);
            match since {
                Some(since) if now - since >= LINK_TIMEOUT => dead.push(link),
                // A cut that heals before the timeout keeps the link.
                Some(_) if joined => drop(self.links.insert(link, None)),
                None if !joined => drop(self.links.insert(link, Some(now))),
                Some(_) | None => {}
            }
        }
        for (a, b) in dead {
            self.links.remove(&(a.clone(), b.clone()));
            for (host, other) in [(&a, &b), (&b, &a)] {
                if let Some(member) = self.nodes.get(other).map(|n| n.view.me().clone()) {
                    self.tell(host, Event::LinkDown { member });
                }
            }
        }
    }

    fn dial(&mut self) {
        let dialed = self.nodes.iter().flat_map(|(host, node)| {
            let others = node.dialed.union(&node.seeded);
            let others = others.filter(move |other| *other != host && !node.paused);
            others.map(move |other| pair(host, other))
        });
        let wanted: BTreeSet<Pair> = dialed.collect();
        for (a, b) in wanted {
            let link = (a.clone(), b.clone());
            if self.links.contains_key(&link) || !self.joined(&a, &b) {
                continue;
            }
            self.links.insert(link, None);
            for (host, other) in [(&a, &b), (&b, &a)] {
                let node = &self.nodes[other];
                let event = Event::LinkUp {
                    member: node.view.me().clone(),
                    zone: node.zone.clone(),
                    addr: node.addr,
                };
                self.tell(host, event);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let flights = std::mem::take(&mut self.flights);
        let (due, later): (Vec<Flight>, Vec<Flight>) =
            flights.into_iter().partition(|f| f.due <= now);
        self.flights = later;
        for flight in due {
            let up = self
                .links
                .contains_key(&pair(&flight.from.host, &flight.to));
            let joined = self.joined(&flight.from.host, &flight.to);
            let paused = self.nodes.get(&flight.to).is_some_and(|n| n.paused);
            if up && joined && !paused {
                let from = flight.from;
                let heartbeat = flight.heartbeat;
                self.tell(&flight.to, Event::Heartbeat { from, heartbeat });
            }
        }
    }

    /// Number of links that are up, of one router.
    pub(crate) fn link_count(&self, host: &str) -> usize {
        let mine = |(a, b): &&Pair| a == host || b == host;
        self.links.keys().filter(mine).count()
    }
}

/// Loses, doubles and delays a beat.
fn launch(
    rng: &mut StdRng,
    [loss, doubling, delay]: [u32; 3],
    now: Mono,
    flight: Flight,
) -> Vec<Flight> {
    let copies = if rng.random_range(0..1000) < loss {
        0
    } else if rng.random_range(0..1000) < doubling {
        2
    } else {
        1
    };
    let copy = |_| Flight {
        due: now + STEP * rng.random_range(1..=delay),
        from: flight.from.clone(),
        to: flight.to.clone(),
        heartbeat: flight.heartbeat.clone(),
    };
    (0..copies).map(copy).collect()
}
