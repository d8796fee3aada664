//! Membership: links, heartbeats, host lists and the assignment of duties to routers.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use primrose_dispatch::message::Message;
use primrose_dispatch::requester;
use primrose_member::Action;
use primrose_member::Event;
use primrose_member::Forward;
use primrose_member::Heartbeat;
use primrose_member::Routed;

use crate::decide::Decider;
use crate::decide::Link;
use crate::input::ServiceHosts;
use crate::message::PeerMessage;

/// Duties of watching the documents in the key-value service; each zone has a holder of each.
const WATCH_DUTIES: [&str; 2] = ["watch first", "watch second"];
/// Interval at which duties are reassigned when no heartbeat brings changes.
const DUTIES_INTERVAL: Duration = Duration::from_secs(1);
/// Duty of removing old claims.
const SWEEP_DUTY: &str = "sweep claims";
/// Interval between ticks of the membership view.
const VIEW_TICK_INTERVAL: Duration = Duration::from_millis(50);

impl Decider {
    /// Passes an event to the membership view and performs the resulting actions.
    pub(super) fn view_event(&mut self, event: Event, now: Mono) {
        for action in self.view.handle(event, now) {
            self.view_action(action, now);
        }
    }

    fn view_action(&mut self, action: Action, now: Mono) {
        match action {
            Action::Connect { host, addr } => self.peer_links.connect(&host, addr),
            Action::ConnectSeed { addr } => self.peer_links.connect_seed(addr),
            Action::DisconnectSeed { addr } => self.peer_links.disconnect_seed(addr),
            Action::Disconnect { host } => self.peer_links.disconnect(&host),
            Action::SendHeartbeat { to, heartbeat } => self
                .peer_links
                .send(&to, &PeerMessage::Heartbeat(heartbeat)),
            Action::MemberUp { member } => {
                log::info!(member:% = member; "router joined the zone");
                self.update_holders(now);
            }
            Action::MemberDown { member } => {
                log::info!(member:% = member; "router left the zone");
                self.update_holders(now);
                self.router_down(&member, now);
                self.observer.router_silent(&member, now);
            }
            Action::ServerLeaving { host, incarnation } => {
                log::info!(host = host.as_str(), incarnation; "host is leaving");
                self.directory.set_leaving(host, incarnation);
                self.update_servers(now);
            }
            Action::PauseDetected { gap } => {
                log::warn!(gap_ms = gap.as_millis(); "this process was paused");
            }
        }
    }

    pub(super) fn link_up(&mut self, member: Member, zone: ZoneId, addr: SocketAddr) {
        let now = self.clock.now();
        log::info!(member:% = member, zone = zone.as_str(); "link came up");
        let link = Link {
            member: member.clone(),
            zone: zone.clone(),
        };
        self.links.insert(member.host.clone(), link);
        self.send_headers(&member.host);
        self.send_suspects(&member.host);
        self.view_event(Event::LinkUp { member, zone, addr }, now);
        self.update_holders(now);
    }

    pub(super) fn link_down(&mut self, member: Member) {
        let now = self.clock.now();
        let known = self.links.get(&member.host);
        if known.is_some_and(|link| link.member == member) {
            self.links.remove(&member.host);
        }
        self.view_event(Event::LinkDown { member }, now);
        self.update_holders(now);
    }

    pub(super) fn handle_heartbeat(&mut self, from: &Member, heartbeat: Heartbeat) {
        let now = self.clock.now();
        let from = from.clone();
        if !heartbeat.records.is_empty() || !heartbeat.reports.is_empty() {
            // Changes of members may change which router holds a duty.
            self.next_holders = now;
        }
        self.view_event(Event::Heartbeat { from, heartbeat }, now);
    }

    /// Handles the hosts of a service, as read from the host list.
    pub(super) fn handle_hosts(&mut self, listed: ServiceHosts) {
        let now = self.clock.now();
        self.directory.set_hosts(listed.service, listed.hosts);
        self.view_event(Event::Hosts(self.directory.hosts()), now);
        self.update_holders(now);
        self.update_servers(now);
    }

    pub(super) fn tick_view(&mut self, now: Mono) {
        self.next_view = now + VIEW_TICK_INTERVAL;
        self.view_event(Event::Tick, now);
        if now >= self.next_holders {
            self.update_duties(now);
        }
    }

    /// Determines which duties this router holds.
    fn update_duties(&mut self, now: Mono) {
        self.next_holders = now + DUTIES_INTERVAL;
        self.snapshots
            .set_orphaned_slots(now < self.orphaned_slots_until);
        self.update_holders(now);
        self.update_orders();
        let is_mine = |duty: &str| self.view.holder(duty) == Some(&self.me);
        self.snapshots
            .set_watching(WATCH_DUTIES.iter().any(|duty| is_mine(duty)));
        // Among zones that can reach each other, the first by name sweeps for all.
        let first = self.view.reachable_zones().all(|zone| self.zone <= *zone);
        self.snapshots.set_sweeping(first && is_mine(SWEEP_DUTY));
    }

    /// Sends a message to another router, relayed if there is no direct link.
    pub(super) fn send_remote(&mut self, to: Member, message: Message) {
        let linked = self.links.get(&to.host);
        if linked.is_some_and(|link| link.member == to) {
            self.peer_links
                .send(&to.host, &PeerMessage::Dispatch(message));
            return;
        }
        self.handle_routed(Routed::new(self.me.clone(), to, message));
    }

    /// Delivers a routed message or relays it to the next router.
    pub(super) fn handle_routed(&mut self, routed: Routed<Message>) {
        match routed.forward(&self.view) {
            Forward::Deliver { from, message } => self.dispatch_message(from, message),
            Forward::Relay { next, routed } => {
                self.peer_links.send(&next, &PeerMessage::Routed(routed));
            }
            Forward::Drop(reason) => log::debug!("dropped a routed message: {reason}"),
        }
    }

    /// Gives up all duties; queued requests are still served.
    pub(super) fn drain(&mut self) {
        let now = self.clock.now();
        self.draining = true;
        self.snapshots.set_ready(false);
        self.view_event(Event::Drain, now);
        self.requester_event(requester::Event::Drain, now);
        self.update_holders(now);
        self.update_orders();
    }

    /// Ends all queued requests without running them.
    pub(super) fn abandon(&mut self) {
        let now = self.clock.now();
        self.requester_event(requester::Event::Abandon, now);
    }
}
