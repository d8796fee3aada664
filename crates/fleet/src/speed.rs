//! Speeds of servers, learned over the whole fleet.
//!
//! A gateway sees too few first events of a server to learn its speed, so digests carry the sums of
//! predicted and measured times to first events. The speed is the ratio of the sums over the fleet.

use std::collections::HashMap;
use std::time::Duration;

use primrose_core::clock::Mono;

use crate::digest::ServerRow;
use crate::entry::ShortId;
use crate::window::Window;

/// Time over which first events are summed.
const WINDOW: Duration = Duration::from_secs(4);
/// Number of observations at the usual speed that are added to the sums.
const PRIOR_OBSERVATIONS: f64 = 3.0;
/// Bounds of a speed.
const SPEED_RANGE: (f64, f64) = (0.25, 4.0);
/// Bounds of a measured time, as factors of the predicted one: a stalled stream would outweigh all
/// others.
const MEASURED_RANGE: (f64, f64) = (0.125, 8.0);
/// Unit of the sums, in milliseconds; with it, most sums of a gateway fit into a byte of a digest.
pub const SUM_UNIT_MS: f64 = 8.0;
/// Upper bound of a sum from another gateway. It is over an hour, more than all gateways see of one
/// server in the window.
const MAX_SUM: u64 = 500_000;
/// Time in which old sums decay by the factor e. With the sums of a busy server, its speed is halfway
/// back to one some ten seconds after the last news.
const HOLD_TIME: Duration = Duration::from_secs(4);
/// Sum of predicted times below which old sums are dropped.
const MIN_HELD: f64 = 0.1;
/// Time over which the speed is averaged for the weight. The sums of four seconds of a server vary by
/// a third; weights that follow them move prefixes whose caches are lost by it.
const WEIGHT_TIME: Duration = Duration::from_secs(20);
/// Steps of the weight for each doubling of the speed: steps are powers of the square root of two.
const STEPS_PER_DOUBLING: f64 = 2.0;
/// Distance from the present step from which on another one is taken. It is more than a half, so
/// that a speed between two steps does not move prefixes back and forth.
const STEP_MARGIN: f64 = 0.65;

/// Times to first events of one server over the last seconds, in units of [`SUM_UNIT_MS`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpeedSums {
    /// Times that were predicted for the pool.
    pub predicted: u64,
    /// Times that were measured.
    pub measured: u64,
}

impl SpeedSums {
    /// Adds other sums.
    pub fn add(&mut self, other: Self) {
        self.predicted = self.predicted.saturating_add(other.predicted);
        self.measured = self.measured.saturating_add(other.measured);
    }

    /// Subtracts sums that were added before.
    pub fn remove(&mut self, other: Self) {
        self.predicted = self.predicted.saturating_sub(other.predicted);
        self.measured = self.measured.saturating_sub(other.measured);
    }

    /// Returns the sums within the bounds that other gateways may send.
    pub fn bounded(self) -> Self {
        Self {
            predicted: self.predicted.min(MAX_SUM),
            measured: self.measured.min(MAX_SUM),
        }
    }
}

/// Sums of other gateways, by server.
#[derive(Debug, Default)]
pub struct PeerSpeeds(HashMap<ShortId, SpeedSums>);

impl PeerSpeeds {
    /// Replaces the rows of a gateway's previous digest by those of its current one.
    pub fn replace(&mut self, previous: &[ServerRow], current: &[ServerRow]) {
        let empty = SpeedSums::default();
        for row in previous.iter().filter(|row| row.speed != empty) {
            if let Some(sums) = self.0.get_mut(&row.server) {
                sums.remove(row.speed);
                if *sums == empty {
                    self.0.remove(&row.server);
                }
            }
        }
        for row in current.iter().filter(|row| row.speed != empty) {
            self.0.entry(row.server).or_default().add(row.speed);
        }
    }

    /// Returns the sums for a server.
    pub fn get(&self, server: ShortId) -> SpeedSums {
        self.0.get(&server).copied().unwrap_or_default()
    }
}

/// Sums that are kept after they have left the window.
#[derive(Debug, Clone, Copy, Default)]
struct HeldSums {
    predicted: f64,
    measured: f64,
    at: Mono,
}

/// Speed of one server, relative to its pool.
#[derive(Debug)]
pub struct ServerSpeed {
    predicted: Window,
    measured: Window,
    held: HeldSums,
    speed: f64,
    /// Mean of the binary logarithm of the speed, and the time that it covers.
    mean_log: f64,
    covered: Duration,
    /// Exponent of the weight, and the weight, which each decision reads.
    step: f64,
    weight: f64,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        Self {
            predicted: Window::new(WINDOW),
            measured: Window::new(WINDOW),
            held: HeldSums::default(),
            speed: 1.0,
            mean_log: 0.0,
            covered: Duration::ZERO,
            step: 0.0,
            weight: 1.0,
        }
    }
}

impl ServerSpeed {
    /// Records the time to a first event at this gateway, and the time predicted for the pool.
    pub fn observe(&mut self, measured: Duration, predicted: Duration, now: Mono) {
        let predicted_ms = (predicted.as_secs_f64() * 1e3).max(1.0);
        let (least, most) = MEASURED_RANGE;
        let measured_ms = measured.as_secs_f64() * 1e3;
        let measured_ms = measured_ms.clamp(predicted_ms * least, predicted_ms * most);
        let units = |millis: f64| (millis / SUM_UNIT_MS).round() as u64;
        self.predicted.add(units(predicted_ms).max(1), now);
        self.measured.add(units(measured_ms), now);
    }

    /// Returns the sums of this gateway.
    pub fn sums(&mut self, now: Mono) -> SpeedSums {
        SpeedSums {
            predicted: self.predicted.sum(now),
            measured: self.measured.sum(now),
        }
    }

    /// Computes the speed anew from the sums of the other gateways and this one; `mean_ms` is the
    /// pool's mean time to a first event.
    pub fn update(&mut self, peers: SpeedSums, mean_ms: f64, now: Mono) {
        let mut sums = self.sums(now);
        sums.add(peers);
        let elapsed = now.saturating_sub(self.held.at);
        self.hold(sums, now);
        if self.held.predicted <= 0.0 {
            self.speed = 1.0;
            self.mean_log = 0.0;
            self.covered = Duration::ZERO;
            self.set_step(0.0);
            return;
        }
        let prior = PRIOR_OBSERVATIONS * mean_ms.max(1.0) / SUM_UNIT_MS;
        let speed = (self.held.predicted + prior) / (self.held.measured + prior);
        self.speed = speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        // Of a new server, the mean covers only the time since its first answers.
        self.covered = (self.covered + elapsed.min(WINDOW)).min(WEIGHT_TIME);
        let gain = elapsed.as_secs_f64() / self.covered.as_secs_f64().max(f64::EPSILON);
        self.mean_log += gain.min(1.0) * (self.speed.log2() - self.mean_log);
        let exact = self.mean_log * STEPS_PER_DOUBLING;
        if (exact - self.step).abs() > STEP_MARGIN {
            self.set_step(exact.round());
        }
    }

    /// Returns the speed; one is usual.
    pub fn factor(&self) -> f64 {
        self.speed
    }

    /// Returns the factor on the number of prefixes for which the server is preferred.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    fn set_step(&mut self, step: f64) {
        self.step = step;
        self.weight = (step / STEPS_PER_DOUBLING).exp2();
    }

    /// Replaces the held sums as far as there are new ones; the rest of them decays. Without that, a
    /// server that gets no requests for a moment would at once count as one of usual speed.
    fn hold(&mut self, sums: SpeedSums, now: Mono) {
        let held = &mut self.held;
        let age = now.saturating_sub(held.at);
        held.at = now;
        let (predicted, measured) = (sums.predicted as f64, sums.measured as f64);
        let decay = (-age.as_secs_f64() / HOLD_TIME.as_secs_f64()).exp();
        let old = held.predicted * decay;
        let kept = if old > predicted && old > MIN_HELD {
            1.0 - predicted / old
        } else {
            0.0
        };
        held.predicted = predicted + old * kept;
        held.measured = measured + held.measured * decay * kept;
    }
}
