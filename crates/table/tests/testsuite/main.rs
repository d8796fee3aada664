//! Tests of the operators' documents.

mod accounts;
mod activation;
mod diff;
mod faults;
mod garbage;
mod replace_header;
mod roundtrip;
mod samples;
mod support;
mod values;
