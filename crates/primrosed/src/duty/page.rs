//! Builds the day's report page for operators.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::bounded;
use primrose_core::clock::Clock;
use primrose_core::cost::service;
use primrose_core::cost::Service;
use primrose_core::cost::Tokens;
use primrose_core::cost::OUTPUT_TOKEN_UNITS;
use primrose_core::table::Pool;
use primrose_core::table::PoolKind;
use primrose_core::table::Table;
use primrose_dispatch::policy::LENDING_THRESHOLD_UNITS;
use primrose_dispatch::timing::DIGEST_INTERVAL;
use primrose_dispatch::timing::RENEWAL_INTERVAL;
use primrose_report::aggregator;
use primrose_report::calendar::Calendar;
use primrose_report::calendar::CalendarError;
use primrose_report::page::Page;
use primrose_report::page::PageContext;
use primrose_report::target::Targets;
use primrose_report::total::Total;
use primrose_share::GapBound;
use primrose_store::store::Store;
use snafu::Snafu;

use crate::reporter::FleetSnapshot;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;
use crate::snapshots::Snapshots;

/// Maximum wait for the reply of the report thread.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Note on the page of the current day about the age of its figures.
const LAG_NOTE: &str = "Figures of other routers come in up to five minutes late.";

/// Reason why a page could not be built.
#[derive(Debug, Snafu)]
pub(crate) enum PageError {
    /// The requested day is invalid.
    #[snafu(display("{source}"))]
    Day { source: CalendarError },
    /// The report thread is busy or has ended.
    #[snafu(display("the router did not answer in time"))]
    Busy,
}

/// Builds report pages from the records of this router and of the key-value service.
pub(crate) struct PageBuilder {
    pub(crate) prefix: String,
    pub(crate) calendar: Calendar,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) snapshots: Arc<Snapshots>,
    pub(crate) reporter: Reporter,
}

impl PageBuilder {
    /// Builds the page of a day, by default the current day.
    pub(crate) fn page(&self, day: Option<String>) -> Result<Page, PageError> {
        let now = self.clock.wall();
        let day = day.unwrap_or_else(|| self.calendar.locate(now).day);
        let begin = self.calendar.interval_start(&day, 0);
        begin.map_err(|source| PageError::Day { source })?;

        let (reply, answer) = bounded(1);
        if !self.reporter.try_send(ReportInput::Day(day.clone(), reply)) {
            return Err(PageError::Busy);
        }
        let snapshot = answer.recv_timeout(RESPONSE_TIMEOUT);
        let snapshot = snapshot.map_err(|_| PageError::Busy)?;

        let listed = self
            .store
            .list(&aggregator::zone_day_key(&self.prefix, &day, ""));
        let store_answered = listed.is_ok();
        let entries = listed.unwrap_or_default().into_iter();
        let values: Vec<Vec<u8>> = entries.map(|entry| entry.value).collect();
        let assembled = Total::assemble(&day, &values, &snapshot.records);
        let targets = targets(&self.snapshots.table(), &snapshot.fleet);
        let view = PageContext {
            calendar: &self.calendar,
            targets: &targets,
            zones: &snapshot.fleet.zones,
            now,
        };
        let mut page = Page::build(&assembled.total, &view);
        if !store_answered {
            mark_incomplete(&mut page);
        }
        if !page.verdict.over {
            page.notes.push(LAG_NOTE.to_owned());
        }
        let unread = assembled.decode_errors.iter();
        page.notes
            .extend(unread.map(|error| format!("One zone's record is not shown: {error}.")));
        Ok(page)
    }
}

/// Marks a page as incomplete because only records known to this router are shown.
fn mark_incomplete(page: &mut Page) {
    page.verdict.whole = false;
    let missing = " Only one zone's figures are shown: the key-value service did not answer.";
    page.verdict.sentence.push_str(missing);
}

/// Returns the targets of the active tables.
fn targets(table: &Table, fleet: &FleetSnapshot) -> Targets {
    let mut targets = Targets::from_table(table);
    for size in &fleet.servers {
        let row = table.pools.get(&size.pool);
        let target = targets.pools.get_mut(&size.pool);
        if let (Some(row), Some(target)) = (row, target) {
            target.gap = gap_bound(row, size.servers);
        }
    }
    targets
}

/// Returns the upper bound of the service difference between two backlogged accounts of an engine
/// pool.
///
/// The most expensive response is one that is generated at the target token interval for the
/// maximum run time.
fn gap_bound(pool: &Pool, servers: usize) -> Option<Service> {
    if pool.kind != PoolKind::Engine || pool.inter_token.is_zero() {
        return None;
    }
    let tokens = pool.max_run_time.as_micros() / pool.inter_token.as_micros();
    let largest = service(Tokens {
        input: 0,
        output: u64::try_from(tokens).unwrap_or(u64::MAX),
    });
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    let slots = servers.saturating_mul(pool.slots.max);
    let rate = f64::from(slots) * OUTPUT_TOKEN_UNITS as f64 / pool.inter_token.as_secs_f64();
    let bound = GapBound {
        threshold: LENDING_THRESHOLD_UNITS,
        max_request_cost: largest,
        slots,
        rate,
        delay: RENEWAL_INTERVAL + DIGEST_INTERVAL,
    };
    Some(bound.difference())
}
