//! Retries that cannot make an outage worse.
//!
//! Two parts, both plain state without a clock or a random source of their own. A [`Budget`] ties
//! the number of retries to the number of first attempts, so that retries stay a fixed share of
//! the traffic however many requests fail. A [`Backoff`] spreads the retries of many clients over
//! time, so that a service that comes back is not met by all of them at once.
//!
//! A per-request retry limit was weighed instead of the budget: with three tries a request, an
//! outage triples the traffic at the worst moment. Equal jitter (half the delay fixed) was weighed
//! instead of full jitter: after an outage that all clients see at the same time it leaves half of
//! the interval empty and doubles the rate in the other half.
//!
//! ```
//! use primrose_retry::{Budget, BudgetConfig};
//! let mut budget = Budget::new(BudgetConfig { permille: 100, burst: 5, reserve: 0 });
//! for _ in 0..10 {
//!     budget.record_attempt();
//! }
//! assert!(budget.try_retry());
//! assert!(!budget.try_retry());
//! ```

mod backoff;
mod budget;

pub use backoff::Backoff;
pub use backoff::BackoffConfig;
pub use budget::Budget;
pub use budget::BudgetConfig;
