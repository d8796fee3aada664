//! What a view is told at its start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::id::Member;
use primrose_core::id::RegionId;
use primrose_core::id::ZoneId;

/// Every how many beats peers compare digests of what they know.
pub const HEARTBEATS_PER_SUMMARY: u64 = 4;
/// Service name of the routers in the host list.
const ROUTER_SERVICE: &str = "primrosed";
/// Routers of a zone that link it to each neighbour.
const BORDER_ROUTERS: usize = 2;

/// Settings of a view.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This router process.
    pub me: Member,
    /// Availability zone of this router.
    pub zone: ZoneId,
    /// Where this router listens for peers.
    pub addr: SocketAddr,
    /// Service name under which the host list shows the routers; their addresses there must be
    /// those on which they listen for peers.
    pub service: String,
    /// Regions of zones, at least of this router's own unless there is one region only. Those of
    /// other zones are learned from their reports; a zone that neither shows counts as near.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// Addresses of some routers, dialed while no other router is known; may include this one.
    pub seeds: Vec<SocketAddr>,
    /// Routers of a zone that link it to each other zone of the region, and zones of a region that
    /// link it to each other region.
    pub border_routers: usize,
    /// Periods and timeouts.
    pub timing: Timing,
}

impl Settings {
    /// Makes settings without seeds and regions.
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

    /// Returns the region of this router's zone; empty if it is not listed.
    pub(crate) fn own_region(&self) -> &str {
        self.regions.get(&self.zone).map_or("", String::as_str)
    }
}

/// Periods and timeouts.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How often the caller sends [`crate::Event::Tick`]; news wait at most this long.
    pub tick: Duration,
    /// Time between two beats to the same peer when there is no news.
    pub heartbeat_interval: Duration,
    /// Missed beats after which a peer counts as gone.
    pub missed_heartbeats: u32,
    /// A tick that is later than this means that this process was paused.
    pub pause_threshold: Duration,
    /// How long a gateway waits for a link before it tries another router.
    pub border_dial_timeout: Duration,
    /// Shortest time between two reports of a zone by the same router.
    pub min_report_interval: Duration,
    /// How long a record or a leaving mark outlives the last sign of its host.
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
    /// Returns the silence after which a peer counts as gone.
    pub fn peer_timeout(&self) -> Duration {
        self.heartbeat_interval * self.missed_heartbeats + self.tick
    }
}
