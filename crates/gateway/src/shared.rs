//! State shared by all tasks of a gateway.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use primrose_conn::ConnectionPool;
use primrose_conn::ReceiveBuffers;
use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use primrose_core::memory::MemoryBudget;
use primrose_fleet::server::ServerChange;
use primrose_fleet::Fleet;
use tokio::sync::Notify;

use crate::account_metrics::AccountMetrics;
use crate::adapter::Platform;
use crate::adapter::Protocol;
use crate::bound::BoundedCounts;
use crate::callers::Callers;
use crate::event::Event;
use crate::idle::CallerConnection;
use crate::idle::IdleConnections;
use crate::list_check::ListCheck;
use crate::log::Log;
use crate::memory::AnswerMemory;
use crate::overload::LoadShedder;
use crate::overload::ZoneLoad;

/// State shared by all tasks of a gateway, which run on one thread.
pub(crate) struct Shared {
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) protocol: Box<dyn Protocol>,
    pub(crate) platform: Box<dyn Platform>,
    /// Connections to backend servers.
    pub(crate) server_connections: ConnectionPool,
    /// Connections to other gateways' control listeners.
    pub(crate) peer_connections: ConnectionPool,
    pub(crate) control_port: u16,
    pub(crate) log: Log,
    pub(crate) account_metrics: AccountMetrics,
    pub(crate) list_check: ListCheck,
    /// Memory that is buffered for others.
    pub(crate) memory: Arc<MemoryBudget>,
    /// The part of `memory` that answers use.
    pub(crate) answer_memory: Arc<AnswerMemory>,
    pub(crate) callers: Callers,
    /// Enlarged kernel buffers of callers' connections.
    pub(crate) receive_buffers: Arc<ReceiveBuffers>,
    /// What the limits on callers refused.
    pub(crate) bounded: BoundedCounts,
    /// Requests in progress.
    pub(crate) running: Cell<usize>,
    /// Whether a shutdown has begun.
    pub(crate) draining: Cell<bool>,
    /// Whether new streams are refused, since they might outlast the process.
    pub(crate) refuses_streams: Cell<bool>,
    /// Time at which the answers to new requests have to be complete, once a shutdown refuses requests
    /// that may take longer.
    pub(crate) answer_by: Cell<Option<Mono>>,
    /// Wakes the requests in progress when `is_exiting` is set.
    pub(crate) exiting: Notify,
    /// Whether the process is about to exit.
    pub(crate) is_exiting: Cell<bool>,
    /// Refuses new requests while the thread does not keep up with its work.
    pub(crate) shedder: LoadShedder,
    /// Wakes the tasks of callers' connections when `is_closing` is set.
    pub(crate) closing: Notify,
    /// Whether callers' connections are closed after the response in progress.
    pub(crate) is_closing: Cell<bool>,
    /// Number of open connections of callers.
    pub(crate) caller_connections: Cell<usize>,
    /// Connections of callers that wait for their next request.
    pub(crate) idle: Rc<IdleConnections>,
    /// Number of open connections of callers from which on idle ones are closed, and others after
    /// their response.
    pub(crate) keep_alive_limit: usize,
    /// Whether fetching snapshots from other gateways keeps failing. The gateway then reads the
    /// platform's lists itself.
    pub(crate) snapshots_unavailable: Cell<bool>,
}

impl Shared {
    pub(crate) fn now(&self) -> Mono {
        self.clock.now()
    }

    /// Waits until the process is about to exit.
    pub(crate) async fn exit_begun(&self) {
        let exiting = self.exiting.notified();
        if !self.is_exiting.get() {
            exiting.await;
        }
    }

    /// Returns whether a request with this deadline may still be in progress when the process exits.
    pub(crate) fn may_be_cut(&self, deadline: Mono) -> bool {
        self.answer_by.get().is_some_and(|end| deadline > end)
    }

    /// Returns whether this gateway reads the platform's lists itself.
    pub(crate) fn is_follower(&self) -> bool {
        self.snapshots_unavailable.get() || self.fleet.borrow().is_follower(self.now())
    }

    /// Returns whether the gateway accepts new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let (gateways, overloaded) = self.fleet.borrow().zone_load();
        let zone = ZoneLoad {
            gateways,
            overloaded,
        };
        !self.draining.get()
            && self.fleet.borrow().is_ready()
            && self.shedder.is_ready(zone, self.now())
    }

    /// Returns whether a caller's connection is closed after its response.
    pub(crate) fn closes_after_response(&self) -> bool {
        let has_room = || {
            self.caller_connections.get() < self.keep_alive_limit
                || self.idle.close_oldest(self.now())
        };
        self.draining.get() || !has_room()
    }

    /// Returns the address of another gateway's control listener.
    pub(crate) fn control_addr(&self, ip: std::net::IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.control_port)
    }

    /// Logs the servers that became cold since the last call.
    pub(crate) fn log_cold_servers(&self) {
        let changes = self.fleet.borrow_mut().take_cold_changes();
        for change in changes {
            let source = change.source.to_string();
            metrics::counter!("servers_became_cold", "source" => source.clone()).increment(1);
            self.log.event(&Event::ServerCold {
                server: change.server,
                left_ms: millis(change.left),
                source,
            });
        }
    }

    /// Logs changes of the known servers.
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
                version: self.fleet.borrow().server_version(server),
                list_version,
                source: source.to_owned(),
            });
        }
    }
}

/// Counts a request as in progress until dropped.
pub(crate) struct RunningGuard(Rc<Shared>, Rc<CallerConnection>);

impl RunningGuard {
    pub(crate) fn new(shared: &Rc<Shared>, connection: &Rc<CallerConnection>) -> Self {
        shared.running.set(shared.running.get() + 1);
        connection.set_active();
        Self(Rc::clone(shared), Rc::clone(connection))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get().saturating_sub(1));
        self.1.set_idle(self.0.now());
    }
}

/// Converts a duration to whole milliseconds for a log event.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
