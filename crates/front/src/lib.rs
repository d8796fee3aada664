//! The router's front: HTTP towards callers, and HTTP towards backend servers.
//!
//! A [`Front`] owns every socket that a request touches. It reads the request ([`serve`]), finds
//! account and route, and runs one driver task for it, which feeds the request's
//! [`primrose_request::Lifecycle`] and carries out its actions. All that needs the rest of the
//! router goes through the [`Broker`].
//!
//! Why a front of its own on hyper: token streams must leave event by event, a caller that goes
//! away must be noticed while its request waits, and slow senders must be bounded. `docs/design/
//! front.md` has the figures.
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
mod delivery;
mod drive;
mod finish;
mod front;
mod job;
pub mod limits;
mod listen;
mod meter;
pub mod parse;
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
