//! Daily report and router status for operators.
//!
//! The daily page says whether the fleet met its targets on a day. Hosts keep no persistent state
//! and may be replaced at any time, so the sums of a day must survive the loss of any host:
//!
//! - Each router process counts its [`Observation`](observation::Observation)s with a
//!   [`Recorder`](recorder::Recorder), in one [`Record`](record::Record) per day. A record only
//!   grows and carries a sequence number, so late and duplicate copies are detected and not counted
//!   twice.
//! - One router of each availability zone merges the zone's records ([`aggregator`]) into a
//!   [`ZoneDay`](zone::ZoneDay). It is stored in the platform's key-value service under one key and
//!   replaced by compare-and-swap every few minutes.
//! - A [`Total`](total::Total) adds up the zones, and a [`Page`](page::Page) compares it with the
//!   [`Targets`](target::Targets). A time without any data is shown as a gap, never as zero.
//!
//! A page is rendered as text ([`text`]), as JSON through its `Serialize` implementation, and as
//! HTML with plots ([`html`]). [`status`] defines the other messages between a router and
//! `primrosectl`. This crate opens no sockets, starts no threads and reads no clock.
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
