//! Small utilities shared by the programs: the system clock, JSON logging, percent-encoding.
//!
//! This crate is small on purpose: code that belongs to one area lives in that area's crate.

pub mod clock;
pub mod logger;
pub mod uri;
