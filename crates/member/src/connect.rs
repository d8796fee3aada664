//! Whom this router dials.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::host::Host;
use primrose_core::id::HostId;

use crate::event::Action;
use crate::fleet::Fleet;
use crate::goals::goals;
use crate::goals::Directory;
use crate::goals::Entry;
use crate::goals::Goals;
use crate::goals::Regions;
use crate::heartbeat::MemberEntry;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::zone::Zone;

/// How long seeds are kept once other routers are known.
const SEED_HOLD: Duration = Duration::from_secs(5);
/// How long a router that only another router's report of this zone shows is dialed.
const RUMOUR_HOLD: Duration = Duration::from_secs(60);
/// Longest time between two plans when nothing has changed.
const PLAN_PERIOD: Duration = Duration::from_secs(1);

/// What is dialed, and what is known of where routers listen.
#[derive(Debug, Default)]
pub(crate) struct Dialer {
    /// Routers in the host list.
    listed: Directory,
    /// Routers of this zone in reports that others wrote, and when they did.
    rumoured: BTreeMap<HostId, (SocketAddr, Mono)>,
    dialed: BTreeMap<HostId, SocketAddr>,
    goals: Goals,
    /// When seeds are given up; none while they are not dialed.
    seeds_until: Option<Mono>,
    /// When the next plan is due; at once if something has changed.
    next_plan: Mono,
}

/// The parts of the view that a plan looks at.
pub(crate) struct Surroundings<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) zone: &'a Zone,
    pub(crate) fleet: &'a Fleet,
    pub(crate) peers: &'a Peers,
}

impl Dialer {
    /// Takes the routers of a host list.
    pub(crate) fn list(&mut self, hosts: &[Host], settings: &Settings) {
        let routers = hosts.iter().filter(|host| host.service == settings.service);
        let entry = |host: &Host| Entry {
            zone: host.zone.clone(),
            addr: host.addr,
        };
        self.listed = routers.map(|host| (host.id.clone(), entry(host))).collect();
        self.hurry();
    }

    /// Takes a report of this zone that another router wrote.
    ///
    /// Two parts of a zone that know nothing of each other both report it, and each report lasts
    /// only until the other part corrects it; so what it shows is kept for a while.
    pub(crate) fn hear(&mut self, entries: &[MemberEntry], now: Mono) {
        for entry in entries {
            let host = entry.member.host.clone();
            self.rumoured.insert(host, (entry.addr, now));
        }
        self.hurry();
    }

    /// Makes the next plan due at once.
    pub(crate) fn hurry(&mut self) {
        self.next_plan = Mono::ZERO;
    }

    /// Compares what should be dialed with what is.
    pub(crate) fn plan(&mut self, around: &Surroundings<'_>, now: Mono) -> Vec<Action> {
        if now < self.next_plan {
            return Vec::new();
        }
        self.next_plan = now + PLAN_PERIOD;
        self.rumoured
            .retain(|_, (_, heard)| now.saturating_sub(*heard) < RUMOUR_HOLD);
        let directory = self.directory(around);
        let mut actions = self.plan_seeds(around, &directory, now);
        let mut wanted = self.mesh(around, &directory);
        self.add_goals(&mut wanted, around, &directory, now);
        self.change(wanted, around.peers, &mut actions);
        actions
    }

    /// Collects where routers listen; what routers say themselves goes before the host list.
    fn directory(&self, around: &Surroundings<'_>) -> Directory {
        let mut directory = self.listed.clone();
        for (host, (addr, _)) in &self.rumoured {
            let zone = around.settings.zone.clone();
            let addr = *addr;
            directory.insert(host.clone(), Entry { zone, addr });
        }
        for zone in around.fleet.known() {
            for entry in around.fleet.members(zone) {
                let zone = zone.clone();
                let addr = entry.addr;
                directory.insert(entry.member.host.clone(), Entry { zone, addr });
            }
        }
        for record in around.zone.live() {
            let zone = around.settings.zone.clone();
            let addr = record.addr;
            directory.insert(record.member.host.clone(), Entry { zone, addr });
        }
        directory.remove(&around.settings.me.host);
        directory
    }

    /// Dials the seeds for as long as nobody else is known or reached.
    fn plan_seeds(
        &mut self,
        around: &Surroundings<'_>,
        directory: &Directory,
        now: Mono,
    ) -> Vec<Action> {
        let seeds = &around.settings.seeds;
        let alone = around.peers.iter().next().is_none() || directory.is_empty();
        let connect = |addr: &SocketAddr| Action::ConnectSeed { addr: *addr };
        let disconnect = |addr: &SocketAddr| Action::DisconnectSeed { addr: *addr };
        match self.seeds_until {
            None if alone => {
                self.seeds_until = Some(now + SEED_HOLD);
                seeds.iter().map(connect).collect()
            }
            Some(_) if alone => {
                self.seeds_until = Some(now + SEED_HOLD);
                Vec::new()
            }
            Some(until) if now >= until => {
                self.seeds_until = None;
                seeds.iter().map(disconnect).collect()
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// Returns the routers of this zone, those included that only the links show.
    fn mesh(
        &self,
        around: &Surroundings<'_>,
        directory: &Directory,
    ) -> BTreeMap<HostId, SocketAddr> {
        let home = &around.settings.zone;
        let near = directory.iter().filter(|(_, entry)| entry.zone == *home);
        let mut wanted: BTreeMap<HostId, SocketAddr> = near
            .map(|(host, entry)| (host.clone(), entry.addr))
            .collect();
        for peer in around.peers.iter().filter(|peer| peer.zone == *home) {
            wanted.insert(peer.member.host.clone(), peer.addr);
        }
        wanted
    }

    /// Adds one router for each goal of this router that no other link meets.
    fn add_goals(
        &mut self,
        wanted: &mut BTreeMap<HostId, SocketAddr>,
        around: &Surroundings<'_>,
        directory: &Directory,
        now: Mono,
    ) {
        let settings = around.settings;
        let regions = Regions {
            settings,
            fleet: around.fleet,
        };
        let goals = goals(settings, around.zone, around.fleet, directory);
        self.goals.retain(&goals);
        let limit = settings.timing.peer_timeout();
        for goal in &goals {
            let mut linked = around.peers.fresh(limit, now);
            if let Some(peer) = linked.find(|peer| goal.is_met_by(&peer.zone, regions)) {
                self.goals.met(goal);
                let host = &peer.member.host;
                if let Some(addr) = self.dialed.get(host) {
                    wanted.insert(host.clone(), *addr);
                }
            } else if let Some((host, entry)) = self.goals.choose(goal, regions, directory, now) {
                wanted.insert(host.clone(), entry.addr);
            }
        }
    }

    /// Asks for what has to be dialed and given up.
    fn change(
        &mut self,
        wanted: BTreeMap<HostId, SocketAddr>,
        peers: &Peers,
        actions: &mut Vec<Action>,
    ) {
        for host in self.dialed.keys() {
            if !wanted.contains_key(host) {
                actions.push(Action::Disconnect { host: host.clone() });
            }
        }
        self.dialed.retain(|host, _| wanted.contains_key(host));
        for (host, addr) in wanted {
            let had = self.dialed.get(&host).copied();
            let moved = had.is_some_and(|had| had != addr);
            if had == Some(addr) || (moved && peers.get(&host).is_some()) {
                continue;
            }
            if moved {
                actions.push(Action::Disconnect { host: host.clone() });
            }
            self.dialed.insert(host.clone(), addr);
            actions.push(Action::Connect { host, addr });
        }
    }
}
