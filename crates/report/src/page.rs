//! The page that says how a day went.
//!
//! [`Page::build`] compares a [`Total`] with the [`Targets`] and keeps only what is shown. The page
//! itself is what a router serves as JSON; `primrosectl` renders it as text or HTML.

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

/// What the page is built against.
#[derive(Debug, Clone, Copy)]
pub struct PageContext<'a> {
    /// Calendar of the deployment.
    pub calendar: &'a Calendar,
    /// What the day is held to.
    pub targets: &'a Targets,
    /// Zones that should have been seen.
    pub zones: &'a [ZoneId],
    /// Now, by the wall clock.
    pub now: SystemTime,
}

/// Whether the day went well.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Whether every measure that has a target met it.
    pub well: bool,
    /// Whether every zone was seen all the time.
    pub whole: bool,
    /// Whether the day is over.
    pub over: bool,
    /// The same in one sentence.
    pub sentence: String,
}

/// One measure against its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measure {
    /// What is measured.
    pub name: String,
    /// Pool, or empty for the fleet.
    pub pool: PoolId,
    /// What was measured.
    pub found: String,
    /// What it is held to; empty for nothing.
    pub target: String,
    /// Whether the target was met; nothing without a target or without anything measured.
    pub met: Option<bool>,
}

/// A time during which a zone was not seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The zone.
    pub zone: ZoneId,
    /// Local time at which it begins.
    pub from: String,
    /// Local time at which it ends.
    pub to: String,
    /// Number of the first interval.
    pub first: usize,
    /// Number of intervals.
    pub intervals: usize,
}

/// A time during which something could not be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageLine {
    /// What could not be reached.
    pub what: String,
    /// Local time at which it began.
    pub from: String,
    /// How long it lasted, in seconds.
    pub length: u64,
}

/// One pool over the day; a value is absent where nothing was seen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolPlot {
    /// The pool.
    pub pool: PoolId,
    /// Share of slots that were taken, in percent.
    pub busy: Vec<Option<f64>>,
    /// Requests that waited, on average.
    pub queue: Vec<Option<f64>>,
}

/// One account over the day; a value is absent where nothing was seen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountPlot {
    /// The account, or what stands for the others.
    pub account: AccountId,
    /// Service of the day, in units.
    pub service: Service,
    /// Service a second, in steps of two hours.
    pub rate: Vec<Option<f64>>,
}

/// The page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The day.
    pub day: DayId,
    /// Time zone of the day.
    pub time_zone: String,
    /// Whether it went well.
    pub verdict: Verdict,
    /// Each measure against its target.
    pub measures: Vec<Measure>,
    /// What nobody saw.
    pub gaps: Vec<Gap>,
    /// What could not be reached.
    pub outages: Vec<OutageLine>,
    /// Pools over the day.
    pub pools: Vec<PoolPlot>,
    /// Accounts over the day, the most served first.
    pub accounts: Vec<AccountPlot>,
    /// Remarks on how the page came about.
    pub notes: Vec<String>,
}

impl Page {
    /// Makes the page of a day.
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
        // Several routers tell of one outage; times that overlap are one.
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
