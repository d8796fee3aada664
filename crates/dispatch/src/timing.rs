//! Times of the protocol between routers, and the bounds that follow from them.

use std::time::Duration;

/// How often the state machines want to be told the time, at most.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// How often a requester renews what it has registered and what it runs.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// How long after a renewal was sent a grant that rests on it may be started.
pub const GRANT_LEASE: Duration = Duration::from_secs(3);
/// How much longer a dispatcher waits before it takes back a slot, for clocks that run apart.
pub const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// A router that has not renewed for this long gets no grants.
pub const ROUTER_STALE_AFTER: Duration = Duration::from_millis(2500);
/// Registrations of a router that has not renewed for this long are dropped.
pub const ROUTER_EXPIRY: Duration = Duration::from_secs(10);
/// How long a new dispatcher collects registrations and running attempts before it grants.
pub const SETTLE_TIME: Duration = Duration::from_millis(300);
/// How often a router is asked to register all anew, at most.
pub const MIN_RESYNC_INTERVAL: Duration = Duration::from_secs(2);
/// How often digests go to other zones, for each [`DIGEST_PEERS`] zones.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Number of zones up to which digests go at full rate.
pub const DIGEST_GROUP_ZONES: usize = 8;
/// Time between two changes of demand, for each zone that is told.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(12);
/// Number of zones that are told of one change, in turn if there are more.
pub const MAX_DEMAND_RECEIVERS: usize = 8;
/// Changes of demand that may be told without a gap.
pub const MAX_DEMAND_BURST: u32 = 8;
/// How often demand is told even without a change.
pub const DEMAND_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Demand that was not refreshed for this long is void.
pub const DEMAND_EXPIRY: Duration = Duration::from_secs(3);
/// How long a backend server's load report may lag behind the truth.
pub const MAX_LOAD_REPORT_LAG: Duration = Duration::from_secs(2);
/// How long a server that was taken over from another zone stays at a reduced limit.
pub const ADOPTION_SETTLE_TIME: Duration = Duration::from_secs(30);
/// First time without grants for a server that failed; doubles with each failure in a row.
pub const MIN_HOLD_OFF: Duration = Duration::from_millis(200);
/// Longest time without grants for a server that failed.
pub const MAX_HOLD_OFF: Duration = Duration::from_secs(10);
