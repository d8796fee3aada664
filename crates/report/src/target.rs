//! Targets for the measures of a day.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::cost::Service;
use primrose_core::id::PoolId;
use primrose_core::table::PoolKind;
use primrose_core::table::Table;

/// Targets of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PoolTarget {
    /// 95th percentile of the time to the first token; `None` for a plain service.
    pub first_token: Option<Duration>,
    /// 95th percentile of the time between tokens; `None` for a plain service.
    pub inter_token: Option<Duration>,
    /// Maximum difference in service between two backlogged accounts; `None` without a known bound.
    pub gap: Option<Service>,
}

/// Targets of a day; counts that must be zero have no entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Targets {
    /// Targets by pool.
    pub pools: BTreeMap<PoolId, PoolTarget>,
    /// Maximum time from the acceptance of a table change until it is in force.
    pub in_force: Duration,
    /// Maximum control traffic of one router, in bytes per second.
    pub control: u64,
    /// Maximum share of slot time that may be idle while requests wait.
    pub idle: f64,
    /// Maximum number of servers that may be lost to one poison request.
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
    /// Reads the pools' targets from the tables; the caller adds the bounds of the fairness gap.
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
