//! Selects the backend servers to which this router sends orders.
//!
//! In each availability zone one router sends the orders for a pool; it is chosen by rendezvous
//! hashing, as for every duty. The choice only saves work: two routers that both believe they hold
//! the duty do no harm, because the lease and the fencing number of each order prevent conflicts.

use std::collections::BTreeSet;

use primrose_core::host::HostState;
use primrose_core::id::PoolId;
use primrose_core::table::Pool;
use primrose_core::table::Selector;
use primrose_core::table::Table;
use primrose_order::desired;
use primrose_order::Target;

use crate::decide::Decider;

/// Returns the name of the duty of sending orders to the servers of a pool.
fn duty_name(pool: &str) -> String {
    format!("orders {pool}")
}

impl Decider {
    /// Updates the set of pools to whose servers this router sends orders.
    pub(super) fn update_orders(&mut self) {
        let ordered = self.ordered_pools();
        if ordered != self.ordered {
            log::info!(pools = ordered.len(); "the pools that this router sends orders for changed");
            self.ordered = ordered;
            self.publish_order_targets();
        }
    }

    /// Returns the pools with a model version whose duty is held by this router.
    fn ordered_pools(&self) -> BTreeSet<PoolId> {
        if self.draining {
            return BTreeSet::new();
        }
        let table = self.snapshots.table();
        let versioned = table.pools.values().filter(|pool| is_ordered(pool));
        let mine = versioned.filter(|pool| {
            let duty = duty_name(&pool.name);
            self.view.holder(&duty) == Some(&self.me)
        });
        mine.map(|pool| pool.name.clone()).collect()
    }

    /// Publishes the servers that the order thread manages and their desired state.
    pub(super) fn publish_order_targets(&self) {
        let table = self.snapshots.table();
        let pools = self.ordered.iter();
        let pools = pools.filter_map(|name| table.pools.get(name));
        let targets = pools.flat_map(|pool| self.order_targets(&table, pool));
        self.snapshots.set_order_targets(targets.collect());
    }

    /// Returns the live servers of a pool in this zone as order targets.
    fn order_targets(&self, table: &Table, pool: &Pool) -> Vec<Target> {
        let Some(desired) = desired(table, &pool.name) else {
            return Vec::new();
        };
        let servers = self.directory.servers(pool).into_iter();
        let live = servers.filter(|server| {
            server.zone == self.zone && server.state == HostState::Live && is_ordered(pool)
        });
        let target = |server: crate::decide::directory::LocatedServer| Target {
            server: server.id,
            addr: server.addr,
            desired: desired.clone(),
            checks_fence: pool.checks_fencing,
        };
        live.map(target).collect()
    }
}

/// Whether the servers of a pool get orders: the pool names a model version and selects its servers
/// by service, so that they come from the host list.
///
/// Polling a server that no longer exists would delay the others, and only the host list tells
/// which servers exist.
fn is_ordered(pool: &Pool) -> bool {
    let listed = matches!(pool.servers, Selector::Service(_));
    listed && !pool.model_version.is_empty()
}
