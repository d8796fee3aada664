//! What a gateway believes about its fleet, and what it decides from that.
//!
//! Every gateway decides alone, from the tables in force, the list of servers, what it has sent
//! itself and what the other gateways tell in short digests several times a second. There is no
//! hop to a deciding host in the path of a request, and no state that has to survive a process: an
//! empty gateway learns the tables from the platform or from a peer and serves at once. Where
//! beliefs are a digest old, two gateways may pick the same free server; the cost is a wait of one
//! prompt, and no promise to a caller rests on the beliefs being right.
//!
//! Nothing here does I/O or reads a clock. [`Fleet`] is told of events with the time at which they
//! happened and answers with decisions.

pub mod catalog;
pub mod crash;
pub mod demand;
pub mod digest;
pub mod entry;
mod fleet;
pub mod health;
pub mod place;
pub mod prefill;
pub mod server;
pub mod snapshot;
pub mod window;

pub use fleet::AttemptOutcome;
pub use fleet::Decision;
pub use fleet::Fleet;
pub use fleet::FleetConfig;
pub use fleet::Placement;
pub use fleet::PlacementRequest;
pub use fleet::Refusal;
pub use fleet::RefusalReason;
pub use fleet::ServerStatus;
pub use fleet::SnapshotScope;
pub use fleet::FOLLOWER_COUNT;
pub use fleet::MAX_ALL_FOLLOW;
