//! The router daemon as a library: one router process, its threads and the channels between them.
//!
//! The protocol crates implement state machines without I/O; this crate runs them on threads. A
//! [`router::Router`] is a complete router: the program `primrosed` runs one, the quick start runs
//! three in one process. `docs/ARCHITECTURE.md` describes what each thread does.
//!
//! All state machines run on one thread. They are small, share the membership view, the tables and
//! the server list, and handle an event in microseconds; locks between them would cost more and
//! would hide the order of events.
//!
//! ```
//! use primrosed::message::{DocumentKind, DOCUMENT_KINDS};
//! assert_eq!(DOCUMENT_KINDS.map(DocumentKind::name), ["tables", "accounts"]);
//! ```

mod broker;
pub mod cli;
mod decide;
mod duty;
mod input;
pub mod message;
mod observations;
pub mod ops;
mod reporter;
pub mod router;
mod snapshots;
