//! Settings of a membership view.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::id::Member;
use primrose_core::id::RegionId;
use primrose_core::id::ZoneId;

/// Number of heartbeat intervals between two digests that a router sends to its peers.
pub const HEARTBEATS_PER_SUMMARY: u64 = 4;
/// Default service name of the routers in the host list.
const ROUTER_SERVICE: &str = "primrosed";
/// Default of [`Settings::border_routers`].
const BORDER_ROUTERS: usize = 2;

/// Settings of a [`View`](crate::View).
#[derive(Debug, Clone)]
pub struct Settings {
    /// This router process.
    pub me: Member,
    /// Availability zone of this router.
    pub zone: ZoneId,
    /// Address on which this router listens for peers.
    pub addr: SocketAddr,
    /// Service name of the routers in the host list, which must give the addresses on which they
    /// listen for peers.
    pub service: String,
    /// Regions by zone.
    ///
    /// Must include the zone of this router, unless there is only one region. The regions of other
    /// zones are learned from their reports; a zone whose region is unknown is taken to be in the
    /// region of this router.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// Addresses of some routers, dialed while no other router is known; may include this router.
    pub seeds: Vec<SocketAddr>,
    /// Number of routers that link a zone to each other zone of its region, and number of zones
    /// that link a region to each other region.
    pub border_routers: usize,
    /// Intervals and timeouts.
    pub timing: Timing,
}

impl Settings {
    /// Creates default settings, without seeds and regions.
    pub fn new(me: Member, zone: ZoneId, addr: SocketAddr) -> Self {
        Self {
            me,
            zone,
            addr,
            service: ROUTER_SERVICE.to_owned(),
            regions: BTreeMap::new(),
            seeds: Vec::new(),
            border_routers: BORDER_ROUTERS,
            timing: Timing::default(),
        }
    }

    /// Returns the region of this router's zone; empty if it is not set.
    pub(crate) fn own_region(&self) -> &str {
        self.regions.get(&self.zone).map_or("", String::as_str)
    }
}

/// Intervals and timeouts of a [`View`](crate::View).
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Interval of [`crate::Event::Tick`]; a change waits at most this long before it is sent.
    pub tick: Duration,
    /// Time between two heartbeats to the same peer if nothing has changed.
    pub heartbeat_interval: Duration,
    /// Number of missed heartbeats after which a peer counts as unresponsive.
    pub missed_heartbeats: u32,
    /// Time without a tick after which this process is considered to have been paused.
    pub pause_threshold: Duration,
    /// How long a border router waits for a link before it dials another router.
    pub border_dial_timeout: Duration,
    /// Minimum time between two reports of a zone by the same router.
    pub min_report_interval: Duration,
    /// How long a record or a leaving mark is kept after its host was last seen.
    pub retention: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            heartbeat_interval: Duration::from_secs(1),
            missed_heartbeats: 3,
            pause_threshold: Duration::from_secs(1),
            border_dial_timeout: Duration::from_secs(3),
            min_report_interval: Duration::from_millis(500),
            retention: Duration::from_secs(600),
        }
    }
}

impl Timing {
    /// Returns the time without a heartbeat after which a peer counts as unresponsive.
    pub fn peer_timeout(&self) -> Duration {
        self.heartbeat_interval * self.missed_heartbeats + self.tick
    }
}
