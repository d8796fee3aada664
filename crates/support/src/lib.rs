//! Builders and fakes for tests: a clock that is set by hand, seeded checkers, and small tables.
//!
//! Test code of every crate shares this; no shipped program depends on it.

pub mod clock;
pub mod seeded;
pub mod tables;
