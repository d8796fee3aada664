//! Tests of the day's records and of the page.

mod calendar;
mod garbage;
mod html;
mod merge;
mod page;
mod size;
mod support;
mod times;
