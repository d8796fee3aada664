//! Tests of the membership view.

mod cautious;
mod converge;
mod fleet;
mod leaving;
mod net;
mod partial;
mod rendezvous;
mod routed;
