//! Tests of the share crate.

mod estimate;
mod ledger;
