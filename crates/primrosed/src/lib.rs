//! The router daemon as a library: one router process, its threads and their rings.
//!
//! The deciding crates hold the rules; this one puts them on threads. A [`router::Router`] is a
//! whole router, which the program `primrosed` runs alone and the quick start runs three of. The
//! chapter `docs/ARCHITECTURE.md` says which thread does what.
//!
//! Why one deciding thread for all machines: they are small, share what they know (the view, the
//! tables, the servers), and take microseconds for an event; locks between them would cost more
//! and hide their order.
//!
//! ```
//! use primrosed::message::{DocumentKind, DOCUMENT_KINDS};
//! assert_eq!(DOCUMENT_KINDS.map(DocumentKind::name), ["tables", "accounts"]);
//! ```

mod broker;
pub mod cli;
mod decide;
mod input;
pub mod message;
mod observations;
pub mod ops;
mod reporter;
pub mod router;
mod snapshots;
mod threads;
