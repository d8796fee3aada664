//! Pools that may have begun the streams of a route.
//!
//! Operators split routes, move them to other pools and back, and add routes below others, all of it
//! while streams run. So a pool counts for as long as callers may take up a stream that began there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use primrose_core::clock::Mono;
use primrose_core::id::PoolId;

use crate::catalog::Route;

/// Host name and path prefix of a route.
type RouteKey = (String, String);

/// Targets of routes whose streams may be resumed, in force or former.
#[derive(Debug, Default)]
pub(super) struct Targets {
    /// When each pool was last a target; none while it is one.
    routes: BTreeMap<RouteKey, BTreeMap<PoolId, Option<Mono>>>,
    /// Time of the last call of `expire`.
    now: Mono,
}

impl Targets {
    /// Replaces the routes in force.
    pub(super) fn replace(&mut self, routes: &[Route]) {
        let known = self.routes.values_mut().flat_map(BTreeMap::values_mut);
        known.for_each(|left| {
            left.get_or_insert(self.now);
        });
        for route in routes.iter().filter(|route| is_resumable(route)) {
            let pools = self.routes.entry(key(route)).or_default();
            for target in &route.targets {
                pools.insert(target.pool.clone(), None);
            }
        }
    }

    /// Drops targets of before a time.
    pub(super) fn expire(&mut self, oldest: Mono, now: Mono) {
        self.now = now;
        self.routes.retain(|_, pools| {
            pools.retain(|_, left| left.is_none_or(|left| left >= oldest));
            !pools.is_empty()
        });
    }

    /// Returns the pools that may have begun a stream of a route.
    pub(super) fn pools(&self, route: &Route) -> BTreeSet<&PoolId> {
        let key = key(route);
        let mut pools = self.pools_above(&key);
        let below = self.routes.range(key.clone()..);
        let below =
            below.take_while(|((host, prefix), _)| *host == key.0 && prefix.starts_with(&key.1));
        pools.extend(below.flat_map(|(_, pools)| pools.keys()));
        pools
    }

    /// Returns for each route the pools that may have begun its streams, without those of the routes
    /// below it.
    pub(super) fn pool_sets(&self) -> impl Iterator<Item = BTreeSet<&PoolId>> {
        self.routes.keys().map(|key| self.pools_above(key))
    }

    /// Returns the targets of a route and of those whose prefix begins its own.
    fn pools_above(&self, (host, prefix): &RouteKey) -> BTreeSet<&PoolId> {
        let mut pools = BTreeSet::new();
        let ends = prefix.match_indices('/').map(|(at, _)| at + 1);
        for end in ends.chain([prefix.len()]) {
            let above = self.routes.get(&(host.clone(), prefix[..end].to_owned()));
            pools.extend(above.into_iter().flat_map(BTreeMap::keys));
        }
        pools
    }
}

fn key(route: &Route) -> RouteKey {
    (route.host.to_ascii_lowercase(), route.prefix.clone())
}

fn is_resumable(route: &Route) -> bool {
    route.kind.is_stream() && route.kind.is_repeatable()
}
