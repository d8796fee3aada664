//! A key-value service that speaks Consul's HTTP protocol.
//!
//! The in-memory store of `primrose-store` provides its state, its counters and its faults; a test
//! accesses it through [`Kv::store`]. A planned [`Fault::Refused`] becomes status 429, and a lost reply
//! becomes a connection that is closed without a reply. An outage closes the listener.
//!
//! [`Fault::Refused`]: primrose_store::memory::Fault::Refused
//!
//! # HTTP interface
//!
//! | Request | Answer |
//! |---|---|
//! | `GET /v1/kv/<key>?index=&wait=&recurse` | array of pairs, 404 if there are none |
//! | `PUT /v1/kv/<key>?cas=&acquire=&release=` | `true` or `false` |
//! | `DELETE /v1/kv/<key>?cas=` | `true` or `false` |
//! | `PUT /v1/txn` | results, or 409 with the index of the operation that failed |
//! | `PUT /v1/session/create`, `renew/<id>`, `destroy/<id>` | session |
//! | `GET /v1/health/service/<name>?index=&wait=` | hosts, if the configuration has a registry |

mod progress;
mod serve;
mod wire;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_store::memory::MemoryStore;
use primrose_util::clock::SystemClock;

use crate::hosts::HostRegistry;
use crate::runtime::Runtime;
use crate::server::Server;
use crate::server::Switch;
pub(crate) use serve::parse_duration;
pub(crate) use serve::set_index;
use serve::Core;

/// Configuration of a key-value service.
#[derive(Clone)]
pub struct KvConfig {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Clock for the expiry of leases and for the count of calls per second.
    pub clock: Arc<dyn Clock>,
    /// Minimum TTL of a lease; a shorter one is refused.
    pub min_ttl: Duration,
    /// Host registry to serve at the same address.
    pub hosts: Option<HostRegistry>,
}

impl Default for KvConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            clock: Arc::new(SystemClock::new()),
            min_ttl: Duration::from_secs(10),
            hosts: None,
        }
    }
}

/// A running key-value service; stopped when dropped.
pub struct Kv {
    core: Arc<Core>,
    server: Server,
}

impl Kv {
    /// Starts the service.
    pub fn start(runtime: &Runtime, config: KvConfig) -> io::Result<Self> {
        let listen = config.listen;
        let core = Core::new(config);
        let server = Server::start(runtime, listen, core.clone(), Switch::new())?;
        progress::spawn(runtime, &core);
        Ok(Self { core, server })
    }

    /// Returns the address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the underlying store, to plan faults, read counters and restore backups.
    pub fn store(&self) -> &Arc<MemoryStore> {
        self.core.store()
    }

    /// Starts an outage: closes the listener and every connection.
    pub fn stop(&self) {
        self.server.close();
    }

    /// Ends the outage; the stored state is unchanged.
    pub fn restart(&self) -> io::Result<()> {
        self.server.reopen()
    }

    /// Accepts requests without processing them until called with `false`.
    pub fn stall(&self, stalled: bool) {
        self.core.stall(stalled);
    }

    /// Never answers the requests that are pending now, and keeps their connections open; new
    /// requests are answered.
    pub fn silence_pending(&self) {
        self.core.silence_pending();
    }
}
