//! Tests of the parts of a gateway that need no network.

mod log;
mod split;
