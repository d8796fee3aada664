//! A simulation of gateways in front of a pool of inference engines, without network, sockets or a
//! clock.
//!
//! [`engine`] models an engine: continuous batching, chunked prefill, one memory for running
//! requests and cached prefixes, first-come, first-served admission. [`simulation`] runs the real
//! placement code of several gateways, which learn of each other's load only by periodic digests,
//! in front of such engines and applies a [`pattern`] of load. The tests and the `heavy` example
//! use it to see which requests wait, which are refused and which servers do the work.

mod deployment;
pub mod engine;
pub mod pattern;
pub mod policy;
pub mod score;
pub mod simulation;
