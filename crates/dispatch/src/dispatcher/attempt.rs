//! Attempts that were granted a slot and have not ended.

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

/// Slot of another zone on which an attempt runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BorrowedSlot {
    pub(crate) id: LoanId,
    /// Zone that lent it; `None` if not known yet.
    pub(crate) zone: Option<ZoneId>,
}

/// Attempt that holds a slot.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) router: Member,
    pub(crate) account: AccountId,
    pub(crate) route: RouteId,
    pub(crate) server: ServerId,
    pub(crate) loan: Option<BorrowedSlot>,
    /// Units charged so far.
    pub(crate) charged: Service,
    pub(crate) used: Service,
    /// Sequence number of the grant; zero if another dispatcher granted it.
    pub(crate) sequence: Sequence,
    pub(crate) granted: Mono,
    /// Whether the router has reported it as running.
    pub(crate) listed: bool,
    /// Whether the router was lost, so that only load reports or the longest run time free the
    /// slot.
    pub(crate) orphaned: bool,
    pub(crate) suspect: bool,
    /// Registration to restore if the grant is declined.
    pub(crate) entry: Option<Entry>,
}

impl Attempt {
    /// Returns whether `seen` acknowledges the grant.
    pub(crate) fn received(&self, seen: Seen, epoch: Epoch) -> bool {
        self.sequence == 0 || (seen.epoch == epoch && self.sequence <= seen.sequence)
    }
}
