//! What the program does, usable without its command line.

pub mod check;
pub mod error;
pub mod run;
