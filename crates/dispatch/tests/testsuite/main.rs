//! Tests of the dispatch crate: unit cases for each state machine, and a simulation of a fleet of
//! them with a simulated network and clock.

mod fairness;
mod harness;
mod policies;
mod random_failures;
mod requester;
mod sim;
mod slots;
mod suspects;
mod wire;
