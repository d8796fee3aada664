//! The day's page, as operators get it.

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
use primrose_report::calendar::Calendar;
use primrose_report::calendar::CalendarError;
use primrose_report::gather;
use primrose_report::page::Page;
use primrose_report::page::View;
use primrose_report::target::Targets;
use primrose_report::total::Total;
use primrose_share::GapBound;
use primrose_store::store::Store;
use snafu::Snafu;

use crate::published::Published;
use crate::reporter::FleetSight;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;

/// Longest wait for the report thread's answer.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// What a page of today says of its own age.
const LAG_NOTE: &str = "Figures of other routers come in up to five minutes late.";

/// There is no page.
#[derive(Debug, Snafu)]
pub(crate) enum PageError {
    /// The day that was asked for is none.
    #[snafu(display("{source}"))]
    Day { source: CalendarError },
    /// The report thread is busy or has ended.
    #[snafu(display("the router did not answer in time"))]
    Busy,
}

/// Makes pages.
pub(crate) struct Pages {
    pub(crate) prefix: String,
    pub(crate) calendar: Calendar,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) published: Arc<Published>,
    pub(crate) reporter: Reporter,
}

impl Pages {
    /// Makes the page of a day, or of today.
    pub(crate) fn page(&self, day: Option<String>) -> Result<Page, PageError> {
        let now = self.clock.wall();
        let day = day.unwrap_or_else(|| self.calendar.place(now).day);
        let begin = self.calendar.begin(&day, 0);
        begin.map_err(|source| PageError::Day { source })?;

        let (reply, answer) = bounded(1);
        if !self.reporter.tell(ReportInput::Day(day.clone(), reply)) {
            return Err(PageError::Busy);
        }
        let sight = answer.recv_timeout(ANSWER_TIME);
        let sight = sight.map_err(|_| PageError::Busy)?;

        let listed = self.store.list(&gather::key(&self.prefix, &day, ""));
        let answered = listed.is_ok();
        let entries = listed.unwrap_or_default().into_iter();
        let values: Vec<Vec<u8>> = entries.map(|entry| entry.value).collect();
        let assembled = Total::assemble(&day, &values, &sight.records);
        let targets = targets(&self.published.table(), &sight.fleet);
        let view = View {
            calendar: &self.calendar,
            targets: &targets,
            zones: &sight.fleet.zones,
            now,
        };
        let mut page = Page::build(&assembled.total, &view);
        if !answered {
            without_service(&mut page);
        }
        if !page.verdict.over {
            page.notes.push(LAG_NOTE.to_owned());
        }
        let unread = assembled.unread.iter();
        page.notes
            .extend(unread.map(|error| format!("One zone's record is not shown: {error}.")));
        Ok(page)
    }
}

/// Says on a page that it holds only what this router has heard itself.
fn without_service(page: &mut Page) {
    page.verdict.whole = false;
    let missing = " Only one zone's figures are shown: the key-value service did not answer.";
    page.verdict.sentence.push_str(missing);
}

/// Takes the targets from the tables in force.
fn targets(table: &Table, fleet: &FleetSight) -> Targets {
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

/// Bounds the difference of service between two backlogged accounts of an engine pool.
///
/// The costliest answer is one that is generated at the target's pace for the longest run.
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
