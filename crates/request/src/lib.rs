//! State machine of one request at the router that received it, from claim and queue to outcome.
//!
//! A router creates one [`Lifecycle`] per request and passes it events: replies to the claim on the
//! idempotency key, grants of the dispatcher, events on the connection to a backend server, the
//! caller's disconnect, deadlines. The state machine returns the actions to carry out. It does no
//! I/O and reads no clock, so that tests can check each rule about outcomes with tables of cases
//! and random interleavings of events. The rules are listed in [`lifecycle`].
//!
//! One state machine covers the whole request, instead of one per hop, because whether a request
//! may be sent again depends on the claim, on the results of earlier attempts and on what the
//! caller has already received. Reporting `not run` truthfully takes all three.
//!
//! ```
//! use std::time::Duration;
//! use primrose_core::table::{Matcher, PoolKind, Route};
//! use primrose_request::{Action, Event, Lifecycle, Spec};
//!
//! let route = Route {
//!     name: "drafts".to_owned(),
//!     matcher: Matcher::Model("draft-7b".to_owned()),
//!     pool: "drafting".to_owned(),
//!     deadline: Duration::from_secs(30),
//!     idempotent: true,
//!     cost: 500,
//! };
//! let spec = Spec {
//!     id: 7,
//!     account: "parish-3".to_owned(),
//!     route,
//!     kind: PoolKind::Engine,
//!     stream: true,
//!     key: None,
//!     body: [0; 32],
//!     fingerprint: 0,
//!     suspect: false,
//! };
//! let mut request = Lifecycle::new(spec);
//! let actions = request.handle(Event::Start, Duration::from_secs(1));
//! assert!(matches!(actions[0], Action::Enqueue { .. }));
//! ```

pub mod action;
mod cancellation;
mod connection;
pub mod event;
pub mod lifecycle;
mod run;
pub mod spec;

pub use action::Action;
pub use action::AttemptResult;
pub use action::FinalResult;
pub use action::ResponsePart;
pub use action::Settlement;
pub use event::ClaimReply;
pub use event::ConnEvent;
pub use event::ConnId;
pub use event::Event;
pub use event::FailureStage;
pub use event::Grant;
pub use event::RetryDecision;
pub use event::Seq;
pub use lifecycle::Lifecycle;
pub use spec::IdempotencyKey;
pub use spec::Spec;
