//! The daily report page.
//!
//! [`Page::build`] compares a [`Total`] with the [`Targets`] and keeps only the data that is shown.
//! Routers serve the page as JSON; `primrosectl` renders it as text or HTML.

use std::time::Duration;
use std::time::SystemTime;

use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::PoolId;
use primrose_core::id::ZoneId;
use serde::Deserialize;
use serde::Serialize;

use crate::calendar::Calendar;
use crate::calendar::DayId;
use crate::measure::measures;
use crate::plot_data::account_plots;
use crate::plot_data::pool_plots;
use crate::progress::gaps;
use crate::progress::DayProgress;
use crate::record::OutageSpan;
use crate::target::Targets;
use crate::total::Total;
use crate::verdict::verdict;

/// Inputs of a page besides the sums of the day.
#[derive(Debug, Clone, Copy)]
pub struct PageContext<'a> {
    /// Calendar of the deployment.
    pub calendar: &'a Calendar,
    /// Targets of the day.
    pub targets: &'a Targets,
    /// Zones for which data is expected.
    pub zones: &'a [ZoneId],
    /// Current wall-clock time.
    pub now: SystemTime,
}

/// Summary of the day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Whether anything was counted and no measure missed its target.
    pub well: bool,
    /// Whether the data is complete: no gaps and no dropped observations.
    pub whole: bool,
    /// Whether the day is over.
    pub over: bool,
    /// The summary as one sentence.
    pub sentence: String,
}

/// One measure compared with its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measure {
    /// Name of the measure.
    pub name: String,
    /// Pool; empty for a measure of the whole fleet.
    pub pool: PoolId,
    /// Measured value, as text.
    pub found: String,
    /// Target, as text; empty without a target.
    pub target: String,
    /// Whether the target was met; `None` without a target or without data.
    pub met: Option<bool>,
}

/// Time span without data from a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Availability zone.
    pub zone: ZoneId,
    /// Local time of the beginning.
    pub from: String,
    /// Local time of the end; `24:00` at the end of the day.
    pub to: String,
    /// Number of the first interval.
    pub first: usize,
    /// Number of intervals.
    pub intervals: usize,
}

/// Outage shown on the page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageLine {
    /// Unreachable component.
    pub what: String,
    /// Local time of the beginning.
    pub from: String,
    /// Duration, in seconds.
    pub length: u64,
}

/// Plot data of one pool by interval; a value is `None` where there is no data.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolPlot {
    /// The pool.
    pub pool: PoolId,
    /// Share of slots in use, in percent.
    pub busy: Vec<Option<f64>>,
    /// Average number of waiting requests.
    pub queue: Vec<Option<f64>>,
}

/// Plot data of one account; a value is `None` where there is no data.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountPlot {
    /// Account, or the label of the remaining accounts.
    pub account: AccountId,
    /// Service of the day, in units.
    pub service: Service,
    /// Service per second, in steps of two hours.
    pub rate: Vec<Option<f64>>,
}

/// Daily report page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Local day.
    pub day: DayId,
    /// IANA name of the time zone.
    pub time_zone: String,
    /// Summary.
    pub verdict: Verdict,
    /// Measures, compared with their targets.
    pub measures: Vec<Measure>,
    /// Time spans without data, by zone.
    pub gaps: Vec<Gap>,
    /// Outages, in order of their beginning.
    pub outages: Vec<OutageLine>,
    /// Plot data of the pools.
    pub pools: Vec<PoolPlot>,
    /// Plot data of the accounts, in descending order of service.
    pub accounts: Vec<AccountPlot>,
    /// Remarks on the completeness of the data.
    pub notes: Vec<String>,
}

impl Page {
    /// Builds the page of a day.
    pub fn build(total: &Total, context: &PageContext<'_>) -> Self {
        let progress = DayProgress::new(total, context);
        let gaps = gaps(total, context, &progress);
        let measures = measures(total, context);
        Self {
            day: total.day.clone(),
            time_zone: context.calendar.name().to_owned(),
            verdict: verdict(total, &measures, &gaps, progress.over),
            measures,
            outages: outages(total, context),
            pools: pool_plots(total, &progress),
            accounts: account_plots(total, &progress, &gaps),
            gaps,
            notes: notes(total),
        }
    }
}

fn outages(total: &Total, context: &PageContext<'_>) -> Vec<OutageLine> {
    let to_line = |span: &OutageSpan| {
        let began = SystemTime::UNIX_EPOCH + Duration::from_secs(span.began);
        OutageLine {
            what: span.outage.to_string(),
            from: context.calendar.time_of_day(began),
            length: span.length,
        }
    };
    let mut spans: Vec<OutageSpan> = Vec::new();
    let mut all: Vec<&OutageSpan> = total.sums.fleet.outages.iter().collect();
    all.sort_by_key(|span| (span.outage.clone(), span.began));
    for span in all {
        // Several routers report the same outage: overlapping spans are merged.
        match spans.last_mut() {
            Some(last) if last.outage == span.outage && span.began <= last.end() => {
                last.length = last.end().max(span.end()) - last.began;
            }
            _ => spans.push(span.clone()),
        }
    }
    spans.sort_by_key(|span| span.began);
    spans.iter().map(to_line).collect()
}

fn notes(total: &Total) -> Vec<String> {
    let mut notes = Vec::new();
    let lost = total.sums.fleet.lost;
    if lost > 0 {
        notes.push(format!(
            "Routers had no room for {lost} observations: the figures above are too low."
        ));
    }
    if total.trimmed {
        notes.push(
            "Accounts over the day are left out for a zone whose record was too large.".into(),
        );
    }
    notes
}
