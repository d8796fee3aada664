//! The order thread: sends orders until the servers have the state that the table specifies.
//!
//! The deciding thread publishes the servers to manage; `primrose_order` implements the protocol. On
//! a graceful shutdown the deciding thread publishes an empty list, and this thread releases its
//! keys and its lease before it ends, so that the next holder need not wait for the lease to expire.
//! On any other stop it releases nothing, as in a crash.

use std::sync::Arc;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_order::Executor;
use primrose_order::HttpServerClient;
use primrose_order::OrderConfig;
use primrose_order::Target;
use primrose_order::Writer;
use primrose_settings::Settings;
use rand::Rng;

use crate::duty::StopFlag;
use crate::router::Environment;
use crate::snapshots::Snapshots;

/// Timeout of one request to a server.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Actions performed before the published servers and the stop flag are checked again; low because
/// each action may block.
const ACTIONS_PER_TURN: usize = 1;
/// Interval at which the published servers are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time for releasing keys at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// State of the order thread.
pub(crate) struct OrderThread {
    writer: Writer,
    executor: Executor,
    clock: Arc<dyn Clock>,
    snapshots: Arc<Snapshots>,
    stop: Arc<StopFlag>,
}

impl OrderThread {
    /// Creates the state; no orders are sent until servers are published.
    pub(crate) fn new(
        settings: &Settings,
        environment: &Environment,
        snapshots: &Arc<Snapshots>,
        stop: &Arc<StopFlag>,
    ) -> Self {
        let (prefix, host) = (&settings.platform.prefix, &settings.router.host);
        let config = OrderConfig::new(prefix, host, rand::rng().random());
        let servers = Arc::new(HttpServerClient::new(RESPONSE_TIMEOUT));
        let (store, clock) = (
            Arc::clone(&environment.store),
            Arc::clone(&environment.clock),
        );
        Self {
            writer: Writer::new(config),
            executor: Executor::new(store, servers, Arc::clone(&clock)),
            clock,
            snapshots: Arc::clone(snapshots),
            stop: Arc::clone(stop),
        }
    }

    /// Runs until the stop flag is set.
    pub(crate) fn run(mut self) {
        let mut current = Arc::default();
        while !self.stop.is_stopped() {
            self.update_targets(&mut current);
            let wake = self.executor.run(&mut self.writer, ACTIONS_PER_TURN);
            let now = self.clock.now();
            let due = wake.map_or(CHECK_INTERVAL, |wake| wake.saturating_sub(now));
            self.stop.wait(due.min(CHECK_INTERVAL));
        }
        self.update_targets(&mut current);
        if current.is_empty() {
            self.release_all();
        }
    }

    /// Passes the published servers to the writer if they have changed.
    fn update_targets(&mut self, current: &mut Arc<Vec<Target>>) {
        let published = self.snapshots.order_targets();
        if !Arc::ptr_eq(&published, current) {
            let targets = published.to_vec();
            self.writer.set_targets(targets, self.clock.now());
            *current = published;
        }
    }

    /// Releases the held keys, then the lease.
    fn release_all(&mut self) {
        let end = self.clock.now() + RELEASE_TIMEOUT;
        while !self.writer.is_empty() {
            let wake = self.executor.run(&mut self.writer, ACTIONS_PER_TURN);
            let now = self.clock.now();
            if now >= end {
                log::warn!("failed to release all servers in time; their lease will expire");
                break;
            }
            let due = wake.map_or(CHECK_INTERVAL, |wake| wake.saturating_sub(now));
            std::thread::sleep(due.min(end - now));
        }
        if let Some(action) = self.writer.release_lease(self.clock.now()) {
            self.executor.perform(action);
        }
    }
}
