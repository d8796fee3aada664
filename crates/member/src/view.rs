//! The membership view of one router.

use std::collections::BTreeMap;

use primrose_core::clock::Mono;
use primrose_core::host::Host;
use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::dialer::Dialer;
use crate::dialer::PlanContext;
use crate::event::Action;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::heartbeat::MemberEntry;
use crate::heartbeat::Record;
use crate::heartbeat::Report;
use crate::heartbeat::TableVersion;
use crate::leaving_marks::LeavingMarks;
use crate::peers::Peers;
use crate::rendezvous::holder;
use crate::rendezvous::score;
use crate::settings::Settings;
use crate::zone::Zone;

/// Duty of writing the report of the zone.
const REPORT_DUTY: &str = "zone report";

/// The state of the fleet as one router knows it.
#[derive(Debug)]
pub struct View {
    pub(crate) settings: Settings,
    pub(crate) peers: Peers,
    pub(crate) zone: Zone,
    pub(crate) fleet: Fleet,
    pub(crate) leaving_marks: LeavingMarks,
    pub(crate) table: TableVersion,
    /// Number of heartbeats sent so far, over all peers.
    pub(crate) heartbeats_sent: u64,
    /// Number of heartbeat intervals started so far.
    pub(crate) intervals: u64,
    /// When the next heartbeat interval starts.
    pub(crate) next_interval: Mono,
    pub(crate) dialer: Dialer,
    draining: bool,
    last_tick: Mono,
    last_report: Option<Mono>,
    /// When the next peer times out, unless a heartbeat arrives before.
    next_timeout: Mono,
    /// Live routers of the zone, as last reported to the caller.
    announced: BTreeMap<HostId, Member>,
}

impl View {
    /// Creates the view of a router that has just started and knows no other router.
    pub fn new(settings: Settings, now: Mono) -> Self {
        let own = Record {
            member: settings.me.clone(),
            version: 1,
            addr: settings.addr,
            draining: false,
            links: Vec::new(),
            gates: Vec::new(),
        };
        // Spreads out the heartbeats of routers that start at the same time.
        let interval = settings.timing.heartbeat_interval;
        let phase = interval.mul_f64(score(&settings.me.host, "phase") as f64 / u64::MAX as f64);
        Self {
            peers: Peers::default(),
            zone: Zone::new(own),
            fleet: Fleet::default(),
            leaving_marks: LeavingMarks::default(),
            table: TableVersion::default(),
            heartbeats_sent: 0,
            intervals: 0,
            next_interval: now + phase,
            dialer: Dialer::default(),
            draining: false,
            last_tick: now,
            last_report: None,
            next_timeout: now,
            announced: BTreeMap::from([(settings.me.host.clone(), settings.me.clone())]),
            settings,
        }
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(&mut actions, now);
        match event {
            Event::Hosts(hosts) => self.apply_host_list(&hosts, &mut actions, now),
            Event::LinkUp { member, zone, addr } => {
                self.peers.link_up(member.clone(), zone, addr, now);
                self.queue_full_state(&member);
                self.dialer.replan_now();
            }
            Event::LinkDown { member } => {
                self.peers.link_down(&member);
                self.dialer.replan_now();
            }
            Event::Heartbeat { from, heartbeat } => {
                if !self.receive_heartbeat(&from, heartbeat, &mut actions, now) {
                    return actions;
                }
            }
            Event::Table(table) => self.set_table(table),
            Event::Drain => self.draining = true,
            Event::Tick => {
                self.tick(&mut actions, now);
                return actions;
            }
        }
        self.refresh(&mut actions, now);
        actions
    }

    /// Applies a snapshot of the host list.
    fn apply_host_list(&mut self, hosts: &[Host], actions: &mut Vec<Action>, now: Mono) {
        for host in self.leaving_marks.apply_host_list(hosts, now) {
            self.announce_mark(&host, None, actions);
        }
        self.dialer.apply_host_list(hosts, &self.settings);
    }

    /// Sets the table in force, to be sent to the peers at the next tick.
    fn set_table(&mut self, table: TableVersion) {
        if table == self.table {
            return;
        }
        self.table = table;
        for peer in self.peers.iter_mut() {
            peer.outbox.due = true;
        }
    }

    /// Restarts the timeouts of all peers if this process was paused.
    ///
    /// Called for every event, because any event may be the first one after the pause.
    fn detect_pause(&mut self, actions: &mut Vec<Action>, now: Mono) {
        let gap = now.saturating_sub(self.last_tick);
        if gap <= self.settings.timing.pause_threshold {
            return;
        }
        self.last_tick = now;
        for peer in self.peers.iter_mut() {
            peer.last_heard = now;
        }
        actions.push(Action::PauseDetected { gap });
    }

    /// Does the periodic work and sends what is queued.
    fn tick(&mut self, actions: &mut Vec<Action>, now: Mono) {
        self.last_tick = now;
        if now >= self.next_timeout {
            self.refresh(actions, now);
        }
        self.publish_report(now);
        let context = PlanContext {
            settings: &self.settings,
            zone: &self.zone,
            fleet: &self.fleet,
            peers: &self.peers,
        };
        actions.extend(self.dialer.plan(&context, now));
        self.start_interval(now);
        self.flush(actions, now);
    }

    /// Recomputes the live routers of the zone and the paths to the other zones.
    pub(crate) fn refresh(&mut self, actions: &mut Vec<Action>, now: Mono) {
        let peer_timeout = self.settings.timing.peer_timeout();
        let own_zone = self.settings.zone.clone();
        let mut links = Vec::new();
        let mut linked_zones = Vec::new();
        self.next_timeout = Mono::MAX;
        for peer in self.peers.responsive(peer_timeout, now) {
            self.next_timeout = self.next_timeout.min(peer.last_heard + peer_timeout);
            if peer.zone == own_zone {
                links.push(peer.member.host.clone());
            } else {
                linked_zones.push(peer.zone.clone());
            }
        }
        linked_zones.sort_unstable();
        linked_zones.dedup();
        if self.zone.publish(self.draining, links, linked_zones) {
            let me = self.settings.me.host.clone();
            self.announce_record(&me, None);
        }
        self.zone.update_reachability(now);
        let linked_zones = self.linked_zones();
        self.fleet.update_reachability(&own_zone, &linked_zones);
        self.report_member_changes(actions);
    }

    /// Returns the zones to which any live router of this zone has a link.
    fn linked_zones(&self) -> Vec<ZoneId> {
        let linked_zones = self.zone.live().flat_map(|record| record.gates.iter());
        let mut linked_zones: Vec<ZoneId> = linked_zones.cloned().collect();
        linked_zones.sort_unstable();
        linked_zones.dedup();
        linked_zones
    }

    /// Reports to the caller which routers of the zone became live or are no longer live.
    fn report_member_changes(&mut self, actions: &mut Vec<Action>) {
        let member = |record: &Record| (record.member.host.clone(), record.member.clone());
        let live: BTreeMap<HostId, Member> = self.zone.live().map(member).collect();
        for (host, member) in &self.announced {
            if live.get(host) != Some(member) {
                let member = member.clone();
                actions.push(Action::MemberDown { member });
            }
        }
        for (host, member) in &live {
            if self.announced.get(host) != Some(member) {
                let member = member.clone();
                actions.push(Action::MemberUp { member });
            }
        }
        if self.announced != live {
            self.announced = live;
            self.dialer.replan_now();
        }
    }

    /// Publishes the report of the zone if that is this router's duty and the report has changed.
    fn publish_report(&mut self, now: Mono) {
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
        let own_zone = &self.settings.zone;
        let members: Vec<MemberEntry> = self.zone.live().map(entry).collect();
        let linked_zones = self.linked_zones();
        let old_report = self.fleet.report(own_zone);
        if old_report.is_some_and(|old| old.members == members && old.gates == linked_zones) {
            return;
        }
        let report = Report {
            zone: own_zone.clone(),
            region: self.settings.own_region().to_owned(),
            number: old_report.map_or(0, |old| old.number).saturating_add(1),
            author: me.clone(),
            members,
            gates: linked_zones,
        };
        self.last_report = Some(now);
        if self.fleet.merge(&report) {
            self.announce_report(&report.zone, None);
        }
    }
}
