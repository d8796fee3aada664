//! Tests of the dispatch crate: cases for each state machine, and a small fleet of them joined by
//! queues, with a clock that is passed in.

mod build;
mod fairness;
mod fleet;
mod plan;
mod requester;
mod slots;
mod suspects;
mod ways;
mod wire;
