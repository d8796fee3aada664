//! Times and token counts of one request, for trace spans, metrics and reports to the dispatcher.

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::cost::Tokens;
use primrose_core::id::RequestId;
use primrose_request::ConnEvent;
use primrose_request::Event;

use crate::broker::TokenGap;
use crate::trace::Trace;

/// Minimum time between two progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Bucket width of the histogram of times between tokens, in microseconds.
const GAP_STEP_MICROS: u64 = 100;

/// Measures one request.
#[derive(Debug)]
pub(crate) struct Meter {
    trace: Trace,
    request: RequestId,
    arrived: Mono,
    queued: Option<Mono>,
    granted: Option<Mono>,
    sent: Option<Mono>,
    first: Option<Mono>,
    last: Option<Mono>,
    items: u32,
    /// Histogram of times between items: number of gaps by time in steps.
    gaps: BTreeMap<u64, u64>,
    reported: Mono,
    tokens: Tokens,
    /// Time from arrival to the first item of any attempt.
    first_part: Option<Duration>,
}

impl Meter {
    pub(crate) fn new(trace: Trace, request: RequestId, arrived: Mono) -> Self {
        Self {
            trace,
            request,
            arrived,
            queued: None,
            granted: None,
            sent: None,
            first: None,
            last: None,
            items: 0,
            gaps: BTreeMap::new(),
            reported: arrived,
            tokens: Tokens::default(),
            first_part: None,
        }
    }

    /// Starts measuring a newly queued attempt; discards the measurements of an earlier one.
    pub(crate) fn queued(&mut self, now: Mono) {
        self.queued = Some(now);
        self.sent = None;
        self.first = None;
        self.last = None;
        self.items = 0;
        self.gaps.clear();
        self.tokens = Tokens::default();
    }

    /// Records the spans that a lifecycle event ends.
    pub(crate) fn observe_event(&mut self, event: &Event, now: Mono) {
        match event {
            Event::Granted(_) => {
                if let Some(start) = self.queued.take() {
                    self.record_span("queue", start, now);
                    metrics::histogram!("primrose_queue_seconds")
                        .record(now.saturating_sub(start).as_secs_f64());
                    self.granted = Some(now);
                }
            }
            Event::Claim(_) => self.record_span("claim", self.arrived, now),
            _ => {}
        }
    }

    /// Records that the request is being sent on an open connection.
    pub(crate) fn sent(&mut self, now: Mono) {
        if let Some(start) = self.granted.take() {
            self.record_span("connect", start, now);
        }
        self.sent = Some(now);
    }

    /// Records an event of a connection.
    pub(crate) fn observe_conn(&mut self, event: ConnEvent, tokens: Tokens, now: Mono) {
        self.tokens = tokens;
        if !matches!(event, ConnEvent::Item { .. }) {
            return;
        }
        self.items += 1;
        if let Some(last) = self.last.replace(now) {
            *self
                .gaps
                .entry(gap_steps(now.saturating_sub(last)))
                .or_default() += 1;
        }
        if self.first.is_some() {
            return;
        }
        self.first = Some(now);
        if let Some(start) = self.sent {
            self.record_span("first-token", start, now);
        }
        let part = now.saturating_sub(self.arrived);
        if self.first_part.is_none() {
            metrics::histogram!("primrose_first_token_seconds").record(part.as_secs_f64());
        }
        self.first_part.get_or_insert(part);
    }

    /// Records the span of the whole request and returns its duration.
    pub(crate) fn ended(&self, now: Mono) -> Duration {
        self.record_span("request", self.arrived, now);
        now.saturating_sub(self.arrived)
    }

    /// Returns the tokens used so far if a progress report is due.
    pub(crate) fn progress(&mut self, now: Mono) -> Option<Tokens> {
        let due = self.items > 0 && now.saturating_sub(self.reported) >= PROGRESS_INTERVAL;
        due.then(|| {
            self.reported = now;
            self.tokens
        })
    }

    pub(crate) fn tokens(&self) -> Tokens {
        self.tokens
    }

    /// Returns the time from sending to the first token.
    pub(crate) fn first_token(&self) -> Option<Duration> {
        Some(self.first?.saturating_sub(self.sent?))
    }

    /// Returns the mean time between tokens.
    pub(crate) fn inter_token(&self) -> Option<Duration> {
        let gaps = self.items.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some(self.last?.saturating_sub(self.first?) / gaps)
    }

    /// Returns the histogram of times between tokens.
    pub(crate) fn token_gaps(&self) -> Vec<TokenGap> {
        let gaps = self.gaps.iter().map(|(steps, count)| TokenGap {
            time: Duration::from_micros(steps.saturating_mul(GAP_STEP_MICROS)),
            count: *count,
        });
        gaps.collect()
    }

    pub(crate) fn first_part(&self) -> Option<Duration> {
        self.first_part
    }

    fn record_span(&self, name: &str, start: Mono, now: Mono) {
        let took = now.saturating_sub(start);
        self.trace.record_span(self.request, name, start, took);
    }
}

fn gap_steps(time: Duration) -> u64 {
    u64::try_from(time.as_micros() / u128::from(GAP_STEP_MICROS)).unwrap_or(u64::MAX)
}
