//! A few routers, servers and callers in one process, with a queue of what is under way.
//!
//! Each router is made of the real deciding parts; only sockets, threads and timers are replaced
//! by the queue. Time passes from one item of the queue to the next.

pub(crate) mod act;
pub(crate) mod caller;
pub(crate) mod check;
pub(crate) mod fault;
pub(crate) mod flaw;
pub(crate) mod host;
pub(crate) mod item;
pub(crate) mod router;
pub(crate) mod server;
pub(crate) mod wire;
pub(crate) mod world;

use std::time::Duration;

use primrose_core::clock::Mono;

/// One-way latency inside a zone.
pub(crate) const NEAR: Duration = Duration::from_millis(1);
/// One-way latency between zones.
pub(crate) const FAR: Duration = Duration::from_millis(2);
/// Time of the key-value service for a call.
pub(crate) const STORE: Duration = Duration::from_millis(2);

/// Makes a time of a number of milliseconds.
pub(crate) const fn ms(millis: u64) -> Mono {
    Duration::from_millis(millis)
}
