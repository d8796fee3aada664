//! Types that every part of the router fleet shares, free of input and output.
//!
//! Decisions in this project are plain state machines: they take an event and the time, and give
//! back actions. This crate holds the words those machines have in common: ids ([`id`]), the
//! [`clock::Clock`] interface, the [`table::Table`] that operators edit, the [`host::Host`] entries
//! of the host list, the [`outcome::Outcome`] a caller is told, and [`cost`], the unit in which
//! service is counted. Nothing here opens a socket, starts a thread or reads a clock, so that each
//! rule can be driven by a table of cases.
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
pub mod outcome;
pub mod table;
