//! Scheduling policies: the order in which backlogged accounts get slots.
//!
//! [`FleetFair`] is the policy used in production. The others are baselines for measurements:
//! [`Fcfs`], first come first served, and fair queueing in each router alone, which is
//! [`FleetFair`] in one dispatcher per router without peers in other zones, over the slots that
//! [`partition_slots`] assigns to the router.

use primrose_core::cost::Service;
use primrose_core::id::ServerId;
use primrose_core::table::SlotBounds;
use primrose_share::weighted_service;
use primrose_share::WeightedService;

/// Minimum difference of weighted service, in units, at which a slot is lent to another zone while
/// local requests wait.
pub const LENDING_THRESHOLD_UNITS: Service = 1000;

/// Scheduling keys of an account's oldest waiting request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Client account.
    pub account: &'a str,
    /// Weighted service of the account.
    pub service: WeightedService,
    /// Position in the order of registrations at this dispatcher.
    pub arrival: u64,
}

/// Ranks the accounts that wait for a slot.
pub trait Policy: Send + std::fmt::Debug {
    /// Returns the candidate's rank. The lowest rank is served first; ties go to the earliest
    /// arrival.
    fn rank(&self, candidate: &Candidate<'_>) -> i64;

    /// Returns by how much another zone's candidate must rank lower than the best local one to get
    /// the slot, or `None` if local requests always go first.
    fn threshold(&self) -> Option<i64>;
}

/// Serves the account with the least weighted service over the whole fleet first.
#[derive(Debug, Clone, Copy)]
pub struct FleetFair {
    threshold: WeightedService,
}

impl FleetFair {
    /// Creates the policy with a threshold for lending slots while local requests wait, in units at
    /// weight one.
    pub fn new(threshold: Service) -> Self {
        Self {
            threshold: weighted_service(threshold, 1),
        }
    }
}

impl Default for FleetFair {
    fn default() -> Self {
        Self::new(LENDING_THRESHOLD_UNITS)
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

/// Serves in order of arrival (first come, first served); a baseline.
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

/// Slots of one server that are assigned to one router by [`partition_slots`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSlots {
    /// The server.
    pub server: ServerId,
    /// Number of slots.
    pub slots: u32,
}

/// Divides the servers' slots statically between routers that do not communicate; a baseline.
///
/// Returns the part of router `index`, from 0 to `count` - 1. Slots are assigned round-robin over
/// all servers, so the routers' totals differ by at most one. A router may get no slot on some
/// servers.
pub fn partition_slots(
    servers: &[ServerId],
    bounds: SlotBounds,
    index: u32,
    count: u32,
) -> Vec<ServerSlots> {
    let count = count.max(1);
    let mut assigned = 0_u32;
    let mut parts = Vec::new();
    for server in servers {
        let own_slots = (assigned..assigned + bounds.max).filter(|slot| slot % count == index);
        let slots = u32::try_from(own_slots.count()).unwrap_or(u32::MAX);
        assigned += bounds.max;
        if slots > 0 {
            let server = server.clone();
            parts.push(ServerSlots { server, slots });
        }
    }
    parts
}
