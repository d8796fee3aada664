//! Whether a server is reachable, and how many of its answers fail.
//!
//! Health is derived from the outcomes of requests, at this gateway and at the others. Servers'
//! own health endpoints are not queried, since they may be wrong in either direction.

use std::time::Duration;

use primrose_core::clock::Mono;

use crate::window::Window;

/// Time over which answers count: long enough for a few requests, short enough that a recovered
/// server is used again soon.
const WINDOW: Duration = Duration::from_secs(4);
/// Good answers added to the count, so that a single failure does not give a high failure rate.
const PRIOR_GOOD: u64 = 3;
/// First pause of an unreachable server; doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause; shorter than the time within which a returned server has to carry load again.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Outcomes of the requests that this gateway sent to one server.
#[derive(Debug, Clone)]
pub struct Health {
    good: Window,
    failed: Window,
    /// Consecutive attempts that found the server unreachable.
    connect_failures: u32,
    paused_until: Option<Mono>,
    /// Until when the server wants no requests. Answers to earlier requests do not end this.
    declined_until: Option<Mono>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            good: Window::new(WINDOW),
            failed: Window::new(WINDOW),
            connect_failures: 0,
            paused_until: None,
            declined_until: None,
        }
    }
}

/// Answers of one server over the last seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answers that served the caller.
    pub good: u64,
    /// Answers that did not, and broken or failed connections.
    pub failed: u64,
}

impl AnswerCounts {
    /// Returns the fraction of failed answers, biased towards zero while there are few answers.
    pub fn failure_rate(self) -> f64 {
        self.failed as f64 / (self.good + self.failed + PRIOR_GOOD) as f64
    }
}

impl Health {
    /// Records an answer that served the caller.
    pub fn record_success(&mut self, now: Mono) {
        self.good.add(1, now);
        self.record_reachable();
    }

    /// Records that the server is reachable, and ends its pause.
    pub fn record_reachable(&mut self) {
        self.connect_failures = 0;
        self.paused_until = None;
    }

    /// Records an answer that failed.
    pub fn record_failure(&mut self, now: Mono) {
        self.failed.add(1, now);
    }

    /// Records that the server was unreachable, and pauses it; see
    /// [`AttemptOutcome::Unreachable`](crate::AttemptOutcome::Unreachable).
    pub fn record_unreachable(&mut self, now: Mono) {
        self.failed.add(1, now);
        let pause = MIN_PAUSE * (1 << self.connect_failures.min(4));
        self.connect_failures += 1;
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    /// Records that the server wants no requests for some time.
    pub fn record_declined(&mut self, time: Duration, now: Mono) {
        self.declined_until = self.declined_until.max(Some(now + time));
    }

    /// Returns for how long the server wants no requests; zero if it takes them.
    pub fn declined_time(&self, now: Mono) -> Duration {
        let until = self.declined_until;
        until.map_or(Duration::ZERO, |until| until.saturating_sub(now))
    }

    /// Whether the server gets no requests for now.
    pub fn is_paused(&self, now: Mono) -> bool {
        let is_unreachable = self.paused_until.is_some_and(|until| now < until);
        is_unreachable || !self.declined_time(now).is_zero()
    }

    /// Makes the current request the probe of a server whose pause has ended: no other request is
    /// sent there for `MIN_PAUSE`, unless the server is recorded as reachable sooner.
    pub fn claim_probe(&mut self, now: Mono) {
        let is_unreachable = self.paused_until.is_some_and(|until| now < until);
        if self.connect_failures > 0 && !is_unreachable {
            self.paused_until = Some(now + MIN_PAUSE);
        }
    }

    /// Returns the numbers of good and failed answers over the last seconds.
    pub fn counts(&mut self, now: Mono) -> AnswerCounts {
        AnswerCounts {
            good: self.good.sum(now),
            failed: self.failed.sum(now),
        }
    }
}
