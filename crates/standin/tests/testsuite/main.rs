//! Tests of the stand-ins themselves: tests of the fleet are only valid if its stand-ins are correct.

mod client;
mod engine;
mod engine_faults;
mod plain;
