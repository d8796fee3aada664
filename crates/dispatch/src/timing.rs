//! Timeouts, intervals and rate limits of the protocol between routers.

use std::time::Duration;

/// Interval between `Tick` events to the state machines.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a requester renews its registrations and running attempts.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// How long after sending a renewal a requester may start grants that refer to it.
pub const GRANT_LEASE: Duration = Duration::from_secs(3);
/// Extra time before a dispatcher reclaims the slot of an expired grant, to allow for clock drift.
pub const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Time without renewals after which a router gets no grants.
pub const ROUTER_STALE_AFTER: Duration = Duration::from_millis(2500);
/// Time without renewals after which a router's registrations are dropped.
pub const ROUTER_EXPIRY: Duration = Duration::from_secs(10);
/// How long a new dispatcher collects registrations and running attempts before its first grant.
pub const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Minimum interval between two resync requests to the same router.
pub const MIN_RESYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between digests to other zones, multiplied by the number of groups of
/// [`DIGEST_GROUP_ZONES`] zones.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Number of zones up to which digests are sent at the full rate.
pub const DIGEST_GROUP_ZONES: usize = 8;
/// Minimum interval between two demand messages on average, multiplied by the number of receiving
/// zones.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(12);
/// Maximum number of zones that receive one demand message, rotating if there are more.
pub const MAX_DEMAND_RECEIVERS: usize = 8;
/// Number of demand messages that may be sent as a burst, without the minimum interval.
pub const MAX_DEMAND_BURST: u32 = 8;
/// Interval at which unchanged demand is published again.
pub const DEMAND_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a refresh after which another zone's demand expires.
pub const DEMAND_EXPIRY: Duration = Duration::from_secs(3);
/// Maximum delay of a backend server's load report.
pub const MAX_LOAD_REPORT_LAG: Duration = Duration::from_secs(2);
/// How long a server that was adopted from another zone stays at a reduced limit.
pub const ADOPTION_SETTLE_TIME: Duration = Duration::from_secs(30);
/// Time without grants after a server's first failure; doubles with each consecutive failure.
pub const MIN_HOLD_OFF: Duration = Duration::from_millis(200);
/// Maximum time without grants after a server's failure.
pub const MAX_HOLD_OFF: Duration = Duration::from_secs(10);
