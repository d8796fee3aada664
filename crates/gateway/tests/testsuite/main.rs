//! Tests of the parts of a gateway that need no network.

mod idle;
mod log;
mod memory;
mod overload;
mod split;
