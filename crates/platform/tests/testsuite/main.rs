//! Tests of the platform's borders.

mod memory;
