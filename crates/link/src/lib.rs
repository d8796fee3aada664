//! Authenticated message links between the routers of the fleet.
//!
//! This crate is the only part of the coordination code that opens sockets. It carries typed
//! messages between routers and reports over a bounded event channel which peers are reachable. It
//! decides nothing about membership: its user passes on which peers to connect to, as
//! `primrose-member` decides, and only the receiver interprets a message.
//!
//! An [`Endpoint`] runs one thread with a single-threaded tokio runtime. Every link is one
//! WebSocket connection with binary frames; [`handshake`] authenticates both ends with a shared
//! key ([`Keys`]), and every later frame carries a sequence number and an authentication tag under
//! a key of that connection ([`frame`]). Messages are CBOR values, and messages that are queued at
//! the same time share a frame ([`codec`]). Only one link is kept between two routers; [`resolve`]
//! decides which.
//!
//! A link is not a reliable channel: a message can be lost when a link breaks, a full queue rejects
//! new messages, and this crate never retransmits. The state machines that use it resend what must
//! arrive.
//!
//! Links use keyed tags rather than TLS, which would need certificates that operators have to
//! issue and renew for hosts that are replaced hundreds of times a day. The links provide
//! authenticity, not confidentiality; run them on a network where eavesdropping is acceptable.
//!
//! ```
//! use std::time::Duration;
//! use primrose_core::id::Member;
//! use primrose_link::{Endpoint, Key, Keys, LinkConfig, LinkEvent};
//!
//! let key = Key::from_bytes(b"an example key of thirty-two bytes").unwrap();
//! let start = |host: &str| {
//!     let me = Member { host: host.into(), incarnation: 1 };
//!     let keys = Keys::new(vec![key.clone()]).unwrap();
//!     let listen = "127.0.0.1:0".parse().unwrap();
//!     let (sender, events) = crossbeam_channel::bounded(64);
//!     let config = LinkConfig::new(me, "barasat".into(), listen, keys);
//!     (Endpoint::<String>::start(config, sender).unwrap(), events)
//! };
//! let (a, events) = start("a");
//! let (b, _b_events) = start("b");
//! a.connect(&"b".into(), b.local_addr());
//! let event = events.recv_timeout(Duration::from_secs(5)).unwrap();
//! assert!(matches!(event, LinkEvent::Up { .. }));
//! a.send(&"b".into(), &"hello".to_owned()).unwrap();
//! a.stop();
//! b.stop();
//! ```

mod accept;
mod block;
pub mod codec;
mod config;
mod connection;
mod counting_stream;
mod dial;
mod endpoint;
mod error;
mod event;
pub mod frame;
pub mod handshake;
mod key;
mod log_rate_limit;
mod queue;
mod registry;
mod relay;
pub mod resolve;
mod shared;
mod stats;

pub use block::BlockScope;
pub use config::Limits;
pub use config::LinkConfig;
pub use endpoint::Endpoint;
pub use error::SendError;
pub use error::StartError;
pub use event::DownReason;
pub use event::LinkEvent;
pub use event::RefusedReason;
pub use key::Key;
pub use key::KeyError;
pub use key::Keys;
pub use key::MIN_KEY_BYTES;
pub use stats::LinkStats;
pub use stats::Stats;
pub use stats::Traffic;
