//! Which backend servers this router orders.
//!
//! In each availability zone one router orders the servers of a pool, found by rendezvous as for
//! every duty. That is for economy alone: two routers that both believe that the duty is theirs do
//! no harm, because the lease and the fencing number of each order decide.

use std::collections::BTreeSet;

use primrose_core::host::HostState;
use primrose_core::id::PoolId;
use primrose_core::table::Pool;
use primrose_core::table::Selector;
use primrose_core::table::Table;
use primrose_order::desired;
use primrose_order::Target;

use crate::decide::Decider;

/// Name of the duty of ordering the servers of a pool.
fn duty_of(pool: &str) -> String {
    format!("orders {pool}")
}

impl Decider {
    /// Takes up or gives up the orders of pools.
    pub(super) fn update_orders(&mut self) {
        let ordered = self.ordered_pools();
        if ordered != self.ordered {
            log::info!(pools = ordered.len(); "the pools whose servers are ordered here changed");
            self.ordered = ordered;
            self.publish_orders();
        }
    }

    /// Pools with a model version whose orders are the duty of this router.
    fn ordered_pools(&self) -> BTreeSet<PoolId> {
        if self.draining {
            return BTreeSet::new();
        }
        let table = self.published.table();
        let versioned = table.pools.values().filter(|pool| is_ordered(pool));
        let mine = versioned.filter(|pool| {
            let duty = duty_of(&pool.name);
            self.view.holder(&duty) == Some(&self.me)
        });
        mine.map(|pool| pool.name.clone()).collect()
    }

    /// Tells the order thread which servers to order, and what they should be.
    pub(super) fn publish_orders(&self) {
        let table = self.published.table();
        let pools = self.ordered.iter();
        let pools = pools.filter_map(|name| table.pools.get(name));
        let targets = pools.flat_map(|pool| self.order_targets(&table, pool));
        self.published.set_orders(targets.collect());
    }

    /// Live servers of a pool in this zone.
    fn order_targets(&self, table: &Table, pool: &Pool) -> Vec<Target> {
        let Some(desired) = desired(table, &pool.name) else {
            return Vec::new();
        };
        let servers = self.directory.servers(pool).into_iter();
        let live = servers.filter(|server| {
            server.zone == self.zone && server.state == HostState::Live && is_ordered(pool)
        });
        let target = |server: crate::decide::directory::Located| Target {
            server: server.id,
            addr: server.addr,
            desired: desired.clone(),
            checks_fence: pool.checks_fencing,
        };
        live.map(target).collect()
    }
}

/// Whether the servers of a pool get orders: it names a version, and the host list shows them.
///
/// A server that is gone would hold up the looks at the others; only the host list tells.
fn is_ordered(pool: &Pool) -> bool {
    let listed = matches!(pool.servers, Selector::Service(_));
    listed && !pool.model_version.is_empty()
}
