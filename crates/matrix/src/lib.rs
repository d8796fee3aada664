//! The fault matrix: every fault of the deployment at every step of what the fleet does.
//!
//! This crate holds tests only. They drive the deciding parts of the other crates in one process
//! with a clock that is set by hand, cause one fault or two at chosen steps, and judge what
//! happened by the records of the fake backend servers, never by a router's word. The table of
//! results is `docs/FAULTS.md`; the test that runs the matrix fails if the file differs from what
//! it finds, and writes it when `PRIMROSE_WRITE_FAULTS` is set.
