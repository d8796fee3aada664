//! Interfaces to the services of the platform: a key-value service and a host list.
//!
//! Hosts of the fleet have no disk, so all durable state is in the platform's key-value service.
//! The rest of the fleet accesses the platform only through two traits: [`store::Store`] and
//! [`hosts::HostList`]. Each has an adapter for Consul's HTTP protocol, and for tests an
//! implementation in memory with fault injection ([`memory`]).
//!
//! Callers rely on one distinction: a call that was certainly not applied
//! ([`store::StoreError::Unavailable`]) or a call whose reply was lost
//! ([`store::StoreError::Lost`]). The first may be retried at once. After the second the caller
//! must read back, because the write may have taken effect, or may still do so.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use primrose_store::memory::MemoryStore;
//! use primrose_store::store::{CommitResult, Op, Store};
//! # struct FixedClock;
//! # impl primrose_core::clock::Clock for FixedClock {
//! #     fn now(&self) -> Duration { Duration::from_secs(1) }
//! #     fn wall(&self) -> std::time::SystemTime { std::time::UNIX_EPOCH }
//! # }
//! # fn main() -> Result<(), primrose_store::store::StoreError> {
//! # let clock = FixedClock;
//! let store = MemoryStore::new(Arc::new(clock));
//! let create = Op::create("claims/a", b"first".to_vec());
//! assert!(matches!(store.commit(&[create.clone()])?, CommitResult::Applied(_)));
//! // The second creation of the same key changes nothing and returns the failed operation.
//! match store.commit(&[create])? {
//!     CommitResult::Conflict(conflict) => assert_eq!(conflict.op, 0),
//!     CommitResult::Applied(_) => unreachable!(),
//! }
//! # Ok(())
//! # }
//! ```

pub mod consul;
pub mod hosts;
pub mod memory;
pub mod store;
