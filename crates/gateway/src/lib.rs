//! The data path of a gateway: a router that places requests on its own, without a dispatcher.
//!
//! One thread runs everything: connections of callers, connections to backend servers, the
//! platform's feeds, digests exchanged with the other gateways, and the control listener.
//! [`primrose_fleet`] makes the decisions; this crate does the I/O and passes the results to it.
//!
//! The headers of requests and responses and the platform's API are behind the traits in
//! [`adapter`]. No name of a concrete platform occurs in this crate.

mod account_metrics;
pub mod adapter;
mod answer;
mod attempt;
mod body;
mod bound;
mod caller_io;
pub mod callers;
mod control;
mod evacuation;
pub mod event;
mod feed;
mod gossip;
mod guard;
pub mod idle;
mod ingress;
mod job;
mod list_check;
pub mod log;
pub mod memory;
mod origins;
pub mod overload;
mod probe;
mod quarantine;
mod receive;
mod reload;
mod reply;
pub mod run;
mod sequence;
mod serve;
mod shared;
pub mod split;
mod stream;
mod wait;

pub use adapter::Platform;
pub use adapter::Protocol;
pub use run::run;
pub use run::Config;
pub use run::ExitSummary;
pub use run::StartError;
