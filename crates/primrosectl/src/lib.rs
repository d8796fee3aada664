//! The operators' command line, as a library.
//!
//! The program itself is thin: it parses its arguments, builds one [`context::Context`], and runs
//! one of the [`commands`]. Each command has a module with `cli()`, which defines its arguments, and
//! `exec()`, which runs it and prints the result. The operations are in [`ops`], independent of
//! arguments and output, so that another program can apply tables or read the fleet's status with
//! the same code.
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
