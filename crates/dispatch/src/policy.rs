//! The order in which waiting accounts get capacity.
//!
//! [`FleetFair`] is the product's order. The others are baselines that the measurements run beside
//! it: [`Fcfs`], first come first served, and fair queueing in each router alone, which is
//! [`FleetFair`] in one dispatcher per router without zones, over the slots that
//! [`partition`] assigns to each.

use primrose_core::cost::Service;
use primrose_core::id::ServerId;
use primrose_core::table::SlotBounds;
use primrose_share::weighted_service;
use primrose_share::WeightedService;

/// Least difference of weighted service at which a slot goes to another zone beside local work.
pub const SPILL_THRESHOLD_UNITS: Service = 1000;

/// The oldest waiting request of one account.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Client account.
    pub account: &'a str,
    /// Weighted service of the account.
    pub service: WeightedService,
    /// Counts registrations at this dispatcher.
    pub arrival: u64,
}

/// Decides who is served next.
pub trait Policy: Send + std::fmt::Debug {
    /// Returns the candidate's rank; the lowest is served, the earliest among equals.
    fn rank(&self, candidate: &Candidate<'_>) -> i64;

    /// Returns by how much another zone's candidate must rank lower to get a slot that local work
    /// waits for; nothing if local work always goes first.
    fn threshold(&self) -> Option<i64>;
}

/// Least weighted service over the whole fleet first.
#[derive(Debug, Clone, Copy)]
pub struct FleetFair {
    threshold: WeightedService,
}

impl FleetFair {
    /// Makes the policy with a threshold for slots beside local work, in units of weight one.
    pub fn new(threshold: Service) -> Self {
        Self {
            threshold: weighted_service(threshold, 1),
        }
    }
}

impl Default for FleetFair {
    fn default() -> Self {
        Self::new(SPILL_THRESHOLD_UNITS)
    }
}

impl Policy for FleetFair {
    fn rank(&self, candidate: &Candidate<'_>) -> i64 {
        candidate.service
    }

    fn threshold(&self) -> Option<i64> {
        Some(self.threshold)
    }
}

/// First come first served; a baseline.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fcfs;

impl Policy for Fcfs {
    fn rank(&self, candidate: &Candidate<'_>) -> i64 {
        i64::try_from(candidate.arrival).unwrap_or(i64::MAX)
    }

    fn threshold(&self) -> Option<i64> {
        None
    }
}

/// Slots of one server that one router may use in a static partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The server.
    pub server: ServerId,
    /// Slots.
    pub slots: u32,
}

/// Divides the servers' slots between routers that do not talk to each other; a baseline.
///
/// `index` counts the routers from 0 to `count` - 1. Slots are dealt out in turn over all servers,
/// so that the routers' totals differ by one at most. A router may get no slot of some server.
pub fn partition(servers: &[ServerId], bounds: SlotBounds, index: u32, count: u32) -> Vec<Part> {
    let count = count.max(1);
    let mut dealt = 0_u32;
    let mut parts = Vec::new();
    for server in servers {
        let mine = (dealt..dealt + bounds.max).filter(|slot| slot % count == index);
        let slots = u32::try_from(mine.count()).unwrap_or(u32::MAX);
        dealt += bounds.max;
        if slots > 0 {
            let server = server.clone();
            parts.push(Part { server, slots });
        }
    }
    parts
}
