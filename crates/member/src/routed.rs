//! Messages to routers that are not linked directly.
//!
//! A message travels in an envelope that names its sender and its receiver. Every router on the
//! way applies the same rule: deliver what is for this process, else hand it to the next peer on
//! the way, else drop it. The number of hops is limited, so views that differ for a moment cannot
//! make a message circle for long.

use primrose_core::id::HostId;
use primrose_core::id::Member;
use serde::Deserialize;
use serde::Serialize;

/// Most links that a message may cross.
///
/// The longest regular way is zone, region, region, zone, with a link inside a zone before and
/// after each: seven. The rest is room for detours around failed links.
pub const MAX_HOPS: u8 = 16;

/// A message on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routed<M> {
    /// Who sent it.
    pub from: Member,
    /// Who is to get it.
    pub to: Member,
    /// Links crossed so far.
    pub hops: u8,
    /// The message.
    pub message: M,
}

/// What becomes of a message at one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Forward<M> {
    /// It is for this process.
    Deliver {
        /// Who sent it.
        from: Member,
        /// The message.
        message: M,
    },
    /// It goes on over a link.
    Relay {
        /// The peer.
        next: HostId,
        /// The message, one hop further.
        routed: Routed<M>,
    },
    /// It goes no further.
    Drop(DropReason),
}

/// Why a message goes no further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum DropReason {
    /// It was for another process on this host.
    #[display("the receiving process was replaced")]
    Replaced,
    /// No way to the receiver is known.
    #[display("no way to the receiver")]
    NoWay,
    /// It has crossed too many links.
    #[display("too many hops")]
    Hops,
}

/// What the forwarding rule needs to know; a [`crate::View`] knows it.
pub trait Routes {
    /// Returns this process.
    fn me(&self) -> &Member;

    /// Returns the peer that is next on the way to a router.
    fn next_hop(&self, to: &Member) -> Option<&HostId>;
}

impl<M> Routed<M> {
    /// Puts a message into an envelope.
    pub fn new(from: Member, to: Member, message: M) -> Self {
        Self {
            from,
            to,
            hops: 0,
            message,
        }
    }

    /// Applies the forwarding rule; for the sender as for every router on the way.
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
