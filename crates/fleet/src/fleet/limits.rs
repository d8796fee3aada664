//! Limits that servers name: which gateways share them.

use std::net::IpAddr;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::PoolId;

use super::roles::Role;
use super::roles::RELAY_TIMEOUT;
use super::Fleet;
use super::Placement;
use super::PlacementRequest;
use crate::entry::short_id;
use crate::entry::ShortId;
use crate::limit::part_of_limit;
use crate::limit::sharers;
use crate::limit::weights;
use crate::limit::Contention;
use crate::limit::DemandLevel;
use crate::limit::LimitCounts;
use crate::limit::ServerLimits;
use crate::limit::Sharer;
use crate::limit::Sharing;
use crate::place::share_key;
use crate::place::Candidate;

/// Time over which the requests for a pool are counted.
pub(super) const ARRIVAL_WINDOW: Duration = Duration::from_secs(8);

/// Least and greatest factor for the share that an account had.
const HANDICAP_RANGE: (f64, f64) = (1.0 / 16.0, 64.0);

impl Fleet {
    /// Records the limit in an answer of a server, in requests a second; none if it named none.
    pub fn record_limit(&mut self, placement: &Placement, rate: Option<f64>, now: Mono) {
        let Some(server) = self.server_of(placement) else {
            return;
        };
        let server = server.short_id;
        let is_new = rate.is_some() && self.limits.rate(server).is_none();
        self.limits.record(server, rate, now, now);
        if is_new {
            self.divide_limits(now);
        }
    }

    /// Determines how the limits are kept.
    pub(super) fn divide_limits(&mut self, now: Mono) {
        let limited = self.limits.limited();
        if limited.is_empty() {
            return;
        }
        let gateways = self.gateways_by_demand(now);
        let own = short_id(&self.config.ip.to_string());
        // After a restart, the previous process may already have sent the first requests.
        let is_running = self.demand.covers_window(now);
        for (server, rate) in limited {
            let sharing = if self.role == Role::Mesh {
                Sharing::Counted
            } else if self.is_near(server) {
                // Gateways of other zones are not all known here, so that they have no part.
                let part = part_of_limit(server, &gateways, own, sharers(rate));
                Sharing::Divided(part)
            } else {
                Sharing::Divided(0.0)
            };
            let first = if is_running {
                share_key([u64::from(own), u64::from(server)]) as f64 / u64::MAX as f64
            } else {
                0.0
            };
            self.limits.set_sharing(server, sharing, first, now);
        }
    }

    /// Updates what this gateway publishes of its demand.
    pub(super) fn update_demand(&mut self, now: Mono) {
        let catalog = self.catalog.as_ref();
        let rate = catalog.and_then(|catalog| catalog.tables().limits.token_rate);
        let tokens = self.demand.local_demand(rate.unwrap_or_default(), now);
        self.own_demand.update(tokens, now);
    }

    /// Returns the gateways of this zone, weighted by the demand that they publish.
    fn gateways_by_demand(&self, now: Mono) -> Vec<Sharer> {
        let gateways = self.ranked(self.own_zone(), RELAY_TIMEOUT, now);
        let level = |ip: &IpAddr| match self.known.get(ip) {
            Some(gateway) => gateway.demand,
            // As the relay passed it on, so that all gateways change over at the same time.
            None if self.role == Role::Relay => self.own_demand.level(),
            None => self.returned_demand,
        };
        let levels: Vec<DemandLevel> = gateways.iter().map(level).collect();
        let sharers = gateways.iter().zip(weights(&levels));
        sharers
            .map(|(ip, weight)| Sharer {
                id: short_id(&ip.to_string()),
                weight,
            })
            .collect()
    }

    /// Whether a server is in this gateway's zone.
    fn is_near(&mut self, server: ShortId) -> bool {
        let own_zone = self.own_zone();
        let server = self.servers.by_short_id_mut(server);
        server.is_some_and(|server| short_id(&server.entry.zone) == own_zone)
    }

    /// Returns the shortest time until this gateway may send a request to one of the servers within
    /// its limit; zero if it has a share of none.
    pub(super) fn wait_for_limits(&mut self, candidates: &[Candidate], now: Mono) -> Duration {
        let limits = &mut self.limits;
        // The draw of the request was in vain; its retry has another.
        let contention = Contention::default();
        let waits = candidates.iter().filter_map(|candidate| {
            let wait = limits.wait(candidate.short_id, contention, now);
            // Other gateways share the rate of the server until it is warm.
            let left = limits.cold.limit_left(candidate.short_id, now);
            wait.or((!left.is_zero()).then_some(left))
        });
        waits.min().unwrap_or_default()
    }

    /// Determines which servers a request may be sent to within their limits.
    pub(super) fn apply_limits(
        &mut self,
        request: &PlacementRequest,
        candidates: &mut [Candidate],
        now: Mono,
    ) {
        if self.limits.is_empty() {
            return;
        }
        let is_open = |limits: &mut ServerLimits, candidate: &Candidate, contention| {
            limits.wait(candidate.short_id, contention, now) == Some(Duration::ZERO)
        };
        let mut open = 0;
        for candidate in &*candidates {
            open += usize::from(is_open(&mut self.limits, candidate, Contention::default()));
        }
        let rate = self.request_rate(&request.pool, now);
        let moment = now.as_nanos() as u64;
        let draw = share_key([request.fingerprint, self.config.incarnation, moment]);
        let draw = draw as f64 / u64::MAX as f64;
        let contention = Contention {
            mean_rate: rate / candidates.len().max(1) as f64,
            open_rate: rate / open.max(1) as f64,
            draw: draw * self.limit_handicap(request, now),
        };
        for candidate in candidates {
            candidate.within_limit = is_open(&mut self.limits, candidate, contention);
            candidate.weight = self.limits.weight(candidate.short_id, contention, now);
        }
    }

    /// Returns what limits leave of the candidates for a request; none if no server is limited.
    pub(super) fn limits_of(&self, candidates: &[Candidate], now: Mono) -> Option<LimitCounts> {
        let mut counts = LimitCounts::default();
        if self.limits.is_empty() {
            return None;
        }
        for candidate in candidates {
            let rates = self.limits.rates(candidate.short_id, now);
            counts.add(candidate.within_limit, rates);
        }
        (counts.limited > 0).then_some(counts)
    }

    /// Returns the number of servers that named a limit or are cold, and what this gateway may use of
    /// their limits; none of them counts as open.
    pub fn limit_counts(&self, now: Mono) -> LimitCounts {
        let mut counts = LimitCounts::default();
        for server in self.servers.iter() {
            counts.add(false, self.limits.rates(server.short_id, now));
        }
        counts
    }

    /// Returns the factor by which a request's account makes its admission less likely: accounts that
    /// had less than their fair share come first.
    fn limit_handicap(&mut self, request: &PlacementRequest, now: Mono) -> f64 {
        let (Some(account), Some(prompt)) = (&request.account, &request.prompt) else {
            return 1.0;
        };
        let ratio = self
            .demand
            .granted_ratio(short_id(account), prompt.service(), now);
        (ratio * ratio).clamp(HANDICAP_RANGE.0, HANDICAP_RANGE.1)
    }

    /// Returns the number of requests a second for a pool, if the other gateways get as many as this
    /// one.
    fn request_rate(&mut self, pool: &PoolId, now: Mono) -> f64 {
        let gateways = self.gateway_count();
        let arrivals = self.pool(pool).arrivals.sum(now);
        arrivals as f64 / ARRIVAL_WINDOW.as_secs_f64() * gateways as f64
    }
}
