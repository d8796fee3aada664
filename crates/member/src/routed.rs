//! Forwarding of messages to routers without a direct link.
//!
//! A message is sent in an envelope that names its sender and its receiver. Every router on the
//! route applies the same rule: deliver the message if it is for this process, else forward it to
//! the next hop, else drop it. The number of hops is limited, so that messages do not loop for long
//! while the views of routers differ.

use primrose_core::id::HostId;
use primrose_core::id::Member;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of links that a message may cross.
///
/// The longest regular route crosses seven links: three between zones (to the zone that links the
/// region, to the other region, to the receiver's zone), and one within a zone before and after
/// each of them. The rest allows for detours around failed links.
pub const MAX_HOPS: u8 = 16;

/// A message in the envelope in which it is forwarded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routed<M> {
    /// Sender of the message.
    pub from: Member,
    /// Receiver of the message.
    pub to: Member,
    /// Number of links crossed so far.
    pub hops: u8,
    /// The message.
    pub message: M,
}

/// Result of the forwarding rule for a message at one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Forward<M> {
    /// The message is for this process.
    Deliver {
        /// Sender of the message.
        from: Member,
        /// The message.
        message: M,
    },
    /// The message is forwarded over a link.
    Relay {
        /// The next hop.
        next: HostId,
        /// The message, with its hop counted.
        routed: Routed<M>,
    },
    /// The message is dropped.
    Drop(DropReason),
}

/// Why a message is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum DropReason {
    /// The message was for another process on this host.
    #[display("the receiving process was replaced")]
    Replaced,
    /// No route to the receiver is known.
    #[display("no way to the receiver")]
    NoWay,
    /// The message has crossed [`MAX_HOPS`] links.
    #[display("too many hops")]
    Hops,
}

/// Routing information for the forwarding rule; implemented by [`crate::View`].
pub trait Routes {
    /// Returns this router process.
    fn me(&self) -> &Member;

    /// Returns the peer that is the next hop to a router; none if no route is known.
    fn next_hop(&self, to: &Member) -> Option<&HostId>;
}

impl<M> Routed<M> {
    /// Wraps a message in an envelope.
    pub fn new(from: Member, to: Member, message: M) -> Self {
        Self {
            from,
            to,
            hops: 0,
            message,
        }
    }

    /// Applies the forwarding rule, at the sender and at every router on the route.
    pub fn forward(mut self, routes: &dyn Routes) -> Forward<M> {
        let me = routes.me();
        if self.to == *me {
            return Forward::Deliver {
                from: self.from,
                message: self.message,
            };
        }
        if self.to.host == me.host {
            return Forward::Drop(DropReason::Replaced);
        }
        if self.hops >= MAX_HOPS {
            return Forward::Drop(DropReason::Hops);
        }
        let Some(next) = routes.next_hop(&self.to) else {
            return Forward::Drop(DropReason::NoWay);
        };
        let next = next.clone();
        self.hops += 1;
        Forward::Relay { next, routed: self }
    }
}
