//! Attempts that were granted and have not ended.

use primrose_core::clock::Mono;
use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::Member;
use primrose_core::id::RouteId;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;

use crate::dispatcher::waiting::Entry;
use crate::message::Epoch;
use crate::message::LoanId;
use crate::message::Seen;
use crate::message::Sequence;

/// The slot of another zone on which an attempt runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Borrowing {
    pub(crate) id: LoanId,
    /// Zone that lent it; nothing if that is not known yet.
    pub(crate) zone: Option<ZoneId>,
}

/// One attempt that has a slot.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) router: Member,
    pub(crate) account: AccountId,
    pub(crate) route: RouteId,
    pub(crate) server: ServerId,
    pub(crate) loan: Option<Borrowing>,
    /// Units charged so far.
    pub(crate) charged: Service,
    pub(crate) used: Service,
    /// Number of the grant; zero if another dispatcher granted it.
    pub(crate) sequence: Sequence,
    pub(crate) granted: Mono,
    /// The router has listed it as running.
    pub(crate) listed: bool,
    /// The router is gone: only the server's report or the longest run frees the slot.
    pub(crate) orphaned: bool,
    pub(crate) suspect: bool,
    /// The registration, to be put back if the grant is declined.
    pub(crate) entry: Option<Entry>,
}

impl Attempt {
    /// Tells whether the router had the grant when it said what it had seen.
    pub(crate) fn received(&self, seen: Seen, epoch: Epoch) -> bool {
        self.sequence == 0 || (seen.epoch == epoch && self.sequence <= seen.sequence)
    }
}
