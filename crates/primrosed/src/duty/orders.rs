//! The order thread: brings the servers that this router orders to what the table says.
//!
//! The deciding thread publishes the servers; the rules are those of `primrose_order`. A router
//! that shuts down gracefully publishes none any more, and gives back what it holds before this
//! thread ends, so that the next holder need not wait for a lease to lapse. One that is stopped
//! otherwise ends as in a crash.

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

use crate::duty::Stop;
use crate::published::Published;
use crate::router::Parts;

/// Longest time for one exchange with a server.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Actions between two looks at the published servers and at the end; each may block for a while.
const ACTIONS: usize = 1;
/// How often the published servers are looked at.
const CHECK_TIME: Duration = Duration::from_millis(250);
/// Longest time for giving back what is held.
const RELEASE_TIME: Duration = Duration::from_secs(3);

/// The order duty of one router.
pub(crate) struct Orders {
    writer: Writer,
    executor: Executor,
    clock: Arc<dyn Clock>,
    published: Arc<Published>,
    stop: Arc<Stop>,
}

impl Orders {
    /// Makes the duty; it orders nothing until servers are published.
    pub(crate) fn new(
        settings: &Settings,
        parts: &Parts,
        published: &Arc<Published>,
        stop: &Arc<Stop>,
    ) -> Self {
        let (prefix, host) = (&settings.platform.prefix, &settings.router.host);
        let config = OrderConfig::new(prefix, host, rand::rng().random());
        let servers = Arc::new(HttpServerClient::new(ANSWER_TIME));
        let (store, clock) = (Arc::clone(&parts.store), Arc::clone(&parts.clock));
        Self {
            writer: Writer::new(config),
            executor: Executor::new(store, servers, Arc::clone(&clock)),
            clock,
            published: Arc::clone(published),
            stop: Arc::clone(stop),
        }
    }

    /// Runs until stopped.
    pub(crate) fn run(mut self) {
        let mut known = Arc::default();
        while !self.stop.stopped() {
            self.follow(&mut known);
            let wake = self.executor.run(&mut self.writer, ACTIONS);
            let now = self.clock.now();
            let due = wake.map_or(CHECK_TIME, |wake| wake.saturating_sub(now));
            self.stop.wait(due.min(CHECK_TIME));
        }
        self.follow(&mut known);
        if known.is_empty() {
            self.give_back();
        }
    }

    /// Takes over the published servers if they have changed.
    fn follow(&mut self, known: &mut Arc<Vec<Target>>) {
        let published = self.published.orders();
        if !Arc::ptr_eq(&published, known) {
            let targets = published.to_vec();
            self.writer.set_targets(targets, self.clock.now());
            *known = published;
        }
    }

    /// Gives back the keys that are held, then the lease.
    fn give_back(&mut self) {
        let end = self.clock.now() + RELEASE_TIME;
        while !self.writer.is_empty() {
            let wake = self.executor.run(&mut self.writer, ACTIONS);
            let now = self.clock.now();
            if now >= end {
                log::warn!("failed to give back all servers in time; their lease ends by itself");
                break;
            }
            let due = wake.map_or(CHECK_TIME, |wake| wake.saturating_sub(now));
            std::thread::sleep(due.min(end - now));
        }
        if let Some(action) = self.writer.release_lease(self.clock.now()) {
            self.executor.perform(action);
        }
    }
}
