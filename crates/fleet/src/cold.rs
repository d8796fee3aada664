//! Cold servers: a server that has just started, or comes back, takes few requests for a while and
//! crashes under more.
//!
//! The rate that a cold server takes is divided evenly among a few gateways of its availability
//! zone; see [`crate::Fleet`]. Each of them holds a token bucket of one request that starts empty.
//! All others send nothing until the server is warm.
//!
//! Gateways learn of a cold server from its entry in the platform's list, from its answers, from a
//! crash that they saw, and from one another's digests. A digest repeats what its writer knows for
//! as long as it holds.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use primrose_core::clock::Mono;

use crate::bucket::TokenBucket;
use crate::entry::ShortId;

/// Longest cold time that is believed; later statements may extend it.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(60);
/// Requests that a gateway may save up. Each of the gateways that share a rate can send them at once,
/// so that more would use up the slack of the bound.
const CAPACITY: f64 = 1.0;
/// Difference by which another gateway's statement has to be later than what is known. Each digest
/// is late by its time on the way; without this, gateways would extend the time for one another.
const REPORT_TOLERANCE: Duration = Duration::from_millis(500);
/// Time after a crash in which other gateways may still report a cold time from before it, and after
/// a return in which they may still report the crash.
const CRASH_REPORT_DELAY: Duration = Duration::from_millis(1_500);
/// Least time between two probes of a server whose connections broke.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Added to the time left in reports of a server that crashed and has not answered since.
const DOWN: u32 = 1 << 31;
/// Maximum number of servers in the digest of one gateway. If there are more, digests take turns.
pub const MAX_PUBLISHED: usize = 40;
/// Maximum number of servers in a combined digest.
pub const MAX_COMBINED: usize = 800;
/// Maximum number of servers that are remembered; above the design size of 4,700 servers.
const MAX_SERVERS: usize = 8_192;
/// Maximum number of changes kept for the log.
const MAX_CHANGES: usize = 256;
/// Time for which a server that became warm keeps each of [`RAMP_WEIGHTS`].
const RAMP_STEP: Duration = Duration::from_millis(500);
/// Weights of a server that became warm. Its preferred prefixes come back by steps: all at once, they
/// would miss its cache at the same time.
const RAMP_WEIGHTS: [f64; 3] = [0.125, 0.25, 0.5];

/// How many requests all gateways together may send to a cold server, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdBound {
    /// Factor of the rate that the server takes.
    pub over_permille: u32,
    /// Requests in a second beyond that, times 1,000.
    pub slack_permille: u32,
}

impl ColdBound {
    /// Returns the rate at which cold servers get requests, and how many gateways share it, for
    /// servers that take `rate` requests a second.
    ///
    /// In a second of any phase, each sharer may send the request that it saved up and what it gets
    /// of the rate. Sharers take two thirds of the room above the rate at most; the rest is for
    /// gateways that disagree for a moment.
    pub fn divide(self, rate: f64) -> (f64, usize) {
        let bound =
            rate * f64::from(self.over_permille) / 1e3 + f64::from(self.slack_permille) / 1e3;
        let sharers = ((bound - rate) / 1.5).clamp(1.0, 4.0).floor();
        (rate.min(bound - sharers).max(0.0), sharers as usize)
    }
}

/// How a gateway learned that a server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ColdSource {
    /// The server's entry in the platform's list.
    #[display("entry")]
    Entry,
    /// An answer of the server.
    #[display("answer")]
    Answer,
    /// A crash of the server, or its return after one.
    #[display("crash")]
    Crash,
    /// Another gateway.
    #[display("gateway")]
    Gateway,
}

/// A server that became cold, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdChange {
    /// Short id of the server's incarnation.
    pub server: ShortId,
    /// Expected time until it is warm.
    pub left: Duration,
    /// How this gateway learned of it.
    pub source: ColdSource,
}

/// A cold server, as gateways publish it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdReport {
    /// Short id of the server's incarnation.
    pub server: ShortId,
    /// Time until it is warm in milliseconds, at most [`MAX_COLD_TIME`]. For a server that crashed and
    /// has not answered since, the time until that is forgotten, with the highest bit set.
    pub left_ms: u32,
}

/// What is known of a server that is cold, or was until lately.
#[derive(Debug)]
struct Cold {
    until: Mono,
    /// When the server crashed, if it has not answered since.
    down_since: Option<Mono>,
    /// When the server answered after a crash.
    returned: Option<Mono>,
    /// Requests a second that this gateway may send.
    own_rate: f64,
    /// Requests a second of all gateways.
    rate: f64,
    bucket: TokenBucket,
}

impl Cold {
    fn new(now: Mono) -> Self {
        Self {
            until: Mono::ZERO,
            down_since: None,
            returned: None,
            own_rate: 0.0,
            rate: 0.0,
            bucket: TokenBucket::new(now),
        }
    }

    fn is_cold(&self, now: Mono) -> bool {
        now < self.until
    }

    /// Until when the server is limited. Others may know of a time that is longer by
    /// [`REPORT_TOLERANCE`], which is not taken over.
    fn limited_until(&self) -> Mono {
        self.until + REPORT_TOLERANCE
    }

    fn is_limited(&self, now: Mono) -> bool {
        now < self.limited_until()
    }
}

/// Servers that are cold, and those that were until lately.
#[derive(Debug, Default)]
pub struct ColdServers {
    by_server: HashMap<ShortId, Cold>,
    changes: Vec<ColdChange>,
    /// Servers whose connections broke, and when each was probed for it.
    probed: HashMap<ShortId, Mono>,
}

impl ColdServers {
    /// Records for how much longer a server is cold; returns whether it was warm before. A shorter
    /// time than the known one is ignored: an older entry may be read after an answer.
    pub fn record(
        &mut self,
        server: ShortId,
        left: Duration,
        source: ColdSource,
        now: Mono,
    ) -> bool {
        let left = left.min(MAX_COLD_TIME);
        if left.is_zero() || !self.has_room(server) {
            return false;
        }
        let cold = self
            .by_server
            .entry(server)
            .or_insert_with(|| Cold::new(now));
        let until = now + left;
        let was_warm = !cold.is_cold(now);
        if cold.down_since.take().is_some() {
            cold.returned = Some(now);
            cold.until = until;
        }
        cold.until = cold.until.max(until);
        if was_warm {
            cold.bucket = TokenBucket::new(now);
            self.record_change(server, left, source);
        }
        was_warm
    }

    /// Records that a server crashed: it is cold once it is back. Until then, and for `left` at most,
    /// only the gateways that share its rate try it. Returns whether it was warm before.
    pub fn record_crash(
        &mut self,
        server: ShortId,
        left: Duration,
        source: ColdSource,
        now: Mono,
    ) -> bool {
        if left.is_zero() || !self.has_room(server) {
            return false;
        }
        let cold = self
            .by_server
            .entry(server)
            .or_insert_with(|| Cold::new(now));
        if cold.down_since.is_some() {
            return false;
        }
        let was_warm = !cold.is_cold(now);
        cold.down_since = Some(now);
        cold.until = now + left;
        if was_warm {
            cold.bucket = TokenBucket::new(now);
            self.record_change(server, left, source);
        }
        was_warm
    }

    /// Whether a server whose connection broke is to be probed: a crash breaks many at once.
    pub fn needs_probe(&mut self, server: ShortId, now: Mono) -> bool {
        let is_recent = |at: &Mono| now.saturating_sub(*at) < PROBE_INTERVAL;
        if self.is_down(server) || self.probed.get(&server).is_some_and(is_recent) {
            return false;
        }
        self.probed.insert(server, now);
        true
    }

    /// Records that a server answered; after a crash it is cold for `start_time` from then on.
    pub fn record_answer(&mut self, server: ShortId, start_time: Duration, now: Mono) {
        if self.is_down(server) {
            if start_time.is_zero() {
                self.by_server.remove(&server);
            }
            self.record(server, start_time, ColdSource::Crash, now);
        }
    }

    /// Whether a server crashed and has not answered since.
    pub fn is_down(&self, server: ShortId) -> bool {
        let cold = self.by_server.get(&server);
        cold.is_some_and(|cold| cold.down_since.is_some())
    }

    /// Merges what another gateway published.
    pub fn merge(&mut self, reports: &[ColdReport], now: Mono) {
        for report in reports {
            let known = self.by_server.get(&report.server);
            let is_recent =
                |at: Option<Mono>| at.is_some_and(|at| now.saturating_sub(at) < CRASH_REPORT_DELAY);
            let left = Duration::from_millis((report.left_ms & !DOWN).into()).min(MAX_COLD_TIME);
            if report.left_ms & DOWN != 0 {
                if !known.is_some_and(|cold| is_recent(cold.returned)) {
                    self.record_crash(report.server, left, ColdSource::Gateway, now);
                }
                continue;
            }
            let is_news = known.is_none_or(|cold| match cold.down_since {
                Some(_) => !is_recent(cold.down_since),
                None => now + left > cold.until + REPORT_TOLERANCE,
            });
            if is_news {
                self.record(report.server, left, ColdSource::Gateway, now);
            }
        }
    }

    /// Returns what to publish: `most` servers, others with each `turn` if there are more.
    pub fn report(&self, most: usize, turn: u64, now: Mono) -> Vec<ColdReport> {
        let cold = self.by_server.iter().filter(|(_, cold)| cold.is_cold(now));
        let mut reports: Vec<ColdReport> = cold
            .map(|(server, cold)| {
                let left = cold.until.saturating_sub(now).min(MAX_COLD_TIME);
                let left = u32::try_from(left.as_millis()).unwrap_or(0);
                let left_ms = match cold.down_since {
                    Some(_) => left | DOWN,
                    None => left,
                };
                ColdReport {
                    server: *server,
                    left_ms,
                }
            })
            .collect();
        reports.sort_unstable_by_key(|report| report.server);
        if reports.len() > most {
            let first = (turn % reports.len() as u64) as usize * most % reports.len();
            reports.rotate_left(first);
            reports.truncate(most);
        }
        reports
    }

    /// Returns the number of cold servers, with those whose entry is not known.
    pub fn len(&self, now: Mono) -> usize {
        let cold = self.by_server.values();
        cold.filter(|cold| cold.is_cold(now)).count()
    }

    /// Returns for how much longer a server is cold; zero if it is warm.
    pub fn left(&self, server: ShortId, now: Mono) -> Duration {
        let cold = self.by_server.get(&server);
        cold.map_or(Duration::ZERO, |cold| cold.until.saturating_sub(now))
    }

    /// Returns for how much longer a server is limited: somewhat longer than it is known to be cold.
    pub fn limit_left(&self, server: ShortId, now: Mono) -> Duration {
        let until = |cold: &Cold| cold.limited_until().saturating_sub(now);
        self.by_server.get(&server).map_or(Duration::ZERO, until)
    }

    /// Sets the rate of a cold server, and the part of it that this gateway may use.
    pub fn set_rate(&mut self, server: ShortId, rate: f64, own_rate: f64, now: Mono) {
        if let Some(cold) = self.by_server.get_mut(&server) {
            cold.bucket.refill(cold.own_rate, CAPACITY, now);
            if cold.own_rate <= 0.0 {
                // Another gateway may have used the share meanwhile.
                cold.bucket.empty();
            }
            cold.rate = rate;
            cold.own_rate = own_rate;
        }
    }

    /// Forgets a server: those of its pool are never cold, or another incarnation replaced it.
    pub fn remove(&mut self, server: ShortId) {
        self.by_server.remove(&server);
    }

    /// Returns the rate of a cold server; none if it is not limited.
    pub fn rate(&self, server: ShortId, now: Mono) -> Option<f64> {
        let cold = self.by_server.get(&server)?;
        cold.is_limited(now).then_some(cold.rate)
    }

    /// Returns the part of a cold server's rate that this gateway may use; zero if it is not limited.
    pub fn own_rate(&self, server: ShortId, now: Mono) -> f64 {
        let cold = self.by_server.get(&server);
        let cold = cold.filter(|cold| cold.is_limited(now));
        cold.map_or(0.0, |cold| cold.own_rate)
    }

    /// Returns the weight that a server keeps after it became warm; one if it was never cold.
    pub fn ramp_weight(&self, server: ShortId, now: Mono) -> f64 {
        let Some(cold) = self.by_server.get(&server) else {
            return 1.0;
        };
        let steps = now.saturating_sub(cold.until).as_millis() / RAMP_STEP.as_millis();
        let weight = RAMP_WEIGHTS.get(usize::try_from(steps).unwrap_or(usize::MAX));
        weight.copied().unwrap_or(1.0)
    }

    /// Returns how long to wait until this gateway may send a request to a server: zero if it may
    /// now, none if only other gateways may while the server is cold.
    pub fn wait(&mut self, server: ShortId, now: Mono) -> Option<Duration> {
        match self.by_server.get_mut(&server) {
            Some(cold) if cold.is_limited(now) => {
                cold.bucket.refill(cold.own_rate, CAPACITY, now);
                (cold.own_rate > 0.0).then(|| cold.bucket.wait(cold.own_rate))?
            }
            _ => Some(Duration::ZERO),
        }
    }

    /// Records that a request is sent to a server.
    pub fn record_sent(&mut self, server: ShortId, now: Mono) {
        if let Some(cold) = self.by_server.get_mut(&server) {
            cold.bucket.refill(cold.own_rate, CAPACITY, now);
            cold.bucket.take();
        }
    }

    /// Whether no server is cold, or was until lately.
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// Forgets servers that have been warm for a while.
    pub fn expire(&mut self, now: Mono) {
        let ramp_time = RAMP_STEP * u32::try_from(RAMP_WEIGHTS.len()).unwrap_or(0);
        self.by_server
            .retain(|_, cold| now.saturating_sub(cold.until) < ramp_time);
        self.probed
            .retain(|_, at| now.saturating_sub(*at) < PROBE_INTERVAL);
    }

    /// Returns the servers that became cold since the last call.
    pub fn take_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.changes)
    }

    fn record_change(&mut self, server: ShortId, left: Duration, source: ColdSource) {
        if self.changes.len() < MAX_CHANGES {
            let change = ColdChange {
                server,
                left,
                source,
            };
            self.changes.push(change);
        }
    }

    fn has_room(&self, server: ShortId) -> bool {
        self.by_server.len() < MAX_SERVERS || self.by_server.contains_key(&server)
    }
}
