//! Plot data of pools and accounts.

use std::cmp::Reverse;

use primrose_core::id::PoolId;

use crate::calendar::INTERVAL;
use crate::page::AccountPlot;
use crate::page::Gap;
use crate::page::PoolPlot;
use crate::pool::PoolRecord;
use crate::pool::SlotTime;
use crate::progress::DayProgress;
use crate::record::ACCOUNT_STEP;
use crate::total::Total;

/// Number of accounts with a line of their own; the remaining ones share one line.
const TOP_ACCOUNTS: usize = 7;
/// Label for the line of the remaining accounts.
const OTHERS: &str = "all others";

/// Returns the plot data of all pools that have slots.
pub(crate) fn pool_plots(total: &Total, progress: &DayProgress) -> Vec<PoolPlot> {
    let pools = total.sums.pools.iter();
    let with_slots = pools.filter(|(_, record)| record.slot_time.slots.total() > 0);
    let plot = |(pool, record): (&PoolId, &PoolRecord)| {
        let intervals = 0..progress.elapsed;
        PoolPlot {
            pool: pool.clone(),
            busy: intervals
                .clone()
                .map(|at| busy_percent(&record.slot_time, at))
                .collect(),
            queue: intervals
                .map(|at| mean_queue(&record.slot_time, at))
                .collect(),
        }
    };
    with_slots.map(plot).collect()
}

fn busy_percent(times: &SlotTime, interval: usize) -> Option<f64> {
    let slots = times.slots.get(interval);
    (slots > 0).then(|| 100.0 * times.busy.get(interval) as f64 / slots as f64)
}

fn mean_queue(times: &SlotTime, interval: usize) -> Option<f64> {
    let span = times.span.get(interval);
    (span > 0).then(|| times.queue.get(interval) as f64 / span as f64)
}

/// Returns the plot data of the accounts in descending order of service.
///
/// Accounts beyond [`TOP_ACCOUNTS`] are summed up in a last entry.
pub(crate) fn account_plots(
    total: &Total,
    progress: &DayProgress,
    gaps: &[Gap],
) -> Vec<AccountPlot> {
    let steps = progress.elapsed.div_ceil(ACCOUNT_STEP);
    let mut plots: Vec<AccountPlot> = total
        .sums
        .accounts
        .iter()
        .map(|(account, record)| AccountPlot {
            account: account.clone(),
            service: record
                .pools
                .values()
                .fold(0, |sum, one| sum.saturating_add(*one)),
            rate: (0..steps)
                .map(|step| rate(record.series.get(step), step, progress, total, gaps))
                .collect(),
        })
        .collect();
    plots.sort_by_key(|plot| Reverse(plot.service));
    if plots.len() > TOP_ACCOUNTS + 1 {
        let rest = plots.split_off(TOP_ACCOUNTS);
        plots.push(sum_others(&rest));
    }
    plots
}

/// Returns the service per second in one step, or `None` if no zone has data for it.
fn rate(sum: u64, step: usize, progress: &DayProgress, total: &Total, gaps: &[Gap]) -> Option<f64> {
    let first = step * ACCOUNT_STEP;
    let last = (first + ACCOUNT_STEP).min(progress.elapsed);
    let zones = total.covered.len();
    let unseen = |interval: usize| {
        let covers = |gap: &&Gap| gap.first <= interval && interval < gap.first + gap.intervals;
        gaps.iter().filter(covers).count() >= zones
    };
    let seen = (first..last).filter(|interval| !unseen(*interval)).count();
    let seconds = INTERVAL.as_secs() * seen as u64;
    (seconds > 0).then(|| sum as f64 / seconds as f64)
}

fn sum_others(rest: &[AccountPlot]) -> AccountPlot {
    let steps = rest.first().map_or(0, |plot| plot.rate.len());
    let sum = |step: usize| {
        let values = rest.iter().filter_map(|plot| plot.rate[step]);
        values.fold(None, |sum: Option<f64>, value| {
            Some(sum.unwrap_or(0.0) + value)
        })
    };
    AccountPlot {
        account: format!("{OTHERS} ({})", rest.len()),
        service: rest
            .iter()
            .fold(0, |sum, one| sum.saturating_add(one.service)),
        rate: (0..steps).map(sum).collect(),
    }
}
