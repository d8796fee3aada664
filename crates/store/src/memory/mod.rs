//! A key-value service in memory, for tests that need no sockets.
//!
//! [`StoreState`] is the plain state of such a service: what [`MemoryStore`] keeps, and what the HTTP
//! stand-in of the `primrose-standin` crate serves. [`MemoryStore`] adds faults, each of them set by
//! hand for a numbered call, so that a test can cause any fault at any step.

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
