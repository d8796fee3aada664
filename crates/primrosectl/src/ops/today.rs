//! Fetches the page of a day from the first router that has it.
//!
//! Every router builds the page from the same records in the key-value service, so the first that
//! answers will do. One that is cut off from the service answers too, with gaps; a page without
//! gaps is preferred.

use std::net::SocketAddr;

use primrose_report::page::Page;
use snafu::Snafu;

use super::fleet::Fleet;
use super::fleet::FleetError;

/// Why there is no page.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TodayError {
    /// No router gave a page.
    #[snafu(display("no router gave the page; the last said: {last}"))]
    NoRouter {
        /// What the last one said.
        last: String,
    },
}

/// Fetches a page; today's if no day is given.
pub fn fetch(
    fleet: &dyn Fleet,
    routers: &[SocketAddr],
    date: Option<&str>,
) -> Result<Page, TodayError> {
    let mut best: Option<Page> = None;
    let mut last = "no router is known".to_owned();
    for router in routers {
        match page(fleet, *router, date) {
            Ok(page) if page.verdict.whole => return Ok(page),
            Ok(page) => {
                let fewer = |best: &Page| hidden(&page) < hidden(best);
                if best.as_ref().is_none_or(fewer) {
                    best = Some(page);
                }
            }
            Err(error) => last = error.to_string(),
        }
    }
    best.ok_or(TodayError::NoRouter { last })
}

fn hidden(page: &Page) -> usize {
    page.gaps.iter().map(|gap| gap.intervals).sum()
}

fn page(fleet: &dyn Fleet, router: SocketAddr, date: Option<&str>) -> Result<Page, FleetError> {
    let json = fleet.day(router, date)?;
    serde_json::from_str(&json).map_err(|error| FleetError::Malformed {
        detail: error.to_string(),
    })
}
