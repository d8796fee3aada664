//! Events that an endpoint reports.

use std::net::SocketAddr;

use primrose_core::id::Member;
use primrose_core::id::ZoneId;

use crate::codec::CodecError;
use crate::frame::FrameError;
use crate::handshake::HandshakeError;

/// An event on the links of an endpoint.
///
/// Events are delivered in the order in which they happened: the messages of a process come only
/// between its `Up` and its `Down`.
#[derive(Debug, Clone, PartialEq)]
pub enum LinkEvent<M> {
    /// A peer has authenticated and accepts messages.
    Up {
        /// The peer.
        member: Member,
        /// Its availability zone.
        zone: ZoneId,
        /// Address on which the peer listens.
        addr: SocketAddr,
    },
    /// The link to a peer has ended.
    Down {
        /// The peer.
        member: Member,
        /// Reason.
        reason: DownReason,
    },
    /// A peer sent a message.
    Message {
        /// The peer.
        from: Member,
        /// The message.
        message: M,
    },
    /// A connection did not become a link.
    Refused {
        /// Remote address of the connection.
        addr: SocketAddr,
        /// Reason.
        reason: RefusedReason,
    },
}

/// Why a link ended.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum DownReason {
    /// The peer closed it.
    #[display("closed by the peer")]
    Closed,
    /// The peer was silent for too long.
    #[display("peer silent for too long")]
    Silent,
    /// The peer did not take a frame in time.
    #[display("peer too slow to take a frame")]
    Slow,
    /// A frame was not authentic or was out of order.
    #[display("bad frame: {_0}")]
    Frame(FrameError),
    /// An authentic frame contained an undecodable message.
    #[display("undecodable message: {_0}")]
    Codec(CodecError),
    /// A newer process on the same host replaced it.
    #[display("replaced by a newer process on the host")]
    Replaced,
    /// [`crate::Endpoint::disconnect`] was called.
    #[display("disconnected")]
    Disconnected,
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Failed(String),
}

/// Why a connection did not become a link.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum RefusedReason {
    /// The handshake failed.
    #[display("{_0}")]
    Handshake(HandshakeError),
    /// The link that is up is preferred, or is to a newer process of the host.
    #[display("another link to the host is preferred")]
    Duplicate,
    /// The limit of links is reached.
    #[display("too many links")]
    TooMany,
    /// The peer closed the connection during the handshake.
    #[display("closed by the peer: {_0}")]
    Closed(String),
    /// The handshake took too long.
    #[display("handshake timed out")]
    Timeout,
    /// The connection failed during the handshake.
    #[display("connection failed: {_0}")]
    Failed(String),
}
