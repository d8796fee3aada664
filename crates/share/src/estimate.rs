//! Cost estimates per client account and route.
//!
//! The estimate is an exponentially weighted moving average of settled costs. A caller's hint moves
//! it only within a factor, so that an account gains nothing by understating its requests.

use std::collections::BTreeMap;

use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::RouteId;

/// Part of the difference to a new sample that the average takes over.
const GAIN: f64 = 0.2;
/// A hint counts at most this many times the average, and at least the average divided by it.
const HINT_FACTOR: f64 = 4.0;
/// Largest estimate, in units: a hint is whatever a caller wrote.
const LARGEST: Service = 1_000_000;
/// Highest number of averages kept; above it, the least recently settled goes.
const MAX_ENTRIES: usize = 8192;

#[derive(Debug, Clone, Copy)]
struct Average {
    mean: f64,
    settled: u64,
}

/// Learns what requests cost.
#[derive(Debug, Default)]
pub struct Estimator {
    averages: BTreeMap<AccountId, BTreeMap<RouteId, Average>>,
    /// Averages over all accounts, for an account that is new on a route.
    routes: BTreeMap<RouteId, f64>,
    entries: usize,
    settled: u64,
}

impl Estimator {
    /// Makes an estimator that has learned nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Estimates a cost in units; never zero.
    ///
    /// An account that is new on a route has the average of all accounts; without any, the hint
    /// stands, up to a million units. A hint outside the allowed factor of the average is
    /// moved to the nearest allowed value.
    pub fn estimate(&self, account: &str, route: &str, hint: Service) -> Service {
        let own = self.average(account, route).map(|a| a.mean);
        let Some(mean) = own.or_else(|| self.routes.get(route).copied()) else {
            return hint.clamp(1, LARGEST);
        };
        let low = mean / HINT_FACTOR;
        let high = mean * HINT_FACTOR;
        // Half the weight goes to the hint, because it may know this one request.
        let blend = ((hint as f64).clamp(low, high) + mean) / 2.0;
        (blend.round() as Service).clamp(1, LARGEST)
    }

    /// Learns the settled cost of a request, in units.
    pub fn settle(&mut self, account: &str, route: &str, cost: Service) {
        self.settled += 1;
        let settled = self.settled;
        self.settle_route(route, cost as f64);
        let routes = self.averages.entry(account.to_owned()).or_default();
        if let Some(average) = routes.get_mut(route) {
            average.mean += GAIN * (cost as f64 - average.mean);
            average.settled = settled;
            return;
        }
        let mean = cost as f64;
        routes.insert(route.to_owned(), Average { mean, settled });
        self.entries += 1;
        if self.entries > MAX_ENTRIES {
            self.evict();
        }
    }

    fn settle_route(&mut self, route: &str, cost: f64) {
        if let Some(mean) = self.routes.get_mut(route) {
            *mean += GAIN * (cost - *mean);
        } else if self.routes.len() < MAX_ENTRIES {
            self.routes.insert(route.to_owned(), cost);
        }
    }

    fn average(&self, account: &str, route: &str) -> Option<&Average> {
        self.averages.get(account)?.get(route)
    }

    fn evict(&mut self) {
        let all = self.averages.iter().flat_map(|(account, routes)| {
            routes
                .iter()
                .map(move |(route, average)| (average.settled, account, route))
        });
        let Some((_, account, route)) = all.min() else {
            return;
        };
        let (account, route) = (account.clone(), route.clone());
        if let Some(routes) = self.averages.get_mut(&account) {
            routes.remove(&route);
            if routes.is_empty() {
                self.averages.remove(&account);
            }
        }
        self.entries -= 1;
    }
}
