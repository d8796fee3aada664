//! Decides which routers this router dials: those of its zone, border targets and seeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::host::Host;
use primrose_core::id::HostId;

use crate::border::assigned_targets;
use crate::border::BorderDials;
use crate::border::Directory;
use crate::border::Regions;
use crate::border::RouterEntry;
use crate::event::Action;
use crate::fleet::Fleet;
use crate::heartbeat::MemberEntry;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::zone::Zone;

/// How long the links to seeds are kept once other routers are known.
const SEED_HOLD: Duration = Duration::from_secs(5);
/// How long a router is dialed that only another router's report of this zone shows.
const REPORTED_HOLD: Duration = Duration::from_secs(60);
/// Maximum time between two plans if nothing has changed.
const MAX_PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// The routers that are dialed, and the known addresses of routers.
#[derive(Debug, Default)]
pub(crate) struct Dialer {
    /// Routers in the host list.
    listed: Directory,
    /// Routers of this zone in reports by other routers, with the time of the last such report.
    reported: BTreeMap<HostId, (SocketAddr, Mono)>,
    dialed: BTreeMap<HostId, SocketAddr>,
    border_dials: BorderDials,
    /// When the seeds are disconnected; none while they are not dialed.
    seeds_until: Option<Mono>,
    /// When the next plan is due; zero if something has changed.
    next_plan: Mono,
}

/// The parts of the view that a plan depends on.
pub(crate) struct PlanContext<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) zone: &'a Zone,
    pub(crate) fleet: &'a Fleet,
    pub(crate) peers: &'a Peers,
}

impl Dialer {
    /// Replaces the listed routers by those of a host list.
    pub(crate) fn apply_host_list(&mut self, hosts: &[Host], settings: &Settings) {
        let routers = hosts.iter().filter(|host| host.service == settings.service);
        let entry = |host: &Host| RouterEntry {
            zone: host.zone.clone(),
            addr: host.addr,
        };
        self.listed = routers.map(|host| (host.id.clone(), entry(host))).collect();
        self.replan_now();
    }

    /// Adds the routers of a report of this zone that another router wrote.
    ///
    /// If a zone is split into two parts that do not know each other, both parts report it, and
    /// each report lasts only until the other part overwrites it. The routers are therefore kept
    /// for a while after the report.
    pub(crate) fn learn_reported(&mut self, entries: &[MemberEntry], now: Mono) {
        for entry in entries {
            let host = entry.member.host.clone();
            self.reported.insert(host, (entry.addr, now));
        }
        self.replan_now();
    }

    /// Makes the next plan due at once.
    pub(crate) fn replan_now(&mut self) {
        self.next_plan = Mono::ZERO;
    }

    /// Compares the routers to dial with those being dialed, and returns the differences.
    pub(crate) fn plan(&mut self, context: &PlanContext<'_>, now: Mono) -> Vec<Action> {
        if now < self.next_plan {
            return Vec::new();
        }
        self.next_plan = now + MAX_PLAN_INTERVAL;
        self.reported
            .retain(|_, (_, reported_at)| now.saturating_sub(*reported_at) < REPORTED_HOLD);
        let directory = self.directory(context);
        let mut actions = self.plan_seeds(context, &directory, now);
        let mut wanted = self.zone_mesh(context, &directory);
        self.add_border_links(&mut wanted, context, &directory, now);
        self.apply(wanted, context.peers, &mut actions);
        actions
    }

    /// Returns the addresses of all known routers; those that routers report take precedence over
    /// the host list.
    fn directory(&self, context: &PlanContext<'_>) -> Directory {
        let mut directory = self.listed.clone();
        for (host, (addr, _)) in &self.reported {
            let zone = context.settings.zone.clone();
            let addr = *addr;
            directory.insert(host.clone(), RouterEntry { zone, addr });
        }
        for zone in context.fleet.known() {
            for entry in context.fleet.members(zone) {
                let zone = zone.clone();
                let addr = entry.addr;
                directory.insert(entry.member.host.clone(), RouterEntry { zone, addr });
            }
        }
        for record in context.zone.live() {
            let zone = context.settings.zone.clone();
            let addr = record.addr;
            directory.insert(record.member.host.clone(), RouterEntry { zone, addr });
        }
        directory.remove(&context.settings.me.host);
        directory
    }

    /// Dials the seeds while no router is linked or none is known, and disconnects them later.
    fn plan_seeds(
        &mut self,
        context: &PlanContext<'_>,
        directory: &Directory,
        now: Mono,
    ) -> Vec<Action> {
        let seeds = &context.settings.seeds;
        let alone = context.peers.iter().next().is_none() || directory.is_empty();
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

    /// Returns the routers of this zone, including those known only by a link.
    fn zone_mesh(
        &self,
        context: &PlanContext<'_>,
        directory: &Directory,
    ) -> BTreeMap<HostId, SocketAddr> {
        let own_zone = &context.settings.zone;
        let same_zone = directory
            .iter()
            .filter(|(_, entry)| entry.zone == *own_zone);
        let mut wanted: BTreeMap<HostId, SocketAddr> = same_zone
            .map(|(host, entry)| (host.clone(), entry.addr))
            .collect();
        for peer in context.peers.iter().filter(|peer| peer.zone == *own_zone) {
            wanted.insert(peer.member.host.clone(), peer.addr);
        }
        wanted
    }

    /// Adds the router to dial for each border target; a target that has a link keeps it.
    fn add_border_links(
        &mut self,
        wanted: &mut BTreeMap<HostId, SocketAddr>,
        context: &PlanContext<'_>,
        directory: &Directory,
        now: Mono,
    ) {
        let settings = context.settings;
        let regions = Regions {
            settings,
            fleet: context.fleet,
        };
        let targets = assigned_targets(settings, context.zone, context.fleet, directory);
        self.border_dials.retain(&targets);
        let peer_timeout = settings.timing.peer_timeout();
        for target in &targets {
            let mut responsive = context.peers.responsive(peer_timeout, now);
            if let Some(peer) = responsive.find(|peer| target.accepts(&peer.zone, regions)) {
                self.border_dials.clear(target);
                let host = &peer.member.host;
                if let Some(addr) = self.dialed.get(host) {
                    wanted.insert(host.clone(), *addr);
                }
            } else if let Some((host, entry)) = self
                .border_dials
                .choose_router(target, regions, directory, now)
            {
                wanted.insert(host.clone(), entry.addr);
            }
        }
    }

    /// Emits the actions that connect and disconnect routers according to `wanted`.
    fn apply(
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
            let current = self.dialed.get(&host).copied();
            let moved = current.is_some_and(|current| current != addr);
            if current == Some(addr) || (moved && peers.get(&host).is_some()) {
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
