//! Tests of the platform's borders.

mod consul;
mod consul_faults;
mod decoders;
mod hosts;
mod memory;
