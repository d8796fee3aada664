//! Threads that watch the host list: one for each service that a pool selects its servers by, one
//! for the routers themselves, and one that starts these threads.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Sender;
use primrose_core::table::Selector;
use primrose_retry::Backoff;
use primrose_retry::BackoffConfig;
use primrose_store::hosts::HostList;

use crate::decide::ROUTER_SERVICE;
use crate::duty::StopFlag;
use crate::input::Input;
use crate::input::ServiceHosts;
use crate::router::HostLists;
use crate::snapshots::Snapshots;

/// Maximum time that one call to the host list waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Minimum time between two calls, which bounds the cost of a list that changes all the time.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the tables are checked for new services.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Backoff after a failed call.
const BACKOFF: BackoffConfig = BackoffConfig {
    base: Duration::from_millis(200),
    cap: Duration::from_secs(2),
};

/// State of the thread that watches all services that the active tables select.
pub(crate) struct HostListThread {
    pub(crate) lists: HostLists,
    pub(crate) snapshots: Arc<Snapshots>,
    pub(crate) input_sender: Sender<Input>,
    pub(crate) stop: Arc<StopFlag>,
}

impl HostListThread {
    /// Runs until the stop flag is set.
    pub(crate) fn run(self) {
        let mut threads = BTreeMap::new();
        while !self.stop.is_stopped() {
            for service in self.services() {
                let thread = || self.spawn_service_thread(&service);
                threads.entry(service.clone()).or_insert_with(thread);
            }
            self.stop.wait(CHECK_INTERVAL);
        }
        for thread in threads.into_values().flatten() {
            if thread.join().is_err() {
                log::error!("a host list thread panicked");
            }
        }
    }

    /// Returns the services to watch: the routers, and those that pools select servers by.
    fn services(&self) -> BTreeSet<String> {
        let table = self.snapshots.table();
        let selected = table.pools.values().filter_map(|pool| match &pool.servers {
            Selector::Service(service) => Some(service.clone()),
            Selector::Listed(_) => None,
        });
        selected.chain([ROUTER_SERVICE.to_owned()]).collect()
    }

    fn spawn_service_thread(&self, service: &str) -> Option<JoinHandle<()>> {
        let hosts = ServiceThread {
            service: service.to_owned(),
            list: (self.lists)(service),
            input_sender: self.input_sender.clone(),
            stop: Arc::clone(&self.stop),
        };
        let started = std::thread::Builder::new()
            .name("hosts".to_owned())
            .spawn(move || hosts.run());
        if let Err(error) = &started {
            log::error!(service; "failed to start a host list thread: {error}");
        }
        started.ok()
    }
}

/// State of the thread that watches one service.
struct ServiceThread {
    service: String,
    list: Arc<dyn HostList>,
    input_sender: Sender<Input>,
    stop: Arc<StopFlag>,
}

impl ServiceThread {
    /// Runs until the stop flag is set.
    fn run(self) {
        let mut index = 0;
        let mut backoff = Backoff::new(BACKOFF);
        while !self.stop.is_stopped() {
            match self.list.hosts(index, MAX_WAIT) {
                Ok(snapshot) => {
                    index = snapshot.index;
                    backoff.reset();
                    let hosts = ServiceHosts {
                        service: self.service.clone(),
                        hosts: snapshot.hosts,
                    };
                    // The channel is only closed when the router ends.
                    let _ = self.input_sender.send(Input::Hosts(hosts));
                    self.stop.wait(MIN_CALL_INTERVAL);
                }
                Err(error) => {
                    log::warn!(service = self.service.as_str(); "failed to read the host list: {error}");
                    self.stop.wait(backoff.next_delay(&mut rand::rng()));
                }
            }
        }
    }
}
