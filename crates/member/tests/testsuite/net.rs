//! A simulated network of views, with links, losses, partitions and a clock that advances in steps.

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

/// Time between two steps; equal to the tick of the views.
pub(crate) const STEP: Duration = Duration::from_millis(50);
/// Time after which a link that is cut goes down.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);

/// Called for each heartbeat that is sent, with its sender and its receiver.
pub(crate) type HeartbeatHook = Box<dyn FnMut(&HostId, &HostId, &Heartbeat)>;
/// A pair of hosts, ordered by name.
pub(crate) type Pair = (HostId, HostId);

/// A router process and the state that results from its actions.
pub(crate) struct Node {
    /// View of the router.
    pub(crate) view: View,
    /// Hosts that the router dials.
    pub(crate) dialed: BTreeSet<HostId>,
    /// Hosts that the router dials as seeds.
    pub(crate) dialed_seeds: BTreeSet<HostId>,
    /// All other actions of the view, with their times.
    pub(crate) emitted: Vec<(Mono, Action)>,
    zone: ZoneId,
    addr: SocketAddr,
    paused: bool,
}

/// A heartbeat in flight.
struct InFlight {
    due: Mono,
    from: Member,
    to: HostId,
    heartbeat: Heartbeat,
}

/// The routers and the network between them.
pub(crate) struct Net {
    /// Routers by host.
    pub(crate) nodes: BTreeMap<HostId, Node>,
    /// Time since the start.
    pub(crate) now: Mono,
    /// Partition of each host; hosts in different partitions cannot communicate.
    pub(crate) partitions: BTreeMap<HostId, u8>,
    /// Pairs of hosts that cannot communicate although they are in the same partition.
    pub(crate) cut_links: BTreeSet<Pair>,
    /// Heartbeats out of a thousand that are lost.
    pub(crate) loss: u32,
    /// Heartbeats out of a thousand that are delivered twice.
    pub(crate) duplication: u32,
    /// Maximum delay of a heartbeat, in steps; delays are random, so heartbeats are reordered.
    pub(crate) delay: u32,
    /// Seed addresses in the settings of the routers.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Called for each heartbeat that is sent.
    pub(crate) on_heartbeat: HeartbeatHook,
    /// Links that are up, with the time since when they are cut, if they are.
    links: BTreeMap<Pair, Option<Mono>>,
    /// Links that one end has closed; both ends get the event at the next step.
    closed: BTreeSet<Pair>,
    in_flight: Vec<InFlight>,
    addrs: BTreeMap<HostId, SocketAddr>,
    rng: StdRng,
}

/// Returns the name of a host: its zone and a number.
pub(crate) fn host_name(zone: &str, number: usize) -> HostId {
    format!("{zone}-{number}")
}

/// Creates the host list entry of a router.
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

/// Creates the host list entry of a backend server.
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

/// Creates the pair of two hosts.
pub(crate) fn pair(a: &HostId, b: &HostId) -> Pair {
    let (a, b) = (a.clone(), b.clone());
    if a < b {
        (a, b)
    } else {
        (b, a)
    }
}

impl Net {
    /// Creates an empty network.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            nodes: BTreeMap::new(),
            now: Duration::from_secs(1),
            partitions: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            loss: 0,
            duplication: 0,
            delay: 1,
            on_heartbeat: Box::new(|_, _, _| ()),
            links: BTreeMap::new(),
            closed: BTreeSet::new(),
            in_flight: Vec::new(),
            addrs: BTreeMap::new(),
            seeds: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Creates a network with `count` routers in each zone, which all get the host list.
    pub(crate) fn fleet(seed: u64, zones: &[(&str, &str)], count: usize) -> Self {
        let mut net = Self::new(seed);
        for (zone, _) in zones {
            for number in 0..count {
                net.start(&host_name(zone, number), zone, 1, zones);
            }
        }
        let list = net.router_list();
        net.send_host_list(&list);
        net
    }

    /// Starts a process on a host, in place of any that runs there.
    pub(crate) fn start(
        &mut self,
        host: &str,
        zone: &str,
        incarnation: u64,
        zones: &[(&str, &str)],
    ) {
        let port = 10_000 + u16::try_from(self.addrs.len()).unwrap();
        let new_addr = SocketAddr::from(([127, 0, 0, 1], port));
        let addr = *self.addrs.entry(host.to_owned()).or_insert(new_addr);
        self.stop(host);
        let me = Member {
            host: host.to_owned(),
            incarnation,
        };
        let mut settings = Settings::new(me, zone.to_owned(), addr);
        // As in the daemon, the settings of a router have only the region of its own zone.
        let own = zones.iter().filter(|(name, _)| *name == zone);
        let region = |(zone, region): &(&str, &str)| (zone.to_string(), region.to_string());
        settings.regions = own.map(region).collect();
        settings.seeds = self.seeds.clone();
        let node = Node {
            view: View::new(settings, self.now),
            dialed: BTreeSet::new(),
            dialed_seeds: BTreeSet::new(),
            emitted: Vec::new(),
            zone: zone.to_owned(),
            addr,
            paused: false,
        };
        self.nodes.insert(host.to_owned(), node);
        self.partitions.entry(host.to_owned()).or_insert(0);
    }

    /// Stops the process on a host; its links go down at once.
    pub(crate) fn stop(&mut self, host: &str) {
        let Some(stopped) = self.nodes.remove(host) else {
            return;
        };
        let member = stopped.view.me().clone();
        let links: Vec<Pair> = self.links.keys().cloned().collect();
        for (a, b) in links {
            if a == host || b == host {
                self.links.remove(&(a.clone(), b.clone()));
                let other = if a == host { b } else { a };
                let member = member.clone();
                self.handle_event(&other, Event::LinkDown { member });
            }
        }
    }

    /// Pauses or resumes a process; a paused one gets no ticks and no heartbeats.
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

    /// Sends a host list to every router.
    pub(crate) fn send_host_list(&mut self, list: &[Host]) {
        let hosts: Vec<HostId> = self.nodes.keys().cloned().collect();
        for host in hosts {
            self.handle_event(&host, Event::Hosts(list.to_vec()));
        }
    }

    /// Passes an event to a router and executes the resulting actions.
    pub(crate) fn handle_event(&mut self, host: &HostId, event: Event) {
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
                    node.dialed_seeds.extend(seed.map(|(host, _)| host.clone()));
                }
                Action::DisconnectSeed { .. } => node.dialed_seeds.clear(),
                Action::Disconnect { host: other } => {
                    node.dialed.remove(&other);
                    self.closed.insert(pair(host, &other));
                }
                Action::SendHeartbeat { to, heartbeat } => {
                    (self.on_heartbeat)(host, &to, &heartbeat);
                    self.in_flight.extend(transmit(
                        &mut self.rng,
                        [self.loss, self.duplication, self.delay],
                        now,
                        InFlight {
                            due: now,
                            from: me.clone(),
                            to,
                            heartbeat,
                        },
                    ));
                }
                other => node.emitted.push((now, other)),
            }
        }
    }

    /// Advances the clock by the given time, step by step.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the clock by one step.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.close_dead_links();
        self.dial();
        self.deliver_heartbeats();
        let running = self.nodes.iter().filter(|(_, node)| !node.paused);
        let hosts: Vec<HostId> = running.map(|(host, _)| host.clone()).collect();
        for host in hosts {
            self.handle_event(&host, Event::Tick);
        }
    }

    /// Whether two hosts can communicate.
    fn connected(&self, a: &str, b: &str) -> bool {
        let up = self.nodes.contains_key(a) && self.nodes.contains_key(b);
        let cut = self.cut_links.contains(&pair(&a.to_owned(), &b.to_owned()));
        up && !cut && self.partitions[a] == self.partitions[b]
    }

    fn close_dead_links(&mut self) {
        let now = self.now;
        let mut dead: Vec<Pair> = std::mem::take(&mut self.closed).into_iter().collect();
        dead.retain(|link| self.links.contains_key(link));
        for (link, since) in self.links.clone() {
            let (a, b) = &link;
            let connected = self.connected(a, b);
            match since {
                Some(since) if now - since >= LINK_TIMEOUT => dead.push(link),
                // A link whose cut ends before the timeout stays up.
                Some(_) if connected => drop(self.links.insert(link, None)),
                None if !connected => drop(self.links.insert(link, Some(now))),
                Some(_) | None => {}
            }
        }
        for (a, b) in dead {
            self.links.remove(&(a.clone(), b.clone()));
            for (host, other) in [(&a, &b), (&b, &a)] {
                if let Some(member) = self.nodes.get(other).map(|n| n.view.me().clone()) {
                    self.handle_event(host, Event::LinkDown { member });
                }
            }
        }
    }

    fn dial(&mut self) {
        let dialed = self.nodes.iter().flat_map(|(host, node)| {
            let others = node.dialed.union(&node.dialed_seeds);
            let others = others.filter(move |other| *other != host && !node.paused);
            others.map(move |other| pair(host, other))
        });
        let wanted: BTreeSet<Pair> = dialed.collect();
        for (a, b) in wanted {
            let link = (a.clone(), b.clone());
            if self.links.contains_key(&link) || !self.connected(&a, &b) {
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
                self.handle_event(host, event);
            }
        }
    }

    fn deliver_heartbeats(&mut self) {
        let now = self.now;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, not_due): (Vec<InFlight>, Vec<InFlight>) =
            in_flight.into_iter().partition(|f| f.due <= now);
        self.in_flight = not_due;
        for message in due {
            let up = self
                .links
                .contains_key(&pair(&message.from.host, &message.to));
            let connected = self.connected(&message.from.host, &message.to);
            let paused = self.nodes.get(&message.to).is_some_and(|n| n.paused);
            if up && connected && !paused {
                let from = message.from;
                let heartbeat = message.heartbeat;
                self.handle_event(&message.to, Event::Heartbeat { from, heartbeat });
            }
        }
    }

    /// Returns the number of links of one router that are up.
    pub(crate) fn link_count(&self, host: &str) -> usize {
        let of_host = |(a, b): &&Pair| a == host || b == host;
        self.links.keys().filter(of_host).count()
    }
}

/// Returns the copies of a heartbeat that arrive: none, one or two, each with its own delay.
fn transmit(
    rng: &mut StdRng,
    [loss, duplication, delay]: [u32; 3],
    now: Mono,
    message: InFlight,
) -> Vec<InFlight> {
    let copies = if rng.random_range(0..1000) < loss {
        0
    } else if rng.random_range(0..1000) < duplication {
        2
    } else {
        1
    };
    let copy = |_| InFlight {
        due: now + STEP * rng.random_range(1..=delay),
        from: message.from.clone(),
        to: message.to.clone(),
        heartbeat: message.heartbeat.clone(),
    };
    (0..copies).map(copy).collect()
}
