//! Tests of the retry budget and the backoff.

mod backoff;
mod budget;
