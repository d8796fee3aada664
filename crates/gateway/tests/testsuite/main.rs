//! Tests of the parts of a gateway that need no network.

mod busy;
mod log;
mod split;
