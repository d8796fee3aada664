//! Samples of what the engines did, by their own record.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::cost::service;
use primrose_core::cost::Service;
use primrose_core::cost::Tokens;
use primrose_core::id::AccountId;
use primrose_standin::engine::RunState;

use crate::deployment::Deployment;

/// State of one account at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct AccountSample {
    /// Service delivered so far, in units.
    pub(crate) service: Service,
    /// Requests at the engines.
    pub(crate) running: usize,
}

/// State of all engines at one moment.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    pub(crate) at: Mono,
    pub(crate) accounts: BTreeMap<AccountId, AccountSample>,
    /// Requests at each engine.
    pub(crate) busy: Vec<usize>,
}

/// Takes one sample.
pub(crate) fn take(deployment: &Deployment) -> Sample {
    let mut sample = Sample {
        at: deployment.clock().now(),
        accounts: BTreeMap::new(),
        busy: Vec::new(),
    };
    for engine in deployment.engines() {
        let mut busy = 0;
        for run in engine.runs() {
            let account = run.key.split('/').next().unwrap_or_default();
            let state = sample.accounts.entry(account.to_owned()).or_default();
            state.service += delivered(run.state, run.prompt, run.produced);
            if matches!(run.state, RunState::Waiting | RunState::Running) {
                state.running += 1;
                busy += 1;
            }
        }
        sample.busy.push(busy);
    }
    sample
}

/// Service of one run: the input counts from the first token on.
fn delivered(state: RunState, prompt: u64, produced: u64) -> Service {
    let began = state != RunState::Waiting && produced > 0;
    let input = if began { prompt } else { 0 };
    service(Tokens {
        input,
        output: produced,
    })
}

/// Takes samples for a time.
pub(crate) fn record(deployment: &Deployment, time: Duration, every: Duration) -> Vec<Sample> {
    let end = deployment.clock().now() + time;
    let mut samples = Vec::new();
    while deployment.clock().now() < end {
        samples.push(take(deployment));
        std::thread::sleep(every);
    }
    samples
}
