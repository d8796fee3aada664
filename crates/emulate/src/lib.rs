//! A model of the system that gateways serve, without network, sockets or a clock.
//!
//! [`engine`] is a model engine: batches, chunked reading, one memory for running requests and kept
//! parts, admission in order. [`world`] puts the real deciding code of several gateways before a
//! pool of such engines, with digests that are late, and plays a [`pattern`] of load through it.
//! Tests and the experiment tool use it to see who waits, who is refused and where work goes.

mod deployment;
pub mod engine;
pub mod pattern;
pub mod policy;
pub mod score;
pub mod world;
