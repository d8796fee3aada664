//! Tests of the stand-ins themselves: a faulty stand-in would prove nothing about the fleet.

mod client;
mod engine;
mod engine_faults;
mod plain;
