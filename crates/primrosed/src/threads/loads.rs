//! The load thread: asks the servers whose dispatcher is here how much they run.
//!
//! A server's report lags and is only ever used to lower what the dispatcher may grant, or to free
//! slots of routers that were lost. A server that does not answer is simply not reported.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use primrose_dispatch::dispatcher::LoadReport;
use serde::Deserialize;

use crate::input::Input;
use crate::input::PoolLoad;
use crate::snapshots::LoadTarget;
use crate::snapshots::Snapshots;
use crate::threads::Stop;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(3);
/// Time between two rounds after a router of the zone was lost, whose slots a report may free.
const URGENT_ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for one server's answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// What an engine answers to `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadBody {
    running: u32,
    #[serde(default)]
    waiting: u32,
}

/// The load duty of one router.
pub(crate) struct LoadThread {
    pub(crate) snapshots: Arc<Snapshots>,
    pub(crate) input_sender: Sender<Input>,
    pub(crate) stop: Arc<Stop>,
}

impl LoadThread {
    /// Runs until stopped.
    pub(crate) fn run(self) {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .build()
            .into();
        while !self.stop.is_stopped() {
            for target in self.snapshots.targets().iter() {
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
                // A report that finds no room is followed by the next one.
                let _ = self
                    .input_sender
                    .try_send(Input::Load(PoolLoad { pool, report }));
            }
            Err(error) => log::debug!("no load report of {}: {error}", target.server),
        }
    }
}
