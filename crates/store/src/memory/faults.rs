//! Fault injection for the memory store.

use std::collections::BTreeMap;

/// A fault of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call never reaches the service.
    Refused,
    /// The reply is lost and the call had no effect.
    LostBefore,
    /// The reply is lost after the call took effect.
    LostAfter,
    /// The reply is lost and the call takes effect only after this many further calls.
    Late(u64),
}

/// Planned faults by the number of the call, counted from 1.
#[derive(Debug, Default)]
pub(crate) struct FaultPlan {
    down: bool,
    by_call: BTreeMap<u64, Fault>,
}

impl FaultPlan {
    /// Sets whether every call is refused.
    pub(crate) fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// Returns whether every call is refused.
    pub(crate) fn is_down(&self) -> bool {
        self.down
    }

    /// Plans a fault for one call.
    pub(crate) fn add(&mut self, call: u64, fault: Fault) {
        self.by_call.insert(call, fault);
    }

    /// Removes and returns the fault of a call.
    pub(crate) fn take(&mut self, call: u64) -> Option<Fault> {
        let planned = self.by_call.remove(&call);
        if self.down {
            return Some(Fault::Refused);
        }
        planned
    }
}
