//! Stand-ins for the external systems of the fleet, for tests and the quick start.
//!
//! Each stand-in speaks real HTTP on the loopback address and records the requests that it handled.
//! A test reads this record in the same process and takes it as the truth against which a router's
//! own reports are checked. Faults are injected through the stand-in's handle. All stand-ins of a test
//! share one [`runtime::Runtime`], so that two hundred of them need a single thread. No shipped
//! program uses this crate.
//!
//! - [`engine::Engine`]: a model engine that batches, streams, caches prefixes and can crash.
//! - [`plain::Plain`]: a plain service that counts its runs by key.
//! - [`kv::Kv`]: a key-value service with outages, lost replies and restored backups.
//! - [`hosts::Hosts`]: a host registry whose changes become visible after a delay.
//!
//! ```
//! use primrose_standin::plain::{Plain, PlainConfig};
//! use primrose_standin::runtime::Runtime;
//!
//! let runtime = Runtime::new().expect("a thread can be started");
//! let plain = Plain::start(&runtime, PlainConfig::default()).expect("a port is free");
//! assert!(plain.addr().ip().is_loopback());
//! assert!(plain.runs().is_empty());
//! ```

pub mod engine;
pub mod hosts;
mod http;
pub mod kv;
pub mod plain;
pub mod runtime;
mod server;
