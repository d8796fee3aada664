//! Membership: tracks the live routers, assigns duties to them and finds routes between them.
//!
//! Each router has its own [`View`], a state machine `(state, event, now) -> actions` without I/O.
//! There is no election and no shared store: the view is built from the host list, from the links
//! that are up, and from the [`Heartbeat`] messages that routers send each other. A duty, such as
//! being the dispatcher of a pool, belongs to the live member of the availability zone that
//! rendezvous hashing selects ([`rendezvous`]), so routers with the same view agree on its holder
//! without exchanging messages.
//!
//! There are two levels, each with a small link-state protocol. Within a zone every router is
//! linked to every other, and each publishes a [`Record`] of its links; the live members are those
//! connected to this router over links that both ends list. Between zones only the border routers
//! hold links, and one router of each zone publishes a [`Report`] of its members and of the zones
//! that it is linked to; the paths between zones follow from the reports. A change is forwarded at
//! the next tick to the peers that lack it. Every few heartbeats, peers compare digests and resend
//! what was lost.
//!
//! `docs/design/membership.md` compares this design with a full mesh of all routers and with a
//! gossip protocol like SWIM (Das et al., 2002).
//!
//! ```
//! use std::time::Duration;
//! use primrose_core::id::Member;
//! use primrose_member::{Event, Settings, View};
//!
//! let me = Member { host: "r1".into(), incarnation: 1 };
//! let addr = "127.0.0.1:7400".parse().unwrap();
//! let settings = Settings::new(me.clone(), "barasat".into(), addr);
//! let mut view = View::new(settings, Duration::ZERO);
//! view.handle(Event::Tick, Duration::from_millis(50));
//! // Alone in its zone, a router holds every duty.
//! assert_eq!(view.holder("dispatch drafting"), Some(&me));
//! ```

mod border;
mod dialer;
mod dissemination;
mod event;
mod fleet;
mod heartbeat;
mod leaving_marks;
mod lookup;
mod peers;
pub mod rendezvous;
mod routed;
mod settings;
mod view;
mod zone;

pub use event::Action;
pub use event::Event;
pub use heartbeat::Heartbeat;
pub use heartbeat::LeavingMark;
pub use heartbeat::MemberEntry;
pub use heartbeat::Record;
pub use heartbeat::RecordVersion;
pub use heartbeat::Report;
pub use heartbeat::ReportVersion;
pub use heartbeat::Summary;
pub use heartbeat::TableVersion;
pub use heartbeat::Versions;
pub use routed::DropReason;
pub use routed::Forward;
pub use routed::Routed;
pub use routed::Routes;
pub use routed::MAX_HOPS;
pub use settings::Settings;
pub use settings::Timing;
pub use settings::HEARTBEATS_PER_SUMMARY;
pub use view::View;
