//! Small pieces that the programs share: the real clock, and JSON lines for the log.
//!
//! Kept tiny on purpose: what belongs to an area lives in that area's crate.

pub mod clock;
pub mod logger;
