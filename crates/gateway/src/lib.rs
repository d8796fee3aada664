//! The data path of a router whose fleet shares beliefs in place of a dispatcher.
//!
//! One thread runs everything: callers' connections, servers' connections, the platform's feeds,
//! datagrams to the other gateways and the control listener. [`primrose_fleet`] decides; this crate
//! moves bytes and tells it what happened. What callers, servers and the platform speak is behind
//! the traits of [`adapter`], so that no name of a platform occurs here.

mod account_metrics;
pub mod adapter;
mod attempt;
mod body;
pub mod busy;
mod control;
pub mod event;
mod feed;
mod gossip;
mod guard;
mod ingress;
mod job;
pub mod log;
mod reload;
mod reply;
pub mod run;
mod serve;
mod shared;
pub mod split;
mod stream;

pub use adapter::Platform;
pub use adapter::Protocol;
pub use run::run;
pub use run::Config;
pub use run::ExitSummary;
pub use run::StartError;
