//! What all tasks of a gateway share.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use primrose_conn::Connections;
use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_fleet::server::ServerChange;
use primrose_fleet::Fleet;
use tokio::sync::Notify;

use crate::border::Dialect;
use crate::border::Platform;
use crate::busy::Busy;
use crate::event::Event;
use crate::log::Log;
use crate::series::Accounts;

/// What all tasks of a gateway share; they run on one thread.
pub(crate) struct Shared {
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) platform: Box<dyn Platform>,
    pub(crate) servers: Connections,
    /// Connections to other gateways' control listeners.
    pub(crate) peers: Connections,
    pub(crate) control_port: u16,
    pub(crate) log: Log,
    pub(crate) accounts: Accounts,
    /// Requests in progress.
    pub(crate) running: Cell<usize>,
    /// Whether shutdown was asked for.
    pub(crate) draining: Cell<bool>,
    /// Whether a new stream might not end before the process does.
    pub(crate) refuses_streams: Cell<bool>,
    /// Whether the thread keeps up with its work.
    pub(crate) busy: Busy,
    /// Wakes connections to close.
    pub(crate) closing: Notify,
    pub(crate) is_closing: Cell<bool>,
    /// Open connections of callers.
    pub(crate) callers: Cell<usize>,
    /// Open connections of callers from which on each answer closes its connection.
    pub(crate) callers_many: usize,
    /// Whether snapshots of other gateways, which know better, cannot be had.
    pub(crate) peers_lost: Cell<bool>,
}

impl Shared {
    pub(crate) fn now(&self) -> Mono {
        self.clock.now()
    }

    /// Whether this gateway reads the platform's lists itself.
    pub(crate) fn follows(&self) -> bool {
        self.peers_lost.get() || self.fleet.borrow().is_follower(self.now())
    }

    /// Whether the gateway takes new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.draining.get() && !self.busy.is_busy(self.now()) && self.fleet.borrow().is_ready()
    }

    /// Whether a caller's connection is closed after its answer.
    pub(crate) fn closes_after_answer(&self) -> bool {
        self.draining.get() || self.callers.get() >= self.callers_many
    }

    /// Control listener of another gateway.
    pub(crate) fn control_of(&self, ip: std::net::IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.control_port)
    }

    /// Logs changes of belief about servers.
    pub(crate) fn log_changes(&self, changes: &[ServerChange], source: &str) {
        let list_version = self.fleet.borrow().list_version();
        for change in changes {
            let (server, change) = match change {
                ServerChange::Joined(id) => (id, "joined"),
                ServerChange::Leaving(id) => (id, "leaving"),
                ServerChange::Missing(id) => (id, "missing"),
                ServerChange::Removed(id) => (id, "gone"),
            };
            self.log.event(&Event::Server {
                server: server.clone(),
                change,
                list_version,
                source: source.to_owned(),
            });
        }
    }
}

/// Counts a request in progress for as long as it lives.
pub(crate) struct Running(Rc<Shared>);

impl Running {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        shared.running.set(shared.running.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get().saturating_sub(1));
    }
}

/// Whole milliseconds, for logs.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
