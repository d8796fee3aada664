//! Tests of the day's records and of the page.

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
