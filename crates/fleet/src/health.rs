//! Whether a server can be reached, and how many of its answers fail.
//!
//! What counts is what requests experienced, here and at the other gateways. A server's own health
//! answer may be wrong in either direction and is not asked for.

use std::time::Duration;

use primrose_core::clock::Mono;

use crate::window::Window;

/// Span over which answers count: long enough for a few requests, short enough to forgive.
const SPAN: Duration = Duration::from_secs(4);
/// Answers assumed good before any was seen, so that one failure condemns nobody.
const ASSUMED_GOOD: u64 = 3;
/// First pause after a server could not be reached; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause; below the time after which a returned server has to carry load again.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// What requests to one server experienced.
#[derive(Debug, Clone)]
pub struct Health {
    good: Window,
    failed: Window,
    /// Consecutive failures to reach it.
    misses: u32,
    paused_until: Option<Mono>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            good: Window::new(SPAN),
            failed: Window::new(SPAN),
            misses: 0,
            paused_until: None,
        }
    }
}

/// Answers over the last seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answers that served the caller.
    pub good: u64,
    /// Answers that did not, and broken connections.
    pub failed: u64,
}

impl Counts {
    /// Part of the answers that failed, with a few assumed good.
    pub fn failure_share(self) -> f64 {
        self.failed as f64 / (self.good + self.failed + ASSUMED_GOOD) as f64
    }
}

impl Health {
    /// Records an answer that served the caller.
    pub fn succeeded(&mut self, now: Mono) {
        self.good.add(1, now);
        self.reached();
    }

    /// Records that the server answered at all.
    pub fn reached(&mut self) {
        self.misses = 0;
        self.paused_until = None;
    }

    /// Records an answer that failed.
    pub fn failed(&mut self, now: Mono) {
        self.failed.add(1, now);
    }

    /// Records that no connection could be made, and pauses its use.
    pub fn unreachable(&mut self, now: Mono) {
        self.failed.add(1, now);
        let pause = FIRST_PAUSE * (1 << self.misses.min(4));
        self.misses += 1;
        self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
    }

    /// Whether the server is left alone for now.
    pub fn is_paused(&self, now: Mono) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Lets one request try a server whose pause has ended, and keeps others away meanwhile.
    pub fn claim_probe(&mut self, now: Mono) {
        if self.misses > 0 && !self.is_paused(now) {
            self.paused_until = Some(now + FIRST_PAUSE);
        }
    }

    /// Answers over the last seconds.
    pub fn counts(&mut self, now: Mono) -> Counts {
        Counts {
            good: self.good.sum(now),
            failed: self.failed.sum(now),
        }
    }
}
