//! Types shared by all parts of the router fleet, without I/O.
//!
//! Decisions in this project are made by plain state machines, which take an event and the time and
//! return actions. This crate holds the types that these state machines have in common: ids
//! ([`id`]), the [`clock::Clock`] interface, the [`table::Table`] that operators edit, the
//! [`host::Host`] entries of the host list, the [`outcome::Outcome`] reported to a caller, and the
//! unit of service ([`cost`]). Nothing here opens a socket, starts a thread or reads a clock, so
//! that each rule can be tested with a table of cases.
//!
//! ```
//! use primrose_core::cost::{service, Tokens};
//! let used = Tokens { input: 100, output: 50 };
//! assert_eq!(service(used), 200);
//! ```

pub mod clock;
pub mod cost;
pub mod fingerprint;
pub mod host;
pub mod id;
pub mod memory;
pub mod outcome;
pub mod table;
