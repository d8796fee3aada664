//! Orders to backend servers: load a model version, change role.
//!
//! The pools table defines the desired state of every server of a pool ([`Desired`]); each server
//! reports its actual state ([`Observed`]). A [`Writer`] compares the two and sends an order where
//! they differ. It is level-triggered: it does not depend on change notifications, and whatever
//! fails in between, a later observation finds the difference and corrects it.
//!
//! Only one writer at a time may send orders to a server. It holds the server's key in the
//! key-value service under a lease, and every order carries a fencing number that grows with each
//! holder:
//!
//! - A server that checks the number refuses an order with an older one. This alone is sufficient.
//! - A server that does not check it accepts orders from anybody. Therefore a holder stops sending
//!   well before its lease expires by its own clock, which it reads right before each send. A
//!   holder that takes over after a lease has expired first waits for longer than that lease and
//!   then reads the state of the server.
//!
//! A load also needs one of a few permits of the whole fleet, because the weight store is
//! rate-limited. A permit names the server that is loading, so that whoever takes it over after
//! the lease has expired waits until that load has ended or its timeout has passed.
//!
//! [`Writer`] is a state machine without I/O. An [`Executor`] carries out its actions over a store
//! and a [`ServerClient`]; [`HttpServerClient`] implements the latter over HTTP.
//!
//! ```
//! use primrose_order::{Desired, Difference, Observed};
//! let desired = Desired { model: "linen".into(), version: "2".into(), role: String::new() };
//! let observed = Observed { model: "linen".into(), version: "1".into(), ..Observed::default() };
//! assert!(matches!(desired.difference(&observed), Difference::Load(_)));
//! let observed = Observed { loading: "2".into(), ..observed };
//! assert_eq!(desired.difference(&observed), Difference::Busy);
//! ```

// The names of modules that log (`execute`, `http`, `lease`, `slot` and its submodules) must stay:
// a log line carries its module as its target, and PRIMROSE_LOG filters by it.

mod config;
mod desired;
mod execute;
mod http;
mod lease;
mod message;
mod permit;
mod record;
mod slot;
mod writer;

pub use config::OrderConfig;
pub use desired::desired;
pub use desired::Desired;
pub use desired::Difference;
pub use desired::Observed;
pub use desired::Order;
pub use execute::Executor;
pub use execute::ServerClient;
pub use http::HttpServerClient;
pub use message::Action;
pub use message::ActionId;
pub use message::Event;
pub use message::FencedOrder;
pub use message::SendResult;
pub use message::Unreachable;
pub use writer::Target;
pub use writer::Writer;
