//! The host list thread of one service.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use primrose_platform::hosts::HostList;
use primrose_retry::Backoff;
use primrose_retry::BackoffConfig;

use crate::duty::Stop;
use crate::input::Input;
use crate::input::ServiceHosts;

/// Longest wait of one call at the host list.
const WAIT_TIME: Duration = Duration::from_secs(10);
/// Shortest time between two calls, so that a list that changes all the time costs little.
const GAP: Duration = Duration::from_millis(200);
/// Delays after the list did not answer.
const BACKOFF: BackoffConfig = BackoffConfig {
    base: Duration::from_millis(200),
    cap: Duration::from_secs(2),
};

/// The host list duty for one service.
pub(crate) struct Hosts {
    pub(crate) service: String,
    pub(crate) list: Arc<dyn HostList>,
    pub(crate) ring: Sender<Input>,
    pub(crate) stop: Arc<Stop>,
}

impl Hosts {
    /// Runs until stopped.
    pub(crate) fn run(self) {
        let mut index = 0;
        let mut backoff = Backoff::new(BACKOFF);
        while !self.stop.stopped() {
            match self.list.hosts(index, WAIT_TIME) {
                Ok(snapshot) => {
                    index = snapshot.index;
                    backoff.reset();
                    let hosts = ServiceHosts {
                        service: self.service.clone(),
                        hosts: snapshot.hosts,
                    };
                    // The ring is only closed when the router ends.
                    let _ = self.ring.send(Input::Hosts(hosts));
                    self.stop.wait(GAP);
                }
                Err(error) => {
                    log::warn!(service = self.service.as_str(); "failed to read the host list: {error}");
                    self.stop.wait(backoff.next_delay(&mut rand::rng()));
                }
            }
        }
    }
}
