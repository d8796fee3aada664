//! The life of one request at the router that took it: claim, queue, attempts, answer, outcome.
//!
//! A router makes one [`Lifecycle`] for each request and feeds it what happens: answers of the
//! claims desk, grants of the dispatcher, events of the connection to a backend server, the
//! caller's leaving, deadlines. The machine answers with what to do. It holds no socket and reads
//! no clock, so each rule about outcomes can be driven by a table of cases and by random
//! interleavings of events; the rules stand at the head of [`lifecycle`].
//!
//! Why one machine for the whole request and not one for each hop: whether a request may be sent
//! again depends on the claim, on what earlier attempts did and on what the caller has already
//! seen. Only a place that knows all three can say `not run` truthfully.
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
mod answer;
mod ending;
pub mod event;
pub mod lifecycle;
mod run;
pub mod spec;

pub use action::Action;
pub use action::AnswerPart;
pub use action::AttemptResult;
pub use action::FinalResult;
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
