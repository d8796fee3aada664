//! The bound on the service gap between two backlogged client accounts.
//!
//! The derivation is in `docs/design/fair-share.md`. It is a sum of parts that can each be read off
//! the tables and the protocol's times, so that a measurement can be compared with a bound that was
//! not taken from the measurement.

use std::time::Duration;

use primrose_core::cost::Service;

/// The parts of the bound, for accounts of weight one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GapBound {
    /// Difference above which a slot goes to another zone beside local work, in units.
    pub threshold: Service,
    /// Cost of the largest request, in units.
    pub max_request_cost: Service,
    /// Most slots that the two accounts have together.
    pub slots: u32,
    /// Service that the whole pool gives, in units a second.
    pub rate: f64,
    /// Time until what one dispatcher charges is known to all: digest period, one way, and the
    /// period at which routers report progress.
    pub delay: Duration,
}

impl GapBound {
    /// Bounds the difference of the two accounts' service at any moment, in units.
    pub fn difference(&self) -> Service {
        let unsettled = self.max_request_cost.saturating_mul(self.slots.into());
        let unseen = (self.rate * self.delay.as_secs_f64()).ceil() as Service;
        self.threshold
            .saturating_add(self.max_request_cost)
            .saturating_add(unseen)
            .saturating_add(unsettled.saturating_mul(2))
    }

    /// Bounds the difference of what the two accounts get in any interval in which both are
    /// backlogged, in units.
    pub fn gap(&self) -> Service {
        self.difference().saturating_mul(2)
    }
}
