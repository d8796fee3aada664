//! Orders to backend servers: load a model version, change role.
//!
//! The pools table says what every server of a pool should be ([`Desired`]); each server says what
//! it is ([`Observed`]). A [`Writer`] compares the two and sends an order where they differ. It is
//! level-triggered: nothing depends on having seen a change, and whatever goes wrong in between, a
//! later look finds the difference and corrects it.
//!
//! One writer at a time may order a server. It holds the server's key in the key-value service
//! under a lease, and every order carries a fencing number that grows with each holder:
//!
//! - A server that checks refuses an order with an older number. That alone is enough.
//! - A server that does not check obeys anybody. So a holder stops sending well before its lease
//!   ends, by its own clock, which is read right before each send; and a holder that follows one
//!   whose lease lapsed first waits for longer than that lease, then reads the server's state.
//!
//! Loads also need one of a few permits of the whole fleet, because the weight store behind them is
//! rate-limited. A permit names the server that it is used for, so that whoever takes it over
//! from a lapsed holder waits until that load has ended.
//!
//! [`Writer`] is a plain state machine. An [`Executor`] carries out its actions against a store
//! and a [`Servers`] port; [`HttpServers`] is that port over HTTP.
//!
//! ```
//! use primrose_order::{Desired, Difference, Observed};
//! let desired = Desired { model: "linen".into(), version: "2".into(), role: String::new() };
//! let observed = Observed { model: "linen".into(), version: "1".into(), ..Observed::default() };
//! assert!(matches!(desired.difference(&observed), Difference::Load(_)));
//! let observed = Observed { loading: "2".into(), ..observed };
//! assert_eq!(desired.difference(&observed), Difference::Busy);
//! ```

mod config;
mod desired;
mod executor;
mod http;
mod lease;
mod message;
mod permit;
mod reconciler;
mod record;
mod writer;

pub use config::OrderConfig;
pub use desired::desired;
pub use desired::Desired;
pub use desired::Difference;
pub use desired::Observed;
pub use desired::Order;
pub use executor::Executor;
pub use executor::ServerClient;
pub use http::HttpServerClient;
pub use message::Action;
pub use message::ActionId;
pub use message::Event;
pub use message::FencedOrder;
pub use message::SendResult;
pub use message::Unreachable;
pub use writer::Target;
pub use writer::Writer;
