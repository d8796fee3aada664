//! Tests of the documents that operators edit.

mod accounts;
mod activation;
mod diff;
mod faults;
mod garbage;
mod roundtrip;
mod samples;
mod stamp;
mod support;
mod values;
