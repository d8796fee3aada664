//! Poison requests: detects requests that crash backend servers, isolates them and refuses them.
//!
//! Occasionally one request crashes each server that runs it, and its caller retries it. When a
//! server dies, it is not known which of its requests caused the crash, so each of them gets a
//! [`Strike`]: its fingerprint (account, route, body) becomes a suspect. A suspect may be retried
//! only in isolation: alone, on the one server of its pool that the dispatcher reserves for
//! suspects. If the isolated attempt completes, the strikes are cleared. If the server dies again,
//! the fingerprint has two strikes, and every router refuses it for a time with
//! [`ErrorCode::Poison`](primrose_core::outcome::ErrorCode::Poison).
//!
//! A [`Register`] holds the strikes that one router or dispatcher knows of. Registers exchange
//! [`Message`]s, whose records only accumulate, so messages may be delayed, duplicated and
//! reordered. The register has no clock of its own; the caller passes the time. The dispatcher of a
//! pool must check the register before each grant, because the retries of every router pass through
//! it. `docs/design/poison.md` gives the bound on lost servers, also while zones cannot exchange
//! messages.
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
//! let message = register.server_died(&death("d1", 1), 1_000);
//! assert_eq!(message.strikes.len(), 1);
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
