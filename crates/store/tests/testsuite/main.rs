//! Tests of the interfaces to the platform.

mod consul;
mod consul_faults;
mod decoders;
mod hosts;
mod memory;
