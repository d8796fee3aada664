//! Weighted fair sharing of one pool between client accounts, over the whole fleet.
//!
//! A [`Ledger`] holds one counter of weighted service per client account, the virtual token counter
//! of Sheng et al., "Fairness in Serving Large Language Models", 2024. Whoever hands out capacity
//! gives it to the backlogged account with the lowest counter. That paper has one server with one
//! counter per client; here every zone has a ledger, and ledgers exchange what they charged.
//!
//! What is exchanged are counters that only grow, per writer and account, merged by maximum: a
//! digest that is late, doubled or out of order changes nothing, and a process that restarts empty
//! is a new writer that neither erases nor doubles what the old one charged. Sums of counters were
//! not chosen as the local order, because they could never forget a writer: each ledger adds up the
//! *increments* it sees, so a writer that is gone can be dropped without a jump.
//!
//! [`Estimator`] supplies the cost that is charged before a request's true cost is known.
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
