//! Resolution of duplicate links between the same two hosts.
//!
//! Both ends apply the same rule, so that two routers that dial each other simultaneously keep one
//! link and agree on which.

use primrose_core::id::Member;

/// One of two links between the same hosts, as seen from one end.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The process at the other end.
    pub peer: &'a Member,
    /// Whether this end dialed.
    pub dialed: bool,
}

/// What happens to the existing link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The existing link is kept and the new one refused.
    KeepOld,
    /// The new connection replaces the existing one; the peer is the same process.
    SwapConnection,
    /// The new link replaces the existing one; the peer is a newer process.
    ReplaceProcess,
}

/// Decides between an existing link and a new one.
///
/// The newer incarnation of the peer wins. With equal incarnations, the link dialed by the host
/// with the lesser name wins; of two links dialed by the same end, the newer wins, because an end
/// redials only when it considers the former link broken.
pub fn resolve_duplicate(me: &Member, old: Candidate<'_>, new: Candidate<'_>) -> Resolution {
    if new.peer.incarnation > old.peer.incarnation {
        return Resolution::ReplaceProcess;
    }
    if new.peer.incarnation < old.peer.incarnation {
        return Resolution::KeepOld;
    }
    if old.dialed == new.dialed {
        return Resolution::SwapConnection;
    }
    let lesser = me.host < new.peer.host;
    if new.dialed == lesser {
        Resolution::SwapConnection
    } else {
        Resolution::KeepOld
    }
}
