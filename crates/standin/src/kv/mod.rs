//! A key-value service that speaks Consul's HTTP protocol.
//!
//! Its state, its counters and its faults are those of the in-memory store of `primrose-store`,
//! which a test reaches through [`Kv::store`]. A planned [`Fault::Refused`] shows as status 429, a
//! lost reply as a connection cut before the answer; an outage closes the listener.
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
//! | `GET /v1/health/service/<name>?index=&wait=` | hosts, if the service was given a list |

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
pub(crate) use serve::duration;
pub(crate) use serve::set_index;
use serve::Core;

/// How the key-value service behaves.
#[derive(Clone)]
pub struct KvConfig {
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Clock by which leases end and calls are counted per second.
    pub clock: Arc<dyn Clock>,
    /// Shortest lease that it grants.
    pub min_ttl: Duration,
    /// Host list that it serves beside the keys.
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

    /// Returns where the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the state behind the protocol, to plan faults, read counters and restore copies.
    pub fn store(&self) -> &Arc<MemoryStore> {
        self.core.store()
    }

    /// Begins an outage: nothing listens, every connection is cut.
    pub fn stop(&self) {
        self.server.close();
    }

    /// Ends the outage; the state is what it was.
    pub fn restart(&self) -> io::Result<()> {
        self.server.reopen()
    }

    /// Takes calls in and works on them only after this has been ended.
    pub fn stall(&self, stall: bool) {
        self.core.stall(stall);
    }
}
