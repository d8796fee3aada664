//! Builders of pools and routes for small tables.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::table::Matcher;
use primrose_core::table::Pool;
use primrose_core::table::PoolKind;
use primrose_core::table::QueueBounds;
use primrose_core::table::Route;
use primrose_core::table::Selector;
use primrose_core::table::SlotBounds;

/// Creates an engine pool without servers, with four slots per server.
pub fn engine_pool(name: &str) -> Pool {
    Pool {
        name: name.to_owned(),
        kind: PoolKind::Engine,
        servers: Selector::Listed(Vec::new()),
        slots: SlotBounds { min: 4, max: 4 },
        first_token: Duration::from_millis(1300),
        inter_token: Duration::from_millis(36),
        max_run_time: Duration::from_secs(60),
        weights: BTreeMap::new(),
        default_weight: 1,
        queue: QueueBounds {
            account_requests: 100,
            account_bytes: 1 << 20,
            total_requests: 1000,
            total_bytes: 16 << 20,
        },
        checks_fencing: true,
        model_version: String::new(),
    }
}

/// Creates a pool of plain services.
pub fn plain_pool(name: &str) -> Pool {
    Pool {
        kind: PoolKind::Plain,
        ..engine_pool(name)
    }
}

/// Creates an idempotent route that matches a model.
pub fn model_route(name: &str, model: &str, pool: &str) -> Route {
    Route {
        name: name.to_owned(),
        matcher: Matcher::Model(model.to_owned()),
        pool: pool.to_owned(),
        deadline: Duration::from_secs(30),
        idempotent: true,
        cost: 500,
    }
}

/// Creates a non-idempotent route that matches a path.
pub fn order_route(name: &str, path: &str, pool: &str) -> Route {
    Route {
        matcher: Matcher::Path(path.to_owned()),
        idempotent: false,
        cost: 1,
        ..model_route(name, "", pool)
    }
}
