//! What operators see: the state of each router, and the page that says how the day went.
//!
//! [`status`] holds the messages that a router's operator listener and `primrosectl` exchange.
//! The rest makes the evening page. Nothing here opens a socket, starts a thread or reads a clock.

pub mod status;
