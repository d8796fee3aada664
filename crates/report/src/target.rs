//! What a day is held to.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::cost::Service;
use primrose_core::id::PoolId;
use primrose_core::table::PoolKind;
use primrose_core::table::Table;

/// What one pool is held to.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PoolTarget {
    /// Time to the first token for 95 in 100; nothing for a plain service.
    pub first_token: Option<Duration>,
    /// Time between tokens for 95 in 100; nothing for a plain service.
    pub inter_token: Option<Duration>,
    /// Widest difference of service between two backlogged accounts; nothing if no bound is known.
    pub gap: Option<Service>,
}

/// What a day is held to; counts that must be zero need no entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Targets {
    /// By pool.
    pub pools: BTreeMap<PoolId, PoolTarget>,
    /// Longest time from an accepted change until it is in force.
    pub in_force: Duration,
    /// Most control traffic of one router, in bytes a second.
    pub control: u64,
    /// Largest share of slot time that may be free while something waits.
    pub idle: f64,
    /// Most servers that one poison request may cost.
    pub poison: u64,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            pools: BTreeMap::new(),
            in_force: Duration::from_secs(11),
            control: 23_000,
            idle: 0.01,
            poison: 2,
        }
    }
}

impl Targets {
    /// Takes the pools' targets from the tables; bounds of the fairness gap are added by the caller.
    pub fn from_table(table: &Table) -> Self {
        let pools = table.pools.values().map(|pool| {
            let engine = pool.kind == PoolKind::Engine;
            let target = PoolTarget {
                first_token: engine.then_some(pool.first_token),
                inter_token: engine.then_some(pool.inter_token),
                gap: None,
            };
            (pool.name.clone(), target)
        });
        Self {
            pools: pools.collect(),
            ..Self::default()
        }
    }
}
