//! What operators see: the state of each router, and the page that says how the day went.
//!
//! The owner of a fleet wants one page, each evening, that says whether the day went well. The
//! hosts of the fleet keep nothing and are replaced at any time, so the day's sums must outlive
//! every one of them:
//!
//! - Each router counts its own [`Observation`](observation::Observation)s by a
//!   [`Recorder`](recorder::Recorder) in one [`Record`](record::Record) a day and process. A record only grows, and says how far by its
//!   number, so a late or doubled copy is known and does not count twice.
//! - One router of each availability zone gathers the zone's records ([`aggregator`]) and folds them
//!   into a [`ZoneDay`](zone::ZoneDay), which stands in the platform's key-value service under one key and
//!   is replaced by compare-and-swap every few minutes.
//! - A [`Total`](total::Total) adds up the zones, and a [`Page`](page::Page) compares it with the
//!   [`Targets`](target::Targets). What nobody saw is a gap on the page, never a zero.
//!
//! A page is rendered as text ([`text`]), as JSON by its own derived form, and as HTML with plots
//! ([`html`]). [`status`] holds the other messages between a router and `primrosectl`. Nothing here
//! opens a socket, starts a thread or reads a clock.
//!
//! ```
//! use std::time::{Duration, UNIX_EPOCH};
//! use primrose_core::id::Member;
//! use primrose_report::calendar::Calendar;
//! use primrose_report::observation::Observation;
//! use primrose_report::page::{Page, PageContext};
//! use primrose_report::record::Record;
//! use primrose_report::target::Targets;
//! use primrose_report::total::Total;
//!
//! let calendar = Calendar::new("Asia/Kolkata").unwrap();
//! let at = UNIX_EPOCH + Duration::from_secs(1_700_000_000);
//! let located = calendar.locate(at);
//! let member = Member { host: "entry-1".into(), incarnation: 1 };
//! let mut record = Record::new(member, "barasat", &located.day);
//! let time = Duration::from_millis(700);
//! record.observe(located.interval, &Observation::FirstToken { pool: "drafting".into(), time });
//!
//! let mut total = Total::new(&located.day);
//! total.add_record(&record);
//! let targets = Targets::default();
//! let view = PageContext { calendar: &calendar, targets: &targets, zones: &[], now: at };
//! let page = Page::build(&total, &view);
//! assert!(page.verdict.well);
//! ```

pub mod aggregator;
pub mod calendar;
pub mod histogram;
pub mod html;
mod measure;
pub mod observation;
pub mod page;
mod plot;
mod plot_data;
pub mod pool;
mod progress;
pub mod record;
pub mod recorder;
pub mod series;
pub mod status;
pub mod target;
pub mod text;
pub mod total;
mod verdict;
mod wire;
pub mod zone;
