//! The operators' documents: parsing, validation, comparison and activation.
//!
//! Operators configure the fleet by two tables, routes and pools, which share one INI document
//! under one key of the platform's key-value service. With one key, a single compare-and-swap
//! changes both tables, so the references between them are always validated together. A second
//! document holds the hashes of the client accounts' keys ([`accounts`]); it changes at different
//! times and is often edited by different people.
//!
//! [`Document::parse`](document::Document::parse) parses a text into a validated
//! [`Table`](primrose_core::table::Table) or returns all its [`Fault`](ini::Fault)s, not only the
//! first. [`render`](document::Document::render) is its inverse. [`diff`] compares two tables row
//! by row. [`activation`] is the state machine by which a router decides which generation it serves.
//!
//! This crate reads no file, socket or clock.
//!
//! ```
//! use primrose_table::document::Document;
//! let text = "\
//! [document]
//! generation = 1
//! [route chat]
//! model = small
//! pool = engines
//! deadline = 30s
//! idempotent = yes
//! cost = 500
//! [pool engines]
//! kind = engine
//! service = engine
//! min-slots = 1
//! max-slots = 8
//! longest-run = 60s
//! ";
//! let document = Document::parse("tables.ini", text).unwrap();
//! assert_eq!(document.table.routes["chat"].pool, "engines");
//! let faults = Document::parse("tables.ini", &text.replace("30s", "soon")).unwrap_err();
//! assert_eq!(faults.0[0].line, 6);
//! ```

pub mod accounts;
pub mod activation;
pub mod check;
pub mod diff;
pub mod document;
pub mod header;
pub mod ini;
pub mod pool;
pub mod route;
pub mod row;
pub mod value;
