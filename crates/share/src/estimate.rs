//! Cost estimates per client account and route.
//!
//! An estimate combines an exponentially weighted moving average of settled costs with the caller's
//! hint. The hint is clamped to a range around the average, which limits what an account can gain
//! by understating its requests.

use std::collections::BTreeMap;

use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::RouteId;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Maximum ratio between a hint and the average, in either direction; a hint beyond it is clamped.
const MAX_HINT_RATIO: f64 = 4.0;
/// Maximum estimate, in units. A hint comes from the caller and can be any number.
const MAX_ESTIMATE: Service = 1_000_000;
/// Maximum number of averages per account and route, and of averages per route. Beyond it, the
/// least recently settled average of an account is evicted, and a new route gets none.
const MAX_ENTRIES: usize = 8192;

#[derive(Debug, Clone, Copy)]
struct Average {
    mean: f64,
    /// Value of [`Estimator::settlements`] when this average was last updated.
    last_settlement: u64,
}

/// Estimates request costs from the costs of settled requests.
#[derive(Debug, Default)]
pub struct Estimator {
    averages: BTreeMap<AccountId, BTreeMap<RouteId, Average>>,
    /// Averages over all accounts, used for an account that is new on a route.
    route_means: BTreeMap<RouteId, f64>,
    /// Number of averages in `averages`.
    entries: usize,
    /// Number of settled requests so far.
    settlements: u64,
}

impl Estimator {
    /// Creates an estimator without any averages.
    pub fn new() -> Self {
        Self::default()
    }

    /// Estimates the cost of a request, in units; never zero.
    ///
    /// An account that is new on a route uses the average over all accounts. Without any average,
    /// the hint is used as it is, up to a million units. Otherwise the hint is clamped to the
    /// allowed range around the average.
    pub fn estimate(&self, account: &str, route: &str, hint: Service) -> Service {
        let own = self.average(account, route).map(|a| a.mean);
        let Some(mean) = own.or_else(|| self.route_means.get(route).copied()) else {
            return hint.clamp(1, MAX_ESTIMATE);
        };
        let low = mean / MAX_HINT_RATIO;
        let high = mean * MAX_HINT_RATIO;
        // The hint gets half the weight, because the caller may know the cost of this request.
        let blend = ((hint as f64).clamp(low, high) + mean) / 2.0;
        (blend.round() as Service).clamp(1, MAX_ESTIMATE)
    }

    /// Updates the averages with the settled cost of a request, in units.
    pub fn settle(&mut self, account: &str, route: &str, cost: Service) {
        self.settlements += 1;
        let last_settlement = self.settlements;
        self.update_route(route, cost as f64);
        let routes = self.averages.entry(account.to_owned()).or_default();
        if let Some(average) = routes.get_mut(route) {
            average.mean += SAMPLE_WEIGHT * (cost as f64 - average.mean);
            average.last_settlement = last_settlement;
            return;
        }
        let mean = cost as f64;
        routes.insert(
            route.to_owned(),
            Average {
                mean,
                last_settlement,
            },
        );
        self.entries += 1;
        if self.entries > MAX_ENTRIES {
            self.evict();
        }
    }

    fn update_route(&mut self, route: &str, cost: f64) {
        if let Some(mean) = self.route_means.get_mut(route) {
            *mean += SAMPLE_WEIGHT * (cost - *mean);
        } else if self.route_means.len() < MAX_ENTRIES {
            self.route_means.insert(route.to_owned(), cost);
        }
    }

    fn average(&self, account: &str, route: &str) -> Option<&Average> {
        self.averages.get(account)?.get(route)
    }

    fn evict(&mut self) {
        let all = self.averages.iter().flat_map(|(account, routes)| {
            routes
                .iter()
                .map(move |(route, average)| (average.last_settlement, account, route))
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
