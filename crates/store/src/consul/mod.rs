//! Adapters for Consul's HTTP API.
//!
//! [`ConsulStore`] uses the key-value, transaction and session endpoints, [`ConsulHosts`] the
//! health endpoint. The API is documented at developer.hashicorp.com/consul/api-docs.
//!
//! Every commit is one `PUT /v1/txn`, even for a single key: a transaction reports the operation
//! that failed, and encodes all keys and values alike. Reads use the `consistent` mode, because
//! callers read back after a lost reply and a stale read would give them the wrong result. Leases
//! are sessions without health checks and without a lock delay, so that they end only by their time
//! to live, and with the behaviour `release`, so that the lock index of a key keeps increasing from
//! holder to holder and can serve as the fencing token.

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

/// Connection settings of the adapters.
#[derive(Debug, Clone)]
pub struct ConsulConfig {
    /// Addresses of the service; a failed call moves on to the next one.
    pub addrs: Vec<SocketAddr>,
    /// Access control token of the service; empty for none.
    pub token: String,
    /// Timeout for connecting to one address.
    pub connect_timeout: Duration,
    /// Timeout of one call to one address, not including the wait of a watch.
    pub call_timeout: Duration,
}

impl ConsulConfig {
    /// Creates a configuration with the default timeouts and no token.
    pub fn new(addrs: Vec<SocketAddr>) -> Self {
        Self {
            addrs,
            token: String::new(),
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
        }
    }
}
