//! Sheds load when the single thread of a gateway does not keep up with its work.
//!
//! The load balancer spreads callers by a hash, so one host may get many times the load of the
//! others, and hosts differ in size. How late a timer wakes is how long every other task of the
//! thread waits, too. While it wakes late all the time, [`LoadShedder`] refuses a growing fraction
//! of new requests before they cost anything; their callers return to other gateways at once. Work
//! that was accepted is not touched.
//!
//! If shedding goes on, the gateway also reports that it accepts no new connections, so that the
//! load balancer moves some callers to other hosts. It stays ready while many other gateways of its
//! availability zone are overloaded, too: their callers would only go round.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use primrose_core::clock::Mono;

use crate::event::Event;
use crate::shared::millis;
use crate::shared::Shared;

/// Interval of the timer whose lateness is measured.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time and number of samples over which the lowest lateness counts. A single late wake-up may be a
/// pause of the host, and a CPU quota stops the thread for the rest of a tenth of a second.
const WINDOW: (Duration, u32) = (Duration::from_millis(100), 3);
/// Lowest lateness in a window above which more is shed: a request waits for the thread several
/// times, and its objective is a few hundred milliseconds.
const HIGH_LATENESS: Duration = Duration::from_millis(25);
/// Lowest lateness in a window below which less is shed.
const LOW_LATENESS: Duration = Duration::from_millis(8);
/// Time since the timer was due from which on streams are refused until it wakes.
const MAX_OVERDUE: Duration = Duration::from_millis(150);
/// Lateness at which the fraction grows by [`MAX_STEP`] in a window, and proportionally below it.
const FULL_STEP_LATENESS: Duration = Duration::from_millis(250);
/// Bounds of the growth of the fraction in one window.
const MIN_STEP: f64 = 0.05;
/// See [`MIN_STEP`].
const MAX_STEP: f64 = 0.3;
/// Decrease of the fraction in one window: from its maximum to zero within a second.
const RELEASE_STEP: f64 = 0.1;
/// Largest fraction that is shed.
const MAX_FRACTION: f64 = 0.95;
/// Fraction from which calls are shed like streams; a call has one response and no further events.
const SHED_CALLS_FRACTION: f64 = 0.8;
/// Continuous shedding after which the gateway reports that it is not ready.
const TIME_UNTIL_NOT_READY: Duration = Duration::from_millis(1_000);
/// How long the gateway then is not ready. The load balancer checks once a second and reacts to the
/// second result.
const NOT_READY_TIME: Duration = Duration::from_millis(3_000);
/// Time for which it is ready afterwards, whatever the load.
const READY_TIME: Duration = Duration::from_millis(6_000);
/// Fraction of a zone's gateways of which at most so many are not ready at a time.
const MAX_ZONE_FRACTION: f64 = 0.25;

/// Beginning or end of shedding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SheddingChange {
    /// The gateway begins to shed.
    Began,
    /// It accepts everything again.
    Ended,
}

/// Cost of a request for the thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestCost {
    /// A single response.
    Call,
    /// A response of many events.
    Stream,
}

/// Decides which part of the new requests is shed, by how late the thread wakes.
#[derive(Debug, Default)]
pub struct LoadShedder {
    window: Cell<LatenessWindow>,
    /// When the timer was last due, or is due next; none before the first wake-up.
    due: Cell<Option<Mono>>,
    fraction: Cell<f64>,
    /// Sum of the fractions of the requests since the last one that was shed.
    pending: Cell<f64>,
    shedding_since: Cell<Option<Mono>>,
    not_ready_until: Cell<Option<Mono>>,
}

#[derive(Debug, Default, Clone, Copy)]
struct LatenessWindow {
    started: Mono,
    lowest: Option<Duration>,
    samples: u32,
}

impl LoadShedder {
    /// Records a wake-up that came `lateness` after its time.
    pub fn record_wakeup(&self, lateness: Duration, now: Mono) -> Option<SheddingChange> {
        self.due.set(Some(now + SAMPLE_INTERVAL));
        let mut window = self.window.get();
        if window.samples == 0 {
            window.started = now.saturating_sub(lateness + SAMPLE_INTERVAL);
        }
        window.samples += 1;
        let lowest = window
            .lowest
            .map_or(lateness, |lowest| lowest.min(lateness));
        window.lowest = Some(lowest);
        let (time, samples) = WINDOW;
        if window.samples < samples || now.saturating_sub(window.started) < time {
            self.window.set(window);
            return None;
        }
        self.window.set(LatenessWindow::default());
        self.adjust_fraction(lowest, now)
    }

    /// Whether a new request is to be refused.
    pub fn sheds(&self, cost: RequestCost, now: Mono) -> bool {
        let overdue = self.due.get().map(|due| now.saturating_sub(due));
        if cost == RequestCost::Stream && overdue.is_some_and(|time| time > MAX_OVERDUE) {
            // The work ahead of the timer is more than the next samples could make up for.
            return true;
        }
        let fraction = self.fraction.get();
        if fraction == 0.0 || cost == RequestCost::Call && fraction < SHED_CALLS_FRACTION {
            return false;
        }
        // Spreads the refusals evenly over the requests.
        let pending = self.pending.get() + fraction;
        let sheds = pending >= 1.0;
        self.pending
            .set(if sheds { pending - 1.0 } else { pending });
        sheds
    }

    /// Returns the fraction of new streams that is shed.
    pub fn fraction(&self) -> f64 {
        self.fraction.get()
    }

    /// Whether the load balancer should send new connections here. `zone` counts the gateways of the
    /// availability zone.
    pub fn is_ready(&self, zone: ZoneLoad, now: Mono) -> bool {
        if let Some(until) = self.not_ready_until.get() {
            if now < until {
                return false;
            }
            if now < until + READY_TIME {
                return true;
            }
        }
        let since = self.shedding_since.get();
        let is_long = since.is_some_and(|at| now.saturating_sub(at) >= TIME_UNTIL_NOT_READY);
        let others = zone.overloaded as f64;
        if !is_long || others + 1.0 > zone.gateways as f64 * MAX_ZONE_FRACTION {
            return true;
        }
        self.not_ready_until.set(Some(now + NOT_READY_TIME));
        false
    }

    fn adjust_fraction(&self, lowest: Duration, now: Mono) -> Option<SheddingChange> {
        let before = self.fraction.get();
        let after = if lowest > HIGH_LATENESS {
            let excess = lowest.as_secs_f64() / FULL_STEP_LATENESS.as_secs_f64();
            before + (excess * MAX_STEP).clamp(MIN_STEP, MAX_STEP)
        } else if lowest < LOW_LATENESS {
            before - RELEASE_STEP
        } else {
            before
        };
        let after = after.clamp(0.0, MAX_FRACTION);
        self.fraction.set(after);
        match (before > 0.0, after > 0.0) {
            (false, true) => {
                self.shedding_since.set(Some(now));
                Some(SheddingChange::Began)
            }
            (true, false) => {
                self.shedding_since.set(None);
                self.pending.set(0.0);
                Some(SheddingChange::Ended)
            }
            _ => None,
        }
    }
}

/// Gateways of one availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneLoad {
    /// Number of gateways, this one included.
    pub gateways: usize,
    /// Number of other gateways that shed load.
    pub overloaded: usize,
}

/// Measures how late the thread wakes, until the process ends.
pub(crate) async fn measure_lateness(shared: Rc<Shared>) {
    loop {
        let due = shared.now() + SAMPLE_INTERVAL;
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let now = shared.now();
        let lateness = now.saturating_sub(due);
        metrics::histogram!("thread_late_seconds").record(lateness.as_secs_f64());
        let Some(change) = shared.shedder.record_wakeup(lateness, now) else {
            continue;
        };
        let (zone_gateways, zone_overloaded) = shared.fleet.borrow().zone_load();
        shared.log.event(&Event::Shedding {
            change: match change {
                SheddingChange::Began => "began",
                SheddingChange::Ended => "ended",
            },
            late_ms: millis(lateness),
            running: shared.running.get(),
            callers: shared.caller_connections.get(),
            zone_gateways,
            zone_overloaded,
        });
    }
}
