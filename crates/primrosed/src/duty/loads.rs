//! The load thread: polls the servers of this router's dispatchers for their load.
//!
//! A load report lags behind, so it is only used to lower what the dispatcher may grant or to free
//! slots of lost routers. A server that does not answer is not reported.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use primrose_dispatch::dispatcher::LoadReport;
use serde::Deserialize;

use crate::duty::StopFlag;
use crate::input::Input;
use crate::input::PoolLoad;
use crate::snapshots::LoadTarget;
use crate::snapshots::Snapshots;

/// Interval between two polls of all servers.
const ROUND_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between two polls after a router of the zone was lost, because reports free its slots.
const URGENT_ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Response body of an engine to `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadBody {
    running: u32,
    #[serde(default)]
    waiting: u32,
}

/// State of the load thread.
pub(crate) struct LoadThread {
    pub(crate) snapshots: Arc<Snapshots>,
    pub(crate) input_sender: Sender<Input>,
    pub(crate) stop: Arc<StopFlag>,
}

impl LoadThread {
    /// Runs until the stop flag is set.
    pub(crate) fn run(self) {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .build()
            .into();
        while !self.stop.is_stopped() {
            for target in self.snapshots.load_targets().iter() {
                if self.stop.is_stopped() {
                    return;
                }
                self.poll_server(&agent, target);
            }
            let urgent = self.snapshots.orphaned_slots();
            self.stop.wait(if urgent {
                URGENT_ROUND_INTERVAL
            } else {
                ROUND_INTERVAL
            });
        }
    }

    fn poll_server(&self, agent: &ureq::Agent, target: &LoadTarget) {
        let answered = agent.get(format!("http://{}/load", target.addr)).call();
        let read = answered.and_then(|mut answer| answer.body_mut().read_json::<LoadBody>());
        match read {
            Ok(body) => {
                let report = LoadReport {
                    server: target.server.clone(),
                    running: body.running + body.waiting,
                };
                let pool = target.pool.clone();
                // If the channel is full, the report is dropped; the next poll brings a new one.
                let _ = self
                    .input_sender
                    .try_send(Input::Load(PoolLoad { pool, report }));
            }
            Err(error) => log::debug!("failed to read the load of {}: {error}", target.server),
        }
    }
}
