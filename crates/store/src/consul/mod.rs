//! Adapters for the published HTTP protocol of Consul.
//!
//! [`ConsulStore`] speaks its key-value, transaction and session endpoints, [`ConsulHosts`] its
//! health endpoint. Source: Consul's HTTP API documentation, developer.hashicorp.com/consul/api-docs.
//!
//! Every commit is one `PUT /v1/txn`, also for a single key: a transaction names the operation
//! that failed, and carries keys and values in one form. Reads ask for the `consistent` mode, because
//! a lost reply is settled by reading back and a stale read would settle it wrongly. Sessions serve
//! as leases; they are made without health checks and without a lock delay, so that the time to
//! live alone ends them, and with the behaviour `release`, so that the lock index of a key goes on
//! growing from holder to holder and can serve as the fencing number.

mod client;
mod hosts;
mod store;
mod wire;

use std::net::SocketAddr;
use std::time::Duration;

pub use hosts::ConsulHosts;
pub use store::ConsulStore;
pub use wire::decode_entries;
pub use wire::decode_hosts;
pub use wire::decode_lease;
pub use wire::decode_txn;

/// How the adapters reach the platform.
#[derive(Debug, Clone)]
pub struct ConsulConfig {
    /// Addresses of the service, tried in turn.
    pub addrs: Vec<SocketAddr>,
    /// Token of the service's access control; empty for none.
    pub token: String,
    /// Longest time to connect to one address.
    pub connect_timeout: Duration,
    /// Longest time of one exchange with one address, a watch's wait not counted.
    pub call_timeout: Duration,
}

impl ConsulConfig {
    /// Makes a configuration with the default timeouts and no token.
    pub fn new(addrs: Vec<SocketAddr>) -> Self {
        Self {
            addrs,
            token: String::new(),
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
        }
    }
}
