//! The load thread: asks the servers whose dispatcher is here how much they run.
//!
//! A server's report lags and is only ever used to lower what the dispatcher may grant, or to free
//! slots of routers that were lost. A server that does not answer is simply not reported.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use primrose_dispatch::dispatcher::LoadReport;
use serde::Deserialize;

use crate::duty::Stop;
use crate::input::Input;
use crate::input::PoolLoad;
use crate::published::LoadTarget;
use crate::published::Published;

/// Time between two rounds.
const ROUND: Duration = Duration::from_secs(3);
/// Time between two rounds after a router of the zone was lost, whose slots a report may free.
const URGENT_ROUND: Duration = Duration::from_millis(500);
/// Longest time for one server's answer.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// What an engine answers to `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadBody {
    running: u32,
    #[serde(default)]
    waiting: u32,
}

/// The load duty of one router.
pub(crate) struct Loads {
    pub(crate) published: Arc<Published>,
    pub(crate) ring: Sender<Input>,
    pub(crate) stop: Arc<Stop>,
}

impl Loads {
    /// Runs until stopped.
    pub(crate) fn run(self) {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(ANSWER_TIME))
            .build()
            .into();
        while !self.stop.stopped() {
            for target in self.published.targets().iter() {
                if self.stop.stopped() {
                    return;
                }
                self.ask(&agent, target);
            }
            let urgent = self.published.orphans();
            self.stop.wait(if urgent { URGENT_ROUND } else { ROUND });
        }
    }

    fn ask(&self, agent: &ureq::Agent, target: &LoadTarget) {
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
                let _ = self.ring.try_send(Input::Load(PoolLoad { pool, report }));
            }
            Err(error) => log::debug!("no load report of {}: {error}", target.server),
        }
    }
}
