//! Tests of the settings parsers.

mod faults;
mod garbage;
mod samples;
mod support;
