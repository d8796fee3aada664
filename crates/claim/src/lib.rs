//! Claims on idempotency keys: a non-idempotent request runs at most once in the whole fleet.
//!
//! Before a router sends such a request to a backend server, it claims the caller's idempotency
//! key by a create-only compare-and-swap in the platform's key-value service. The rules:
//!
//! - The [`Record`] names the request that wrote it. When the reply to a write is lost, the record
//!   is read back to find out whether the write was applied.
//! - No other request can take over a claim because of its age. Only a claim that its own holder
//!   has released, because it certainly did not send the request, may be claimed again. The
//!   protection of a key ends when a [`Sweeper`] removes its record after the retention time.
//! - The same key with another body is refused; one client account cannot reach another's keys.
//! - Without a reply from the service there is no claim, and without a claim nothing is sent.
//!
//! A [`ClaimWriter`] batches pending claim and close requests into commits of up to 64 operations.
//! A close request ends a claim: it releases it or records the outcome of the request. The writer
//! does no I/O of its own; [`ClaimWriter::step`] drives it over a
//! [`Store`](primrose_store::store::Store). A lock with a time to live would not be safe: a holder
//! that was paused past the time to live would send a request that another router has sent since.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//! use primrose_claim::{ClaimAction, ClaimRequest, ClaimResult, ClaimWriter, Limits};
//! use primrose_core::clock::Clock;
//! use primrose_core::id::Member;
//! use primrose_store::memory::MemoryStore;
//! use primrose_support::clock::FakeClock;
//!
//! let clock = Arc::new(FakeClock::new());
//! let store = MemoryStore::new(clock.clone());
//! let mut writer = ClaimWriter::new("primrose", Limits::default());
//! let request = ClaimRequest {
//!     request: 7,
//!     member: Member { host: "entry-1".to_owned(), incarnation: 1 },
//!     account: "parish-3".to_owned(),
//!     key: "van-12".to_owned(),
//!     body: [0; 32],
//!     action: ClaimAction::Claim,
//! };
//! writer.submit(request, clock.now());
//! clock.advance(Duration::from_millis(5));
//! let replies = writer.step(&store, &*clock);
//! assert_eq!(replies[0].result, ClaimResult::Made);
//! ```

// The names of modules that log (`desk`, `task`, `sweep`) must stay: a log line carries its module
// as its target, and PRIMROSE_LOG filters by it.

pub mod call;
mod circuit_breaker;
pub mod desk;
pub mod key;
pub mod record;
pub mod request;
pub mod sweep;
mod task;

pub use call::Call;
pub use call::CallResult;
pub use call::Limits;
pub use desk::ClaimWriter;
pub use record::Answer;
pub use record::Record;
pub use request::ClaimAction;
pub use request::ClaimRequest;
pub use request::ClaimResult;
pub use request::Reply;
pub use sweep::Sweeper;
