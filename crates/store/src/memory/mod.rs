//! A key-value service and a host list in memory, for tests without sockets.
//!
//! [`StoreState`] holds the entries, versions and leases. [`MemoryStore`] wraps it in a
//! [`Store`](crate::store::Store) with fault injection: a test can plan a fault for any future
//! call, and so cause any fault at any step. The HTTP stand-in of the `primrose-standin` crate
//! serves a [`MemoryStore`]. [`MemoryHosts`] is the host list.

mod calls;
mod faults;
mod hosts;
mod state;
mod store;

pub use calls::Calls;
pub use calls::RateLimits;
pub use faults::Fault;
pub use hosts::MemoryHosts;
pub use state::StoreState;
pub use store::MemoryStore;
pub use store::StateVersion;
