//! Tests of the membership view.

mod converge;
mod failure_detection;
mod fleet;
mod leaving;
mod net;
mod partial;
mod rendezvous;
mod routed;
