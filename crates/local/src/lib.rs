//! A whole small deployment in one process: real routers, stand-ins for everything else.
//!
//! The quick start, the measurements and the tests of the daemon share it. Routers are started as
//! the program starts them, with real loopback links between them; the platform and the backend
//! servers are stand-ins. It simulates nothing: no time, no network.
//!
//! ```no_run
//! use primrose_local::{Deployment, Shape};
//! let deployment = Deployment::start(Shape::three_zones()).unwrap();
//! println!("callers connect to {}", deployment.router(0).callers());
//! ```

mod client;
mod cut;
mod deployment;
mod documents;
pub mod measure;
mod shape;

pub use client::chat_body;
pub use client::Client;
pub use client::Streamed;
pub use deployment::Deployment;
pub use deployment::DeploymentError;
pub use documents::TablesText;
pub use documents::ACCOUNTS_KEY;
pub use documents::PREFIX;
pub use documents::TABLES_KEY;
pub use shape::AccountShape;
pub use shape::Policy;
pub use shape::Shape;
pub use shape::ZoneShape;
