//! The operators' command line, as a library.
//!
//! The program is thin: it parses its arguments, builds one [`context::Context`], and runs one of
//! the [`commands`]. Each command has a file with `cli()`, which says what it accepts, and `exec()`,
//! which prints what came of it. The work itself is in [`ops`], which knows no arguments and prints
//! nothing, so that another program can apply a table or read the fleet's status in the same way.
//!
//! ```
//! use primrosectl::ops::keys::Keys;
//! assert_eq!(Keys::new("primrosehall").tables, "primrosehall/tables");
//! ```

pub mod commands;
pub mod context;
pub mod exit;
pub mod ops;
pub mod shell;
