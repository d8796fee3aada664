//! Tests of the documents that operators edit.

mod diff;
mod faults;
mod garbage;
mod roundtrip;
mod samples;
mod stamp;
mod support;
