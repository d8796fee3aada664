//! Tests of the documents that operators edit.

mod accounts;
mod diff;
mod faults;
mod force;
mod garbage;
mod roundtrip;
mod samples;
mod stamp;
mod support;
mod values;
