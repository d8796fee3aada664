//! Small pieces that the programs share: the real clock, JSON lines for the log, escaped keys.
//!
//! Kept tiny on purpose: what belongs to an area lives in that area's crate.

pub mod clock;
pub mod logger;
pub mod uri;
