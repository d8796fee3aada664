//! Weighted fair sharing of one pool between client accounts, over the whole fleet.
//!
//! A [`Ledger`] holds one counter of weighted service per client account, the virtual token counter
//! of Sheng et al., "Fairness in Serving Large Language Models", 2024. A dispatcher gives capacity
//! to the backlogged account with the lowest counter. That paper has one server with one counter
//! per client; here every zone has a ledger, and the ledgers exchange what they charged.
//!
//! Ledgers exchange grow-only totals per writer and account, merged by maximum: a late, duplicate
//! or reordered digest changes nothing, and a process that restarts empty is a new writer that
//! neither erases nor doubles the charges of the old one. A counter accumulates the *increments*
//! that its ledger sees. It is not the sum of all totals, because such a sum would jump when a
//! departed writer is dropped, and so no writer could ever be dropped.
//!
//! [`Estimator`] supplies the cost that is charged before a request's true cost is known, and
//! [`GapBound`] the maximum difference in service between two accounts.
//!
//! ```
//! use std::time::Duration;
//! use primrose_core::id::Member;
//! use primrose_share::Ledger;
//!
//! let now = Duration::from_secs(1);
//! let member = Member { host: "h1".into(), incarnation: 1 };
//! let mut ledger = Ledger::new(member, now);
//! ledger.set_weight("temple", 2);
//! ledger.charge("temple", 100);
//! ledger.charge("mosque", 100);
//! assert!(ledger.service("temple") < ledger.service("mosque"));
//! ```

mod bound;
mod estimate;
mod ledger;
mod writer;

pub use bound::GapBound;
pub use estimate::Estimator;
pub use ledger::weighted_service;
pub use ledger::Ledger;
pub use ledger::Standing;
pub use ledger::WeightedService;
pub use ledger::MAX_CATCH_UP_UNITS;
pub use writer::Row;
