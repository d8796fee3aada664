//! Tests of a gateway's beliefs and decisions.

mod build;
mod gossip;
mod placement;
mod servers;
mod shares;
