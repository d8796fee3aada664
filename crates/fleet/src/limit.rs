//! Limits that servers name.
//!
//! A server in need says how many requests a second it takes from all gateways together, for as long
//! as it says so. Each gateway learns of a limit from the server's answers and from the digests of
//! the others; the latest statement counts.
//!
//! In a small fleet, digests also tell how many requests each gateway sent to the server of late, and
//! a gateway sends another only while the sum stays within the limit. Digests are late, so that all
//! gateways see the same room at the same time: of the requests that compete for it, each is
//! admitted with the probability with which they fill it.
//!
//! In a large fleet the sums would be too old. There the limit is divided among some gateways of the
//! server's zone, by the demand that they publish: each of them may send at its part of the rate, and
//! none of them may save up more than about one request. More gateways than [`sharers`] would send too
//! much in a burst. Demands are published in coarse steps and held for a while, since gateways that
//! know different ones send more or less than the limit together.

use std::collections::HashMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::Incarnation;

use crate::bucket::TokenBucket;
use crate::cold::ColdServers;
use crate::entry::ShortId;
use crate::place::share_key;
use crate::window::Window;

/// Least rate at which a server is asked, in requests a second, so that it can say that its limit has
/// changed.
pub const MIN_RATE: f64 = 0.25;
/// Time over which the requests of all gateways are counted.
const WINDOW: Duration = Duration::from_secs(2);
/// Time by which the counts of other gateways may be late.
const COUNT_DELAY: Duration = Duration::from_millis(200);
/// Time for which the count of another gateway is used after its last digest.
const COUNT_LIFETIME: Duration = Duration::from_secs(2);
/// Number of gateways that share a limit near zero.
const MIN_SHARERS: f64 = 4.0;
/// Further gateways that share a limit, for each request a second.
const SHARERS_PER_RATE: f64 = 2.0;
/// Least and greatest weight of a server whose limit is below the mean rate.
const MIN_WEIGHT: f64 = 1.0 / 16.0;
const MAX_LIMITED_WEIGHT: f64 = 0.5;
/// Time that a gateway may save up at its share, in addition to one request.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Time after which a statement is dropped if the server has not answered any gateway since.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(60);
/// Time for which the end of a limit is published.
const END_PUBLISH_TIME: Duration = Duration::from_secs(5);
/// Maximum number of statements in a digest; the newest are preferred.
const MAX_PUBLISHED: usize = 40;
/// Demand that is added to that of each gateway, relative to the mean of its zone: demand may come to
/// any gateway at any time.
const BASE_DEMAND: f64 = 0.25;
/// Levels of demand in a factor of two.
const LEVELS_PER_DOUBLING: f64 = 2.0;
/// Levels by which demand has to differ from its published level for another one.
const LEVEL_TOLERANCE: f64 = 0.75;
/// Least time between two levels: about the time in which gateways learn of one.
const LEVEL_HOLD_TIME: Duration = Duration::from_millis(600);

/// A server's latest statement, as gateways publish it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReport {
    /// Short id of the server's incarnation.
    pub server: ShortId,
    /// The limit in requests per 1,000 seconds; none if the server named none.
    pub limit: Option<u64>,
    /// Time since the statement, in milliseconds.
    pub age_ms: u32,
    /// Requests that the writer sent to the server of late.
    pub sent: u32,
}

/// How many requests compete for the servers of a pool, as one of them sees it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Contention {
    /// Requests a second of all gateways for each server of the pool.
    pub mean_rate: f64,
    /// Requests a second for each server whose limit is not used up: all requests compete for these.
    pub open_rate: f64,
    /// A random number for the request between zero and one, times a factor for its account.
    pub draw: f64,
}

/// What limits leave of the servers that could run a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitCounts {
    /// Servers that could run the request.
    pub candidates: u32,
    /// Those that named a limit or are cold.
    pub limited: u32,
    /// Those of `limited` of whose limit this gateway may use a part.
    pub shared: u32,
    /// Those of `candidates` that may be sent the request now.
    pub open: u32,
    /// Limits of `limited` together, in requests per 1,000 seconds.
    pub rate_milli: u64,
    /// What this gateway may use of `rate_milli`.
    pub own_rate_milli: u64,
}

impl LimitCounts {
    /// Counts a server; `rates` are those of its limit and of the part that this gateway may use.
    pub fn add(&mut self, is_open: bool, rates: Option<(f64, f64)>) {
        let milli = |rate: f64| (rate * 1_000.0) as u64;
        self.candidates += 1;
        self.open += u32::from(is_open);
        if let Some((rate, own)) = rates {
            self.limited += 1;
            self.shared += u32::from(own > 0.0);
            self.rate_milli += milli(rate);
            self.own_rate_milli += milli(own);
        }
    }
}

/// How a limit is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sharing {
    /// By the requests that all gateways sent, as they publish them.
    Counted,
    /// By the given part of the rate, which this gateway may use.
    Divided(f64),
}

/// A server's latest statement, and what this gateway may send.
#[derive(Debug)]
struct Limit {
    /// Requests a second; none if the server named no limit any more.
    rate: Option<f64>,
    stated: Mono,
    sharing: Sharing,
    /// Requests that this gateway sent.
    sent: Window,
    /// Requests that other gateways sent, and when they said so.
    peers: HashMap<Incarnation, (u32, Mono)>,
    /// Requests that this gateway may send, if the rate is divided.
    bucket: TokenBucket,
    /// Whether the rate has been divided since the first statement.
    is_divided: bool,
}

impl Limit {
    fn new(rate: f64, stated: Mono, now: Mono) -> Self {
        Self {
            rate: Some(rate),
            stated,
            sharing: Sharing::Divided(0.0),
            sent: Window::new(WINDOW),
            peers: HashMap::new(),
            bucket: TokenBucket::new(now),
            is_divided: false,
        }
    }

    /// Returns how long to wait until a request may be sent; none if this gateway may send none.
    fn wait(&mut self, contention: Contention, now: Mono) -> Option<Duration> {
        let Some(rate) = self.rate.map(|rate| rate.max(MIN_RATE)) else {
            return Some(Duration::ZERO);
        };
        match self.sharing {
            Sharing::Counted => {
                let recent = |at: Mono| now.saturating_sub(at) < COUNT_LIFETIME;
                let peers = self.peers.values().filter(|(_, at)| recent(*at));
                let sent =
                    self.sent.sum(now) + peers.map(|(sent, _)| u64::from(*sent)).sum::<u64>();
                let most = (rate * WINDOW.as_secs_f64()).max(1.0);
                let room = most - sent as f64;
                let competing = contention.open_rate * COUNT_DELAY.as_secs_f64();
                let is_admitted = room >= 1.0 && contention.draw * competing < room;
                Some(if is_admitted {
                    Duration::ZERO
                } else {
                    Duration::from_secs_f64(1.0 / rate)
                })
            }
            Sharing::Divided(share) => {
                self.refill(now);
                self.bucket.wait(rate * share)
            }
        }
    }

    fn refill(&mut self, now: Mono) {
        let Sharing::Divided(share) = self.sharing else {
            return;
        };
        let rate = self.rate.unwrap_or_default().max(MIN_RATE) * share;
        let most = 1.0 + rate * BURST_TIME.as_secs_f64();
        self.bucket.refill(rate, most, now);
    }
}

/// Limits of the servers that named one or are cold. While both hold, the lower rate counts; when the
/// cold time ends, the named limit stays.
#[derive(Debug, Default)]
pub struct ServerLimits {
    by_server: HashMap<ShortId, Limit>,
    /// Servers whose limit has the other source: they are cold until a time.
    pub cold: ColdServers,
}

/// Returns the number of gateways that share a limit.
pub fn sharers(rate: f64) -> usize {
    // The bursts of all sharers stay below what servers tolerate beyond their limit.
    (MIN_SHARERS + SHARERS_PER_RATE * rate.max(MIN_RATE)) as usize
}

/// Demand at a gateway as it is published, in steps of a factor of the square root of two; zero if it is
/// not known, one for none.
pub type DemandLevel = u8;

/// The level of this gateway's demand.
#[derive(Debug, Default)]
pub struct OwnDemand {
    level: DemandLevel,
    changed: Mono,
}

impl OwnDemand {
    /// Updates the level to a demand of `tokens`.
    pub fn update(&mut self, tokens: u64, now: Mono) {
        let exact = 1.0 + LEVELS_PER_DOUBLING * (tokens.max(1) as f64).log2();
        let is_held = now.saturating_sub(self.changed) < LEVEL_HOLD_TIME;
        let is_near = (exact - f64::from(self.level)).abs() < LEVEL_TOLERANCE;
        if self.level == 0 || !(is_held || is_near) {
            self.level = exact.round() as DemandLevel;
            self.changed = now;
        }
    }

    /// Returns the level; zero before the first update.
    pub fn level(&self) -> DemandLevel {
        self.level
    }
}

/// A gateway that may share the limits of its zone.
#[derive(Debug, Clone, Copy)]
pub struct Sharer {
    /// Short id of its address.
    pub id: ShortId,
    /// Its demand in relation to that of the others.
    pub weight: f64,
}

/// Returns the weights of gateways by their published demand levels. If the level of one gateway is not
/// known, all weights are equal.
pub fn weights(levels: &[DemandLevel]) -> Vec<f64> {
    if levels.contains(&0) {
        return vec![1.0; levels.len()];
    }
    let demand = |level: &DemandLevel| (f64::from(*level) / LEVELS_PER_DOUBLING).exp2();
    let demands: Vec<f64> = levels.iter().map(demand).collect();
    let mean = demands.iter().sum::<f64>() / demands.len().max(1) as f64;
    let weights = demands.into_iter();
    weights.map(|demand| demand + BASE_DEMAND * mean).collect()
}

/// Returns the part of a server's limit that the gateway `own` may use, by priority sampling: `most`
/// gateways are drawn by weight, and those among them that would be drawn anyway have parts in
/// proportion to their weights, the others equal ones. So each gateway has a part in proportion to its
/// weight on average over the servers. All gateways that know the same weights agree.
pub fn part_of_limit(server: ShortId, gateways: &[Sharer], own: ShortId, most: usize) -> f64 {
    let priority = |sharer: &Sharer| {
        let key = share_key([u64::from(server), u64::from(sharer.id)]);
        // Uniform in (0, 1]; the highest key comes first among equal weights.
        let uniform = ((u64::MAX - key) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        (sharer.weight / uniform, *sharer)
    };
    let mut drawn: Vec<(f64, Sharer)> = gateways.iter().map(priority).collect();
    drawn.sort_unstable_by(|(one, a), (other, b)| other.total_cmp(one).then(a.id.cmp(&b.id)));
    let threshold = drawn.get(most).map_or(0.0, |(priority, _)| *priority);
    drawn.truncate(most);
    let weight = |sharer: &Sharer| sharer.weight.max(threshold);
    let total: f64 = drawn.iter().map(|(_, sharer)| weight(sharer)).sum();
    let own = drawn.iter().find(|(_, sharer)| sharer.id == own);
    own.map_or(0.0, |(_, sharer)| weight(sharer) / total)
}

impl ServerLimits {
    /// Records what an answer of a server said: its limit in requests a second, or none.
    pub fn record(&mut self, server: ShortId, rate: Option<f64>, stated: Mono, now: Mono) {
        match (self.by_server.get_mut(&server), rate) {
            (Some(limit), _) if limit.stated <= stated => {
                limit.refill(now);
                limit.rate = rate;
                limit.stated = stated;
            }
            (None, Some(rate)) => {
                self.by_server.insert(server, Limit::new(rate, stated, now));
            }
            _ => {}
        }
    }

    /// Merges what another gateway published.
    pub fn merge(&mut self, writer: Incarnation, reports: &[LimitReport], now: Mono) {
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let rate = report.limit.map(|limit| limit as f64 / 1_000.0);
            self.record(report.server, rate, now.saturating_sub(age), now);
            if let Some(limit) = self.by_server.get_mut(&report.server) {
                limit.peers.insert(writer, (report.sent, now));
            }
        }
    }

    /// Returns what to publish.
    pub fn report(&mut self, now: Mono) -> Vec<LimitReport> {
        let published = self.by_server.iter_mut().filter(|(_, limit)| {
            limit.rate.is_some() || now.saturating_sub(limit.stated) < END_PUBLISH_TIME
        });
        let mut reports: Vec<LimitReport> = published
            .map(|(server, limit)| LimitReport {
                server: *server,
                limit: limit.rate.map(|rate| (rate * 1_000.0) as u64),
                age_ms: u32::try_from(now.saturating_sub(limit.stated).as_millis())
                    .unwrap_or(u32::MAX),
                sent: u32::try_from(limit.sent.sum(now)).unwrap_or(u32::MAX),
            })
            .collect();
        reports.sort_by_key(|report| (report.age_ms, report.server));
        reports.truncate(MAX_PUBLISHED);
        reports
    }

    /// Returns the servers that named a limit, with their rates.
    pub fn limited(&self) -> Vec<(ShortId, f64)> {
        let limited = self.by_server.iter();
        limited
            .filter_map(|(server, limit)| Some((*server, limit.rate?)))
            .collect()
    }

    /// Sets how the limit of a server is kept. When it is divided for the first time, the bucket of this
    /// gateway starts with the fraction `first` of a request instead of empty. That is less than the
    /// request that each sharer may save up anyway.
    pub fn set_sharing(&mut self, server: ShortId, sharing: Sharing, first: f64, now: Mono) {
        if let Some(limit) = self.by_server.get_mut(&server) {
            if !limit.is_divided && sharing != Sharing::Counted {
                limit.is_divided = true;
                limit.bucket.add(first);
            }
            limit.refill(now);
            limit.sharing = sharing;
            limit.bucket.skip_to(now);
            if sharing == Sharing::Divided(0.0) {
                // Another gateway has the part now.
                limit.bucket.empty();
            }
        }
    }

    /// Returns the limit that a server named, in requests a second.
    pub fn rate(&self, server: ShortId) -> Option<f64> {
        self.by_server.get(&server)?.rate
    }

    /// Returns the rate of a server that named a limit or is cold, and the part of it that this gateway
    /// may use, both in requests a second; none if the server is not limited.
    pub fn rates(&self, server: ShortId, now: Mono) -> Option<(f64, f64)> {
        let cold = self.cold.rate(server, now);
        let limit = self.by_server.get(&server);
        let named = limit.and_then(|limit| Some((limit.rate?.max(MIN_RATE), limit.sharing)));
        match (named, cold) {
            (Some((rate, Sharing::Counted)), None) => Some((rate, rate)),
            (Some((rate, Sharing::Divided(share))), None) => Some((rate, rate * share)),
            (named, Some(cold)) => {
                let rate = lower(named.map(|(rate, _)| rate), Some(cold));
                Some((rate.unwrap_or(cold), self.cold.own_rate(server, now)))
            }
            (None, None) => None,
        }
    }

    /// Whether no server named a limit or was cold of late.
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty() && self.cold.is_empty()
    }

    /// Returns the part of the mean rate that the limit of a server allows; one if it allows all of
    /// it. It is a power of two, so that gateways that see somewhat different rates agree on most
    /// prefixes. A cold server always has less than its share, since most gateways may not use it.
    pub fn weight(&self, server: ShortId, contention: Contention, now: Mono) -> f64 {
        let cold = self.cold.rate(server, now);
        let weight = match lower(self.rate(server), cold) {
            Some(rate) if rate < contention.mean_rate => {
                let exponent = (rate.max(MIN_RATE) / contention.mean_rate).log2().round();
                exponent.exp2().clamp(MIN_WEIGHT, MAX_LIMITED_WEIGHT)
            }
            _ if cold.is_some() => MAX_LIMITED_WEIGHT,
            _ => 1.0,
        };
        match cold {
            Some(_) => weight,
            None => weight.min(self.cold.ramp_weight(server, now)),
        }
    }

    /// Returns how long to wait until a request may be sent to a server; zero if it may be sent
    /// now, none if this gateway may send none.
    pub fn wait(&mut self, server: ShortId, contention: Contention, now: Mono) -> Option<Duration> {
        let is_cold = self.cold.rate(server, now).is_some();
        let cold_wait = self.cold.wait(server, now)?;
        match self.by_server.get_mut(&server) {
            // The rate of the cold server includes the named limit, and other gateways share it.
            Some(limit) if is_cold && limit.sharing != Sharing::Counted => Some(cold_wait),
            Some(limit) => Some(limit.wait(contention, now)?.max(cold_wait)),
            None => Some(cold_wait),
        }
    }

    /// Records that a request is sent to a server.
    pub fn record_sent(&mut self, server: ShortId, now: Mono) {
        if let Some(limit) = self.by_server.get_mut(&server) {
            limit.sent.add(1, now);
            limit.refill(now);
            limit.bucket.take();
        }
        self.cold.record_sent(server, now);
    }

    /// Drops old statements.
    pub fn expire(&mut self, now: Mono) {
        self.cold.expire(now);
        self.by_server.retain(|_, limit| {
            let lifetime = match limit.rate {
                Some(_) => STATEMENT_LIFETIME,
                None => END_PUBLISH_TIME,
            };
            limit
                .peers
                .retain(|_, (_, at)| now.saturating_sub(*at) < COUNT_LIFETIME);
            now.saturating_sub(limit.stated) < lifetime
        });
    }
}

/// Returns the lower one of two limits, of which each may be absent.
pub fn lower(one: Option<f64>, other: Option<f64>) -> Option<f64> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}
