//! Test helpers of all crates: a fake clock, seeded property tests and builders of small tables.
//!
//! No shipped program depends on this crate.

pub mod clock;
pub mod seeded;
pub mod tables;
