//! Input events and output actions of a view.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::host::Host;
use primrose_core::id::HostId;
use primrose_core::id::Incarnation;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::heartbeat::Heartbeat;
use crate::heartbeat::TableVersion;

/// An input of a [`View`](crate::View).
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The host list shows these hosts, of all services; it may be out of date.
    Hosts(Vec<Host>),
    /// A link came up.
    LinkUp {
        /// The peer.
        member: Member,
        /// Availability zone of the peer.
        zone: ZoneId,
        /// Address on which the peer listens for peers.
        addr: SocketAddr,
    },
    /// A link went down.
    LinkDown {
        /// The peer.
        member: Member,
    },
    /// A peer sent a heartbeat.
    Heartbeat {
        /// The peer.
        from: Member,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// The table in force has changed.
    Table(TableVersion),
    /// This router is shutting down and gives up its duties.
    Drain,
    /// Time has passed; expected every [`crate::Timing::tick`].
    Tick,
}

/// A request of a [`View`](crate::View) to its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Keep dialing a host until [`Action::Disconnect`].
    Connect {
        /// The host.
        host: HostId,
        /// Address on which the host listens.
        addr: SocketAddr,
    },
    /// Keep dialing an address of an unknown host until [`Action::DisconnectSeed`].
    ConnectSeed {
        /// The address.
        addr: SocketAddr,
    },
    /// Stop dialing a seed and close the link that resulted from it.
    DisconnectSeed {
        /// The address.
        addr: SocketAddr,
    },
    /// Stop dialing a host and close the link.
    Disconnect {
        /// The host.
        host: HostId,
    },
    /// Send a heartbeat to a peer whose link is up.
    SendHeartbeat {
        /// The peer.
        to: HostId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// A router of this zone became reachable; it may be draining.
    MemberUp {
        /// The router.
        member: Member,
    },
    /// A router of this zone is no longer reachable, or was replaced.
    MemberDown {
        /// The router.
        member: Member,
    },
    /// A host must get no new work; emitted once for each incarnation.
    ServerLeaving {
        /// The host.
        host: HostId,
        /// Its incarnation; lower incarnations are leaving too.
        incarnation: Incarnation,
    },
    /// This process was paused; its leases may have expired.
    PauseDetected {
        /// Time since the previous tick.
        gap: Duration,
    },
}
