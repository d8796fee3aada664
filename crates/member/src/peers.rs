//! The routers to which a link is up, and what each of them still lacks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::HostId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::heartbeat::TableVersion;

/// News that wait for the next beat to a peer.
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
    /// Whether to send a beat even without news.
    pub(crate) due: bool,
}

impl Outbox {
    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        let records = self.records.len() + self.reports.len() + self.leaving.len();
        records == 0 && !self.summary && !self.versions && !self.due
    }
}

/// A router to which a link is up.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    pub(crate) zone: ZoneId,
    pub(crate) addr: SocketAddr,
    /// When the link came up or the last beat came.
    pub(crate) last_heard: Mono,
    /// Count of the newest beat; none before the first.
    pub(crate) last_count: Option<u64>,
    /// Table in force there.
    pub(crate) table: TableVersion,
    pub(crate) outbox: Outbox,
}

/// Routers to which a link is up.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<HostId, Peer>,
}

impl Peers {
    /// A link came up.
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

    /// A link went down; nothing changes if a newer process has taken its place.
    pub(crate) fn link_down(&mut self, member: &Member) {
        let known = self.peers.get(&member.host);
        if known.is_some_and(|p| p.member == *member) {
            self.peers.remove(&member.host);
        }
    }

    /// Returns the peer, if this process of the host is linked.
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

    /// Returns all peers.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    /// Returns the peers that were heard of late enough.
    pub(crate) fn responsive(&self, timeout: Duration, now: Mono) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            let silence = now.saturating_sub(peer.last_heard);
            peer.last_count.is_some() && silence < timeout
        })
    }
}
