//! Tests of the daily records and the report page.

mod aggregator;
mod calendar;
mod garbage;
mod histogram;
mod html;
mod merge;
mod page;
mod recorder;
mod size;
mod support;
