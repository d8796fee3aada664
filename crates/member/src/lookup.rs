//! Queries of a view: members, holders of duties, routes.

use primrose_core::id::HostId;
use primrose_core::id::Incarnation;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::heartbeat::TableVersion;
use crate::rendezvous::assign_evenly;
use crate::rendezvous::holder;
use crate::routed::Routes;
use crate::view::View;

impl View {
    /// Returns this router process.
    pub fn me(&self) -> &Member {
        &self.settings.me
    }

    /// Returns the live routers of the zone, including this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.zone.live().map(|record| &record.member)
    }

    /// Returns the live router of the zone that holds a duty; none if all are draining.
    pub fn holder(&self, duty: &str) -> Option<&Member> {
        let hosts = self.zone.eligible().map(|r| r.member.host.as_str());
        self.zone.member(holder(hosts, duty)?)
    }

    /// Returns the router of a zone that holds a duty there, as far as this router knows.
    ///
    /// Returns none if the zone is not reachable.
    pub fn holder_in(&self, zone: &str, duty: &str) -> Option<&Member> {
        if zone == self.settings.zone {
            return self.holder(duty);
        }
        self.fleet.next_zone(zone)?;
        let entries = self.fleet.members(zone);
        let eligible = entries.iter().filter(|entry| !entry.draining);
        let host = holder(eligible.map(|entry| entry.member.host.as_str()), duty)?;
        let entry = entries.iter().find(|entry| entry.member.host == host)?;
        Some(&entry.member)
    }

    /// Returns the holder of each of several duties, which are spread evenly over the zone.
    ///
    /// Draining routers hold duties only if all live routers are draining.
    pub fn holders(&self, duties: &[String]) -> Vec<Option<&Member>> {
        let assigned = assign_evenly(&self.zone.duty_hosts(), duties).into_iter();
        assigned.map(|host| self.zone.member(host?)).collect()
    }

    /// Returns the holder of each of several duties in a zone, as far as this router knows.
    ///
    /// The holders are none if the zone is not reachable.
    pub fn holders_in(&self, zone: &str, duties: &[String]) -> Vec<Option<&Member>> {
        if zone == self.settings.zone {
            return self.holders(duties);
        }
        if self.fleet.next_zone(zone).is_none() {
            return vec![None; duties.len()];
        }
        let entries = self.fleet.members(zone);
        let all_draining = entries.iter().all(|entry| entry.draining);
        let eligible = entries
            .iter()
            .filter(|entry| all_draining || !entry.draining);
        let hosts: Vec<&str> = eligible.map(|entry| entry.member.host.as_str()).collect();
        let member = |host: &str| entries.iter().find(|entry| entry.member.host == host);
        let assigned = assign_evenly(&hosts, duties).into_iter();
        assigned.map(|host| Some(&member(host?)?.member)).collect()
    }

    /// Returns the other zones that are reachable.
    pub fn reachable_zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.fleet.reachable()
    }

    /// Returns the known live routers of a zone; empty if the zone is not reachable.
    pub fn members_in(&self, zone: &str) -> Vec<&Member> {
        if zone == self.settings.zone {
            return self.members().collect();
        }
        let entries = self.fleet.next_zone(zone).map(|_| self.fleet.members(zone));
        let entries = entries.unwrap_or_default();
        entries.iter().map(|entry| &entry.member).collect()
    }

    /// Whether an incarnation of a host is leaving and must get no new work.
    pub fn is_leaving(&self, host: &str, incarnation: Incarnation) -> bool {
        self.leaving_marks.is_leaving(host, incarnation)
    }

    /// Returns the newest table that any peer has in force, with the peer.
    pub fn newest_table(&self) -> Option<(&Member, &TableVersion)> {
        let tables = self.peers.iter().map(|peer| (&peer.member, &peer.table));
        tables.max_by_key(|(_, table)| table.generation)
    }

    /// Returns the tables that the linked peers have in force.
    pub fn tables(&self) -> impl Iterator<Item = (&Member, &TableVersion)> {
        self.peers.iter().map(|peer| (&peer.member, &peer.table))
    }

    /// Returns the peer that is the next hop to a router; none if no route is known.
    ///
    /// A linked router is its own next hop. Within the zone the route is a shortest path over live
    /// routers. To another zone it goes over one of the border routers of this zone, chosen by
    /// hashing the name of the receiver.
    pub fn next_hop(&self, to: &Member) -> Option<&HostId> {
        if let Some(peer) = self.peers.get(&to.host) {
            return Some(&peer.member.host);
        }
        if let Some(first_hop) = self.zone.first_hop(&to.host) {
            return (to.host != self.settings.me.host).then_some(first_hop);
        }
        let zone = self.fleet.zone_of(&to.host)?;
        let next_zone = self.fleet.next_zone(zone)?;
        self.next_hop_to_zone(next_zone, &to.host)
    }

    /// Returns the next hop to a neighbouring zone: a linked router of that zone, else the first
    /// hop to a border router. Hashing the name of the receiver chooses between several.
    fn next_hop_to_zone(&self, zone: &ZoneId, to: &str) -> Option<&HostId> {
        let linked = self.peers.iter().filter(|peer| peer.zone == *zone);
        let linked = linked.map(|peer| peer.member.host.as_str());
        if let Some(host) = holder(linked, to) {
            return self.peers.get(host).map(|peer| &peer.member.host);
        }
        let border_routers = self.zone.live().filter(|r| r.gates.contains(zone));
        let border_routers = border_routers.map(|r| r.member.host.as_str());
        self.zone.first_hop(holder(border_routers, to)?)
    }
}

impl Routes for View {
    fn me(&self) -> &Member {
        self.me()
    }

    fn next_hop(&self, to: &Member) -> Option<&HostId> {
        self.next_hop(to)
    }
}
