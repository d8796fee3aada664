//! The membership view of one router.

use std::collections::BTreeMap;

use primrose_core::clock::Mono;
use primrose_core::host::Host;
use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::connect::Dialer;
use crate::connect::Surroundings;
use crate::event::Action;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::heartbeat::MemberEntry;
use crate::heartbeat::Record;
use crate::heartbeat::Report;
use crate::heartbeat::TableVersion;
use crate::marks::Marks;
use crate::peers::Peers;
use crate::rendezvous::holder;
use crate::rendezvous::score;
use crate::settings::Settings;
use crate::zone::Zone;

/// The duty of writing the zone's report.
const REPORT_DUTY: &str = "zone report";

/// What one router knows of the others.
#[derive(Debug)]
pub struct View {
    pub(crate) settings: Settings,
    pub(crate) peers: Peers,
    pub(crate) zone: Zone,
    pub(crate) fleet: Fleet,
    pub(crate) marks: Marks,
    pub(crate) table: TableVersion,
    /// Beats sent so far.
    pub(crate) count: u64,
    /// Periods passed so far.
    pub(crate) periods: u64,
    /// When the next period begins.
    pub(crate) next_period: Mono,
    pub(crate) dialer: Dialer,
    draining: bool,
    last_tick: Mono,
    last_report: Option<Mono>,
    /// When the next peer counts as gone unless it is heard of before.
    next_loss: Mono,
    /// Live routers of the zone, as last told to the caller.
    told: BTreeMap<HostId, Member>,
}

impl View {
    /// Makes the view of a router that has just started and knows nothing.
    pub fn new(settings: Settings, now: Mono) -> Self {
        let own = Record {
            member: settings.me.clone(),
            version: 1,
            addr: settings.addr,
            draining: false,
            links: Vec::new(),
            gates: Vec::new(),
        };
        // Routers that start together must not beat together.
        let period = settings.timing.heartbeat_interval;
        let phase = period.mul_f64(score(&settings.me.host, "phase") as f64 / u64::MAX as f64);
        Self {
            peers: Peers::default(),
            zone: Zone::new(own),
            fleet: Fleet::default(),
            marks: Marks::default(),
            table: TableVersion::default(),
            count: 0,
            periods: 0,
            next_period: now + phase,
            dialer: Dialer::default(),
            draining: false,
            last_tick: now,
            last_report: None,
            next_loss: now,
            told: BTreeMap::from([(settings.me.host.clone(), settings.me.clone())]),
            settings,
        }
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut actions = Vec::new();
        self.notice_pause(&mut actions, now);
        match event {
            Event::Hosts(hosts) => self.take_hosts(&hosts, &mut actions, now),
            Event::LinkUp { member, zone, addr } => {
                self.peers.up(member.clone(), zone, addr, now);
                self.greet(&member);
                self.dialer.hurry();
            }
            Event::LinkDown { member } => {
                self.peers.down(&member);
                self.dialer.hurry();
            }
            Event::Heartbeat { from, heartbeat } => {
                if !self.receive_heartbeat(&from, heartbeat, &mut actions, now) {
                    return actions;
                }
            }
            Event::Table(table) => self.take_table(table),
            Event::Drain => self.draining = true,
            Event::Tick => {
                self.tick(&mut actions, now);
                return actions;
            }
        }
        self.refresh(&mut actions, now);
        actions
    }

    /// Takes a snapshot of the host list.
    fn take_hosts(&mut self, hosts: &[Host], actions: &mut Vec<Action>, now: Mono) {
        for host in self.marks.list(hosts, now) {
            self.announce_mark(&host, None, actions);
        }
        self.dialer.list(hosts, &self.settings);
    }

    /// Takes note of the table in force, and tells the peers at the next tick.
    fn take_table(&mut self, table: TableVersion) {
        if table == self.table {
            return;
        }
        self.table = table;
        for peer in self.peers.iter_mut() {
            peer.outbox.due = true;
        }
    }

    /// After a pause of this process, gives all peers time to be heard again.
    ///
    /// Any event may be the first after the pause, so each is checked, not ticks alone.
    fn notice_pause(&mut self, actions: &mut Vec<Action>, now: Mono) {
        let gap = now.saturating_sub(self.last_tick);
        if gap <= self.settings.timing.pause_threshold {
            return;
        }
        self.last_tick = now;
        for peer in self.peers.iter_mut() {
            peer.heard = now;
        }
        actions.push(Action::PauseDetected { gap });
    }

    /// Does what time demands.
    fn tick(&mut self, actions: &mut Vec<Action>, now: Mono) {
        self.last_tick = now;
        if now >= self.next_loss {
            self.refresh(actions, now);
        }
        self.report(now);
        let around = Surroundings {
            settings: &self.settings,
            zone: &self.zone,
            fleet: &self.fleet,
            peers: &self.peers,
        };
        actions.extend(self.dialer.plan(&around, now));
        self.begin_period(now);
        self.flush(actions, now);
    }

    /// Works out anew who is live and how to reach the other zones.
    pub(crate) fn refresh(&mut self, actions: &mut Vec<Action>, now: Mono) {
        let limit = self.settings.timing.peer_timeout();
        let home = self.settings.zone.clone();
        let mut links = Vec::new();
        let mut gates = Vec::new();
        self.next_loss = Mono::MAX;
        for peer in self.peers.fresh(limit, now) {
            self.next_loss = self.next_loss.min(peer.heard + limit);
            if peer.zone == home {
                links.push(peer.member.host.clone());
            } else {
                gates.push(peer.zone.clone());
            }
        }
        gates.sort_unstable();
        gates.dedup();
        if self.zone.publish(self.draining, links, gates) {
            let me = self.settings.me.host.clone();
            self.announce_record(&me, None);
        }
        self.zone.search(now);
        let gates = self.zone_gates();
        self.fleet.search(&home, &gates);
        self.tell_members(actions);
    }

    /// Returns the zones to which any live router of this zone has a link.
    fn zone_gates(&self) -> Vec<ZoneId> {
        let gates = self.zone.live().flat_map(|record| record.gates.iter());
        let mut gates: Vec<ZoneId> = gates.cloned().collect();
        gates.sort_unstable();
        gates.dedup();
        gates
    }

    /// Tells the caller which routers of the zone came and went.
    fn tell_members(&mut self, actions: &mut Vec<Action>) {
        let member = |record: &Record| (record.member.host.clone(), record.member.clone());
        let live: BTreeMap<HostId, Member> = self.zone.live().map(member).collect();
        for (host, member) in &self.told {
            if live.get(host) != Some(member) {
                let member = member.clone();
                actions.push(Action::MemberDown { member });
            }
        }
        for (host, member) in &live {
            if self.told.get(host) != Some(member) {
                let member = member.clone();
                actions.push(Action::MemberUp { member });
            }
        }
        if self.told != live {
            self.told = live;
            self.dialer.hurry();
        }
    }

    /// Writes the zone's report if that is this router's duty and the report has changed.
    fn report(&mut self, now: Mono) {
        let gap = self.settings.timing.min_report_interval;
        let early = self.last_report.is_some_and(|last| now < last + gap);
        let me = &self.settings.me;
        let reporter = holder(self.zone.duty_hosts(), REPORT_DUTY);
        if early || reporter != Some(me.host.as_str()) {
            return;
        }
        let entry = |record: &Record| MemberEntry {
            member: record.member.clone(),
            addr: record.addr,
            draining: record.draining,
        };
        let home = &self.settings.zone;
        let members: Vec<MemberEntry> = self.zone.live().map(entry).collect();
        let gates = self.zone_gates();
        let known = self.fleet.report(home);
        if known.is_some_and(|had| had.members == members && had.gates == gates) {
            return;
        }
        let report = Report {
            zone: home.clone(),
            region: self.settings.home().to_owned(),
            number: known.map_or(0, |had| had.number).saturating_add(1),
            author: me.clone(),
            members,
            gates,
        };
        self.last_report = Some(now);
        if self.fleet.learn(&report) {
            self.announce_report(&report.zone, None);
        }
    }
}
