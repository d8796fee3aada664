//! What a view is told and what it asks for.

use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::host::Host;
use primrose_core::id::HostId;
use primrose_core::id::Incarnation;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::heartbeat::Heartbeat;
use crate::heartbeat::TableVersion;

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The host list showed these hosts, of all services; it lags.
    Hosts(Vec<Host>),
    /// A link came up.
    LinkUp {
        /// The peer.
        member: Member,
        /// Its availability zone.
        zone: ZoneId,
        /// Where it listens for peers.
        addr: SocketAddr,
    },
    /// A link went down.
    LinkDown {
        /// The peer.
        member: Member,
    },
    /// A peer sent a beat.
    Heartbeat {
        /// The peer.
        from: Member,
        /// The beat.
        heartbeat: Heartbeat,
    },
    /// The table in force has changed.
    Table(TableVersion),
    /// This router is shutting down and gives up its duties.
    Drain,
    /// Time has passed; due every [`crate::Timing::tick`].
    Tick,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Keep dialing a host until told to disconnect.
    Connect {
        /// The host.
        host: HostId,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Keep dialing an address whose host is not known.
    ConnectSeed {
        /// The address.
        addr: SocketAddr,
    },
    /// Stop dialing a seed and close the link that came of it.
    DisconnectSeed {
        /// The address.
        addr: SocketAddr,
    },
    /// Stop dialing a host and close the link.
    Disconnect {
        /// The host.
        host: HostId,
    },
    /// Send a beat to a peer whose link is up.
    SendHeartbeat {
        /// The peer.
        to: HostId,
        /// The beat.
        heartbeat: Heartbeat,
    },
    /// A router of this zone can be reached; it may be draining.
    MemberUp {
        /// The router.
        member: Member,
    },
    /// A router of this zone can no longer be reached, or was replaced.
    MemberDown {
        /// The router.
        member: Member,
    },
    /// A host must get no new work; said once for each incarnation.
    ServerLeaving {
        /// The host.
        host: HostId,
        /// Its incarnation; lesser ones are leaving too.
        incarnation: Incarnation,
    },
    /// This process was paused; whatever it held under a lease may be gone.
    PauseDetected {
        /// Time since the tick before.
        gap: Duration,
    },
}
