//! The routers to which a link is up, and the changes queued for each of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::heartbeat::TableVersion;

/// Changes queued for the next heartbeat to a peer.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Routers whose records to send.
    pub(crate) records: BTreeSet<HostId>,
    /// Zones whose reports to send.
    pub(crate) reports: BTreeSet<ZoneId>,
    /// Hosts whose leaving marks to send.
    pub(crate) leaving: BTreeSet<HostId>,
    /// Whether to send digests.
    pub(crate) summary: bool,
    /// Whether to send versions.
    pub(crate) versions: bool,
    /// Whether to send a heartbeat even without changes.
    pub(crate) due: bool,
}

impl Outbox {
    /// Whether nothing is queued and no heartbeat is due.
    pub(crate) fn is_empty(&self) -> bool {
        let queued = self.records.len() + self.reports.len() + self.leaving.len();
        queued == 0 && !self.summary && !self.versions && !self.due
    }
}

/// A router to which a link is up.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    pub(crate) zone: ZoneId,
    pub(crate) addr: SocketAddr,
    /// When the last heartbeat arrived, or the link came up.
    pub(crate) last_heard: Mono,
    /// Count of the newest heartbeat; none before the first one.
    pub(crate) last_count: Option<u64>,
    /// Table in force at the peer.
    pub(crate) table: TableVersion,
    pub(crate) outbox: Outbox,
}

/// All routers to which a link is up.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<HostId, Peer>,
}

impl Peers {
    /// Adds a peer whose link came up; ignored if a newer process of the host is linked.
    pub(crate) fn link_up(&mut self, member: Member, zone: ZoneId, addr: SocketAddr, now: Mono) {
        let host = member.host.clone();
        let known = self.peers.get(&host);
        if known.is_some_and(|p| p.member.incarnation > member.incarnation) {
            return;
        }
        let peer = Peer {
            member,
            zone,
            addr,
            last_heard: now,
            last_count: None,
            table: TableVersion::default(),
            outbox: Outbox::default(),
        };
        self.peers.insert(host, peer);
    }

    /// Removes a peer whose link went down; ignored if another process of the host is linked.
    pub(crate) fn link_down(&mut self, member: &Member) {
        let known = self.peers.get(&member.host);
        if known.is_some_and(|p| p.member == *member) {
            self.peers.remove(&member.host);
        }
    }

    /// Returns the peer, if this very process of the host is linked.
    pub(crate) fn linked(&mut self, member: &Member) -> Option<&mut Peer> {
        let peer = self.peers.get_mut(&member.host)?;
        (peer.member == *member).then_some(peer)
    }

    /// Returns the peer on a host.
    pub(crate) fn get(&self, host: &str) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// Returns all peers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns all peers mutably.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    /// Returns the peers whose last heartbeat is more recent than `timeout`.
    pub(crate) fn responsive(&self, timeout: Duration, now: Mono) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            let silence = now.saturating_sub(peer.last_heard);
            peer.last_count.is_some() && silence < timeout
        })
    }
}
