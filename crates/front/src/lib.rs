//! HTTP listener of a router: serves callers and forwards their requests to backend servers.
//!
//! A [`Front`] owns every socket that a request uses. It reads the request ([`serve`]), finds its
//! account and route, and spawns one driver task, which feeds events to the request's
//! [`primrose_request::Lifecycle`] and executes the actions that it returns. Decisions that need
//! the rest of the router, such as granting a slot, go through the [`Broker`].
//!
//! The front is built directly on hyper because token streams must be sent event by event, a
//! disconnecting caller must be noticed while its request is queued, and slow senders must be
//! bounded. `docs/design/front.md` has the measurements.
//!
//! ```
//! use primrose_front::parse::completion;
//! let body = br#"{"model":"draft","stream":true,"messages":[{"role":"user","content":"hi"}]}"#;
//! let chat = completion(body).unwrap();
//! assert_eq!((chat.model.as_str(), chat.stream), ("draft", true));
//! ```

mod actions;
pub mod attempt;
pub mod broker;
mod buffer;
mod caller;
mod caller_io;
mod delivery;
mod drive;
mod finish;
mod front;
mod job;
pub mod limits;
mod listen;
mod meter;
mod newcomers;
pub mod parse;
mod receive;
pub mod reply;
pub mod resume_token;
mod resumption;
pub mod serve;
mod shared;
pub mod trace;

pub use broker::Broker;
pub use front::AbortedRequest;
pub use front::Front;
pub use front::StartError;
pub use limits::Limits;
pub use resume_token::ResumeTokenKey;
