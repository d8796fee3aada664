//! Observations for the day's report that follow from ended requests and attempts.

use primrose_core::outcome::Outcome;
use primrose_core::table::PoolKind;
use primrose_core::table::Table;
use primrose_front::broker::Ended;
use primrose_front::broker::Report;
use primrose_report::observation::Ending;
use primrose_report::observation::Observation;
use primrose_report::observation::TokenGap;

/// Returns the observations to record when a request ends.
pub(crate) fn of_request(ended: &Ended, table: &Table) -> Vec<Observation> {
    let pool = || ended.pool.clone();
    let mut observations = Vec::new();
    if let Some(ending) = ending(ended) {
        observations.push(Observation::Answer {
            pool: pool(),
            ending,
        });
    }
    if let (Some(code), Outcome::NotRun) = (ended.code, ended.outcome) {
        observations.push(Observation::Refused { code });
    }
    if !ended.idempotent {
        let outcome = ended.outcome;
        observations.push(Observation::Order {
            pool: pool(),
            outcome,
        });
    }
    let row = table.pools.get(&ended.pool);
    let engine = row.is_some_and(|row| row.kind == PoolKind::Engine);
    if let Some(time) = ended.first_part.filter(|_| engine) {
        observations.push(Observation::FirstToken { pool: pool(), time });
    }
    observations
}

/// Returns how a response ended; `None` if the request certainly did not run.
fn ending(ended: &Ended) -> Option<Ending> {
    match (ended.code, ended.outcome) {
        _ if ended.caller_gone => Some(Ending::Abandoned),
        (None, _) => Some(Ending::Whole),
        (Some(_), Outcome::NotRun) => None,
        (Some(_), _) => Some(Ending::Broken),
    }
}

/// Returns the observations to record when an attempt ends, except for the service it used.
pub(crate) fn of_attempt(report: &Report) -> Vec<Observation> {
    if report.token_gaps.is_empty() {
        return Vec::new();
    }
    let gaps = report.token_gaps.iter().map(|gap| TokenGap {
        time: gap.time,
        count: gap.count,
    });
    vec![Observation::InterTokens {
        pool: report.pool.clone(),
        gaps: gaps.collect(),
    }]
}
