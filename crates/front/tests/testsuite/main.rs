//! Tests of the front against stand-in servers and a fake broker.

mod caller_gone;
mod errors;
mod fixture;
mod limits;
mod outcomes;
mod parse;
mod resume_token;
mod stream;
