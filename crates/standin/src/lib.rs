//! Stand-ins for the outside systems that the fleet talks to: for tests and the quick start.
//!
//! Each stand-in speaks real HTTP on the loopback address and keeps its own record of what it did,
//! which a test reads in the same process and trusts over anything that a router says. Faults are
//! set by hand on the stand-in's handle. All stand-ins of a test share one [`runtime::Runtime`], so
//! that two hundred of them need a single thread. Nothing here ships in a program.
//!
//! - [`engine::Engine`]: a model engine that batches, streams, caches prefixes and can crash.
//! - [`plain::Plain`]: a plain service that counts its runs by key.
//! - [`kv::Kv`]: a key-value service with outages, lost replies and restored copies.
//! - [`hosts::Hosts`]: a host list with a lag.
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
