//! Trace context of a request: the W3C `traceparent` header, and spans as log records.
//!
//! Every stage of a request (claim, queue, connect, first token, request) writes one log
//! record of target `span` with the trace, the parent spans, the start and the duration. The trace
//! id is forwarded to the backend server. Log records need no collector on hosts without persistent
//! storage, and a log pipeline can convert them to any trace format.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::RequestId;
use rand::Rng;

/// Header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Length of a version 00 header, in bytes.
const HEADER_BYTES: usize = 55;

/// Trace and span of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trace {
    /// Id of the trace.
    pub trace: u128,
    /// Id of the router's span.
    pub span: u64,
    /// Id of the caller's span; 0 if the caller sent none.
    pub parent: u64,
}

impl Trace {
    /// Continues the trace of the caller's header, or starts a new one.
    pub fn begin(header: Option<&str>, rng: &mut impl Rng) -> Self {
        let span = rng.random_range(1..=u64::MAX);
        match header.and_then(parse) {
            Some((trace, parent)) => Self {
                trace,
                span,
                parent,
            },
            None => Self {
                trace: rng.random_range(1..=u128::MAX),
                span,
                parent: 0,
            },
        }
    }

    /// Renders the header to send to the backend server.
    pub fn header(&self) -> String {
        format!("00-{:032x}-{:016x}-01", self.trace, self.span)
    }

    /// Writes a log record for one stage of the request.
    pub fn record_span(&self, request: RequestId, name: &str, start: Mono, took: Duration) {
        log::info!(
            target: "span",
            trace = format!("{:032x}", self.trace).as_str(),
            parent = format!("{:016x}", self.span).as_str(),
            caller = format!("{:016x}", self.parent).as_str(),
            request = format!("{request:016x}").as_str(),
            start_us = start.as_micros(),
            took_us = took.as_micros();
            "{name}"
        );
    }
}

/// Parses the trace id and parent span of a `traceparent` header; `None` if it is malformed.
fn parse(header: &str) -> Option<(u128, u64)> {
    if header.len() < HEADER_BYTES || !header.is_ascii() {
        return None;
    }
    let mut fields = header.split('-');
    let version = fields.next()?;
    let trace = fields.next()?;
    let parent = fields.next()?;
    if version == "ff" || trace.len() != 32 || parent.len() != 16 {
        return None;
    }
    let trace = u128::from_str_radix(trace, 16).ok()?;
    let parent = u64::from_str_radix(parent, 16).ok()?;
    // The standard defines all zeros as invalid.
    (trace != 0 && parent != 0).then_some((trace, parent))
}
