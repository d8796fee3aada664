//! The operations behind the commands, usable without the command line.
//!
//! The platform's key-value service and the routers are reached through trait objects, the
//! [`Store`](primrose_store::store::Store) and the [`Fleet`](fleet::Fleet), and waits go
//! through a [`Sleeper`](sleep::Sleeper), so that a test can inject every fault of the service and
//! the routers, and needs no real time.

pub mod accounts;
pub mod apply;
pub mod explain;
pub mod fleet;
pub mod http;
pub mod keys;
pub mod random;
pub mod restore;
pub mod sleep;
pub mod status;
pub mod swap;
pub mod tables;
pub mod today;
