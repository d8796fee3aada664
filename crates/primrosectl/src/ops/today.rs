//! Fetches the daily page from the routers.
//!
//! Every router builds the page from the same records in the key-value service, so the first
//! page without gaps is taken. A router that is cut off from the service answers too, but its page
//! has gaps; if all pages have some, the one with the fewest missing intervals is taken.

use std::net::SocketAddr;

use primrose_report::page::Page;
use snafu::Snafu;

use super::fleet::Fleet;
use super::fleet::FleetError;

/// Why there is no page.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TodayError {
    /// No router returned a page.
    #[snafu(display("no router gave the page; the last said: {last_error}"))]
    NoRouter {
        /// Error of the last router.
        last_error: String,
    },
}

/// Fetches the page of a date, or of today if no date is given.
pub fn fetch(
    fleet: &dyn Fleet,
    routers: &[SocketAddr],
    date: Option<&str>,
) -> Result<Page, TodayError> {
    let mut best: Option<Page> = None;
    let mut last_error = "no router is known".to_owned();
    for router in routers {
        match fetch_from(fleet, *router, date) {
            Ok(page) if page.verdict.whole => return Ok(page),
            Ok(page) => {
                let fewer = |best: &Page| missing_intervals(&page) < missing_intervals(best);
                if best.as_ref().is_none_or(fewer) {
                    best = Some(page);
                }
            }
            Err(error) => last_error = error.to_string(),
        }
    }
    best.ok_or(TodayError::NoRouter { last_error })
}

fn missing_intervals(page: &Page) -> usize {
    page.gaps.iter().map(|gap| gap.intervals).sum()
}

fn fetch_from(
    fleet: &dyn Fleet,
    router: SocketAddr,
    date: Option<&str>,
) -> Result<Page, FleetError> {
    let json = fleet.day_page(router, date)?;
    serde_json::from_str(&json).map_err(|error| FleetError::Malformed {
        detail: error.to_string(),
    })
}
