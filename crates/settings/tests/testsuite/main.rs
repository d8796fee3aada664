//! Tests of the process settings.

mod faults;
mod garbage;
mod samples;
mod support;
