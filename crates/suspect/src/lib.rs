//! Poison requests: which requests were on a backend server when it died, and what follows.
//!
//! Now and then one request crashes each server that runs it, and its caller sends it again. When
//! a server dies, nobody knows which of its requests was to blame, so each of them is struck: its
//! fingerprint (account, route, body) becomes a suspect. A suspect runs again only alone, on the
//! one server of its pool that the dispatcher sets apart. If it comes to its end, its strikes are
//! taken back; if the server dies again, the fingerprint has two strikes and is refused on every
//! router for a time, with [`ErrorCode::Poison`](primrose_core::outcome::ErrorCode::Poison).
//!
//! A [`Register`] holds the strikes that one router or dispatcher knows of. Registers exchange
//! [`Message`]s; records only accumulate, so late, doubled and reordered messages are harmless. The
//! register decides without a clock of its own. The dispatcher of a pool is the place that must ask
//! it before each grant, because every router's resend passes there; `docs/design/poison.md` gives
//! the bound on lost servers, and what it is while zones cannot hear one another.
//!
//! ```
//! use primrose_core::id::AttemptId;
//! use primrose_suspect::{Death, FingerprintStatus, InFlightAttempt, Limits, Register};
//!
//! let mut register = Register::new(Limits::default());
//! let death = |server: &str, number| Death {
//!     server: server.to_owned(),
//!     run: 1,
//!     pool: "drafting".to_owned(),
//!     in_flight: vec![InFlightAttempt {
//!         attempt: AttemptId { request: 7, number },
//!         fingerprint: 70,
//!         account: "parish-3".to_owned(),
//!         route: "drafts".to_owned(),
//!         since: 900,
//!     }],
//! };
//! let news = register.server_died(&death("d1", 1), 1_000);
//! assert_eq!(news.strikes.len(), 1);
//! assert_eq!(register.status(70, 1_001), FingerprintStatus::Suspect);
//! register.server_died(&death("d2", 2), 2_000);
//! assert!(matches!(register.status(70, 2_001), FingerprintStatus::Refused { .. }));
//! ```

mod entry;
pub mod record;
pub mod register;

pub use record::Clearing;
pub use record::Death;
pub use record::InFlightAttempt;
pub use record::Lift;
pub use record::Message;
pub use record::Strike;
pub use register::FingerprintStatus;
pub use register::Limits;
pub use register::ListedSuspect;
pub use register::Register;
