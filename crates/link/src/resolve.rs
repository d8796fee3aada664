//! Which of two links between the same two hosts stays.
//!
//! Both ends apply the same rule, so that two routers that dial each other at the same moment end
//! with one link and agree on which.

use primrose_core::id::Member;

/// One of the links between two hosts, as one end sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The process at the other end.
    pub peer: &'a Member,
    /// Whether this end dialed.
    pub dialed: bool,
}

/// What becomes of the link that was there first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// It stays; the new one is refused.
    KeepOld,
    /// The new one takes its place; the peer is the same process.
    SwapConnection,
    /// The new one takes its place; the peer is a newer process.
    ReplaceProcess,
}

/// Decides between the link that is there and a new one.
///
/// A newer incarnation wins. Between equal ones the link that the lesser host name dialed wins, and
/// among links dialed by the same end the newer wins: an end dials again only when it regards the
/// former link as broken.
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
