//! Claims on idempotency keys: at most one run of a non-idempotent request over the whole fleet.
//!
//! Before a router sends such a request to a backend server, it claims the caller's idempotency
//! key by a create-only compare-and-swap in the platform's key-value service. The rules:
//!
//! - The [`Record`] names the request that wrote it. A write whose reply was lost is settled by
//!   reading the record back.
//! - No claim is taken over by timeout. Only a claim that its own holder has released, because it
//!   surely did not send the request, may be claimed anew.
//! - The same key with another body is refused; one client account cannot reach another's keys.
//! - Without an answer of the service there is no claim, and without a claim nothing is sent.
//!
//! A [`Desk`] groups the claims and closings that wait into commits of up to 64 operations. It
//! decides without input or output; [`Desk::step`] drives it over a
//! [`Store`](primrose_store::store::Store). Why not a lock with a time to live: a holder that
//! was paused past it and wakes would send a request that another router has sent meanwhile.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//! use primrose_claim::{ClaimResult, Desk, Limits, Order, Wish};
//! use primrose_core::clock::Clock;
//! use primrose_core::id::Member;
//! use primrose_store::memory::MemoryStore;
//! use primrose_support::clock::FakeClock;
//!
//! let clock = Arc::new(FakeClock::new());
//! let store = MemoryStore::new(clock.clone());
//! let mut desk = Desk::new("primrose", Limits::default());
//! let order = Order {
//!     request: 7,
//!     member: Member { host: "entry-1".to_owned(), incarnation: 1 },
//!     account: "parish-3".to_owned(),
//!     key: "van-12".to_owned(),
//!     body: [0; 32],
//!     wish: Wish::Claim,
//! };
//! desk.submit(order, clock.now());
//! clock.advance(Duration::from_millis(5));
//! let replies = desk.step(&store, &*clock);
//! assert_eq!(replies[0].result, ClaimResult::Made);
//! ```

pub mod call;
pub mod desk;
pub mod key;
pub mod order;
mod outage;
pub mod record;
pub mod sweep;
mod task;

pub use call::Call;
pub use call::CallResult;
pub use call::Limits;
pub use desk::Desk;
pub use order::ClaimResult;
pub use order::Order;
pub use order::Reply;
pub use order::Wish;
pub use record::Answer;
pub use record::Record;
pub use sweep::Sweeper;
