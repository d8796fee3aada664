//! Membership: links, beats, who holds which duty.

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

/// Duties of watching the documents at the key-value service; each has a holder in each zone.
const WATCH_DUTIES: [&str; 2] = ["watch first", "watch second"];
/// How often duties are looked at without news of other routers.
const DUTIES_EVERY: Duration = Duration::from_secs(1);
/// Duty of removing old claims.
const SWEEP_DUTY: &str = "sweep claims";
/// How often the view is told the time.
const VIEW_TICK: Duration = Duration::from_millis(50);

impl Decider {
    /// Hands an event to the view and carries out what follows.
    pub(super) fn view_event(&mut self, event: Event, now: Mono) {
        for action in self.view.handle(event, now) {
            self.view_action(action, now);
        }
    }

    fn view_action(&mut self, action: Action, now: Mono) {
        match action {
            Action::Connect { host, addr } => self.wires.connect(&host, addr),
            Action::ConnectSeed { addr } => self.wires.connect_seed(addr),
            Action::DisconnectSeed { addr } => self.wires.disconnect_seed(addr),
            Action::Disconnect { host } => self.wires.disconnect(&host),
            Action::SendHeartbeat { to, heartbeat } => {
                self.wires.send(&to, &PeerMessage::Beat(heartbeat))
            }
            Action::MemberUp { member } => {
                log::info!(member:% = member; "router joined the zone");
                self.update_holders(now);
            }
            Action::MemberDown { member } => {
                log::info!(member:% = member; "router left the zone");
                self.update_holders(now);
                self.router_down(&member, now);
                self.observer.went_silent(&member, now);
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
        self.greet(&member.host);
        self.tell_suspects(&member.host);
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

    pub(super) fn beat(&mut self, from: &Member, beat: Heartbeat) {
        let now = self.clock.now();
        let from = from.clone();
        if !beat.records.is_empty() || !beat.reports.is_empty() {
            // News of routers may change who holds what.
            self.next_holders = now;
        }
        self.view_event(
            Event::Heartbeat {
                from,
                heartbeat: beat,
            },
            now,
        );
    }

    /// Takes what the host list showed.
    pub(super) fn hosts(&mut self, seen: ServiceHosts) {
        let now = self.clock.now();
        self.directory.set_hosts(seen.service, seen.hosts);
        self.view_event(Event::Hosts(self.directory.hosts()), now);
        self.update_holders(now);
        self.update_servers(now);
    }

    pub(super) fn tick_view(&mut self, now: Mono) {
        self.next_view = now + VIEW_TICK;
        self.view_event(Event::Tick, now);
        if now >= self.next_holders {
            self.update_duties(now);
        }
    }

    /// Finds out which duties this router has.
    fn update_duties(&mut self, now: Mono) {
        self.next_holders = now + DUTIES_EVERY;
        self.published.set_orphans(now < self.orphans_until);
        self.update_holders(now);
        self.update_orders();
        let is_mine = |duty: &str| self.view.holder(duty) == Some(&self.me);
        self.published
            .set_watching(WATCH_DUTIES.iter().any(|duty| is_mine(duty)));
        // The first zone by name of those that hear each other sweeps for all.
        let first = self.view.reachable_zones().all(|zone| self.zone <= *zone);
        self.published.set_sweeping(first && is_mine(SWEEP_DUTY));
    }

    /// Sends a message to another router, over other routers if there is no link to it.
    pub(super) fn send_away(&mut self, to: Member, message: Message) {
        let linked = self.links.get(&to.host);
        if linked.is_some_and(|link| link.member == to) {
            self.wires.send(&to.host, &PeerMessage::Dispatch(message));
            return;
        }
        self.routed(Routed::new(self.me.clone(), to, message));
    }

    /// Takes a message on its way: delivers it or sends it on.
    pub(super) fn routed(&mut self, routed: Routed<Message>) {
        match routed.forward(&self.view) {
            Forward::Deliver { from, message } => self.dispatch_message(from, message),
            Forward::Relay { next, routed } => {
                self.wires.send(&next, &PeerMessage::Routed(routed));
            }
            Forward::Drop(reason) => log::debug!("dropped a message on its way: {reason}"),
        }
    }

    /// Gives up all duties; waiting requests are still served.
    pub(super) fn drain(&mut self) {
        let now = self.clock.now();
        self.draining = true;
        self.published.set_ready(false);
        self.view_event(Event::Drain, now);
        self.requester_event(requester::Event::Drain, now);
        self.update_holders(now);
        self.update_orders();
    }

    /// Ends every wait.
    pub(super) fn abandon(&mut self) {
        let now = self.clock.now();
        self.requester_event(requester::Event::Abandon, now);
    }
}
