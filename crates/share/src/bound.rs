//! Upper bound on the service gap between two backlogged client accounts.
//!
//! The bound is derived in `docs/design/fair-share.md`. Its parts follow from the tables and the
//! timing constants of the protocol, never from a measurement, so that a measured gap can be
//! checked against it.

use std::time::Duration;

use primrose_core::cost::Service;

/// Parameters of the bound, for accounts of weight one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GapBound {
    /// Difference in service above which a slot is lent to another zone although local requests
    /// wait, in units.
    pub threshold: Service,
    /// Cost of the largest request, in units.
    pub max_request_cost: Service,
    /// Maximum number of slots that the two accounts occupy together.
    pub slots: u32,
    /// Service rate of the whole pool, in units per second.
    pub rate: f64,
    /// Time until a charge is visible to all dispatchers: the digest period, the one-way network
    /// delay and the period at which routers report progress.
    pub delay: Duration,
}

impl GapBound {
    /// Returns the maximum difference between the service counters of the two accounts at any
    /// moment, in units.
    pub fn difference(&self) -> Service {
        let unsettled = self.max_request_cost.saturating_mul(self.slots.into());
        let invisible = (self.rate * self.delay.as_secs_f64()).ceil() as Service;
        self.threshold
            .saturating_add(self.max_request_cost)
            .saturating_add(invisible)
            .saturating_add(unsettled.saturating_mul(2))
    }

    /// Returns the maximum difference between the service that the two accounts receive in any
    /// interval during which both are backlogged, in units.
    pub fn gap(&self) -> Service {
        self.difference().saturating_mul(2)
    }
}
