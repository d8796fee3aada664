//! What the fleet asks of the platform it runs on: a key-value service and a host list.
//!
//! Hosts of the fleet have no disk, so everything that must last lives in the platform's key-value
//! service. The rest of the fleet sees it only through two trait objects: [`store::Store`] and
//! [`hosts::HostList`]. Each of them has an adapter for a published HTTP protocol, that of Consul,
//! and the store has a [`memory::MemoryStore`] whose faults a test sets by hand.
//!
//! The border makes one distinction that its users rest on: a call that was surely not applied
//! ([`store::StoreError::Unavailable`]) against a call whose reply was lost
//! ([`store::StoreError::Lost`]). The first may be made again at once. The second is settled by
//! reading back, because the write may have taken effect, or may still do so.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use primrose_store::memory::MemoryStore;
//! use primrose_store::store::{CommitResult, Op, Store};
//! # struct Still;
//! # impl primrose_core::clock::Clock for Still {
//! #     fn now(&self) -> Duration { Duration::from_secs(1) }
//! #     fn wall(&self) -> std::time::SystemTime { std::time::UNIX_EPOCH }
//! # }
//! # fn main() -> Result<(), primrose_store::store::StoreError> {
//! # let clock = Still;
//! let store = MemoryStore::new(Arc::new(clock));
//! let create = Op::create("claims/a", b"first".to_vec());
//! assert!(matches!(store.commit(&[create.clone()])?, CommitResult::Applied(_)));
//! // The second creation of the same key changes nothing and says which operation failed.
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
