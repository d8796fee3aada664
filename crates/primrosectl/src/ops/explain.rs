//! Traces one request through the log lines of all gateways.
//!
//! A request reaches one gateway, but that gateway decides by state that it received from others.
//! The lines that name the request are sorted by time, each with the state that the gateway knew
//! then. Text before the JSON object of a line, such as the time stamp of a log collector, is
//! skipped, and so are lines without one; lines whose JSON cannot be parsed are counted.

use std::io::BufRead;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Members of a line that are not part of [`Step::details`].
const COMMON_MEMBERS: [&str; 4] = ["unix_ms", "host", "event", "request"];

/// One log line about the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Wall clock time, milliseconds since 1970.
    pub unix_ms: u64,
    /// Host of the gateway.
    pub host: String,
    /// Name of the event.
    pub event: String,
    /// Inputs and result of the event.
    pub details: Map<String, Value>,
}

/// Everything that the logs say about a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RequestTrace {
    /// Lines about the request, oldest first.
    pub steps: Vec<Step>,
    /// Lines that could not be parsed.
    pub unreadable: u64,
    /// Log lines that the gateways dropped; steps may be missing.
    pub dropped: u64,
}

impl RequestTrace {
    /// Adds the lines of one log that name the request.
    pub fn read(&mut self, log: impl BufRead, request: &str) -> std::io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            let Some(start) = text.find('{') else {
                continue;
            };
            match serde_json::from_str(&text[start..]) {
                Ok(Value::Object(members)) => self.add_line(members, request),
                _ => self.unreadable += 1,
            }
        }
        self.steps.sort_by_key(|step| step.unix_ms);
        Ok(())
    }

    /// Returns how the request ended and why, according to the last line that decided it.
    pub fn reason(&self) -> Option<String> {
        let text = |step: &Step, name: &str| match step.details.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "unknown".to_owned(),
        };
        let mut last_failure: Option<String> = None;
        let mut reason = None;
        for step in &self.steps {
            match step.event.as_str() {
                "refused" => {
                    reason = Some(format!(
                        "refused with {}, not run: {} (expected wait {} ms, {} ms allowed)",
                        text(step, "status"),
                        text(step, "reason"),
                        text(step, "predicted_ms"),
                        text(step, "allowed_ms")
                    ));
                }
                "attempt_failed" => last_failure = Some(text(step, "reason")),
                "answered" => {
                    let cause = last_failure
                        .as_ref()
                        .map(|failure| format!("; before: {failure}"));
                    reason = Some(format!(
                        "answered {} after {} ms, {}{}",
                        text(step, "status"),
                        text(step, "whole_ms"),
                        text(step, "outcome"),
                        cause.unwrap_or_default()
                    ));
                }
                _ => {}
            }
        }
        reason
    }

    fn add_line(&mut self, mut members: Map<String, Value>, request: &str) {
        let event = members.get("event").and_then(Value::as_str);
        let event = event.unwrap_or_default().to_owned();
        if event == "lines_dropped" {
            let count = members.get("count").and_then(Value::as_u64);
            self.dropped += count.unwrap_or(0);
            return;
        }
        if members.get("request").and_then(Value::as_str) != Some(request) {
            return;
        }
        let host = members.get("host").and_then(Value::as_str);
        let host = host.unwrap_or("unknown").to_owned();
        let unix_ms = members.get("unix_ms").and_then(Value::as_u64);
        members.retain(|name, value| !COMMON_MEMBERS.contains(&name.as_str()) && !value.is_null());
        self.steps.push(Step {
            unix_ms: unix_ms.unwrap_or(0),
            host,
            event,
            details: members,
        });
    }
}
