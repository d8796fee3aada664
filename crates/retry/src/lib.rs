//! Retry budget and backoff, which keep retries from making an outage worse.
//!
//! A [`Budget`] limits the number of retries to a fixed share of the first attempts, however many
//! requests fail. A [`Backoff`] spreads the retries of many clients over time, so that they do not
//! all reach a recovering service at once. Both are plain state without a clock or a random source
//! of their own.
//!
//! A limit per request was rejected in favor of the budget: with three attempts per request, it
//! triples the traffic during an outage. Equal jitter (half the delay fixed) was rejected in favor
//! of full jitter: after an outage that all clients see at the same time, it leaves half of the
//! interval empty and doubles the rate in the other half.
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
