//! Placement, admission and gossip decisions of one gateway.
//!
//! Every gateway decides alone, from the tables in force, the list of servers, its own requests and
//! the digests that the other gateways send several times a second. No request has to pass a
//! central scheduler, and no state has to survive a process: an empty gateway gets the tables from
//! the platform or from a peer and serves at once. State from other gateways is up to one digest
//! interval old, so two gateways may pick the same free server. The cost is a wait of one prompt;
//! no guarantee to a caller depends on that state being accurate.
//!
//! Nothing here does I/O or reads a clock. [`Fleet`] is passed each event with the time at which it
//! happened, and returns decisions.

pub mod bucket;
pub mod catalog;
pub mod cold;
pub mod cost;
pub mod crash;
pub mod decay;
pub mod demand;
pub mod digest;
pub mod entry;
pub mod evacuation;
mod fleet;
pub mod health;
pub mod length;
pub mod limit;
pub mod origin;
pub mod place;
pub mod poison;
pub mod prefill;
pub mod server;
pub mod snapshot;
pub mod speed;
pub mod window;

pub use fleet::AttemptOutcome;
pub use fleet::ColdServer;
pub use fleet::Decision;
pub use fleet::Fleet;
pub use fleet::FleetConfig;
pub use fleet::Outgoing;
pub use fleet::Placement;
pub use fleet::PlacementRequest;
pub use fleet::Refusal;
pub use fleet::RefusalReason;
pub use fleet::ServerStatus;
pub use fleet::SnapshotScope;
pub use fleet::FOLLOWER_COUNT;
pub use fleet::MAX_ALL_FOLLOW;
pub use fleet::MAX_MESH;
