//! Tests of the day's records and of the page.

mod calendar;
mod garbage;
mod gather;
mod html;
mod merge;
mod page;
mod recorder;
mod size;
mod support;
mod times;
