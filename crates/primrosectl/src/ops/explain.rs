//! The life of one request, from the log lines of all gateways.
//!
//! A request reaches one gateway, but what that gateway believed came from others: the lines that
//! name the request are put in time order, each with what was believed then. Whatever stands before
//! a line's JSON, such as a collector's time stamp, is passed over; lines that are no JSON are counted.

use std::io::BufRead;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Members that every line has, or that are shown elsewhere.
const COMMON: [&str; 4] = ["unix_ms", "host", "event", "request"];

/// One line about the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Wall clock time, milliseconds since 1970.
    pub unix_ms: u64,
    /// The gateway.
    pub host: String,
    /// What happened.
    pub event: String,
    /// With what inputs, and what came of it.
    pub details: Map<String, Value>,
}

/// The life of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Life {
    /// Its lines, oldest first.
    pub steps: Vec<Step>,
    /// Lines that could not be read.
    pub unreadable: u64,
    /// Lines that gateways dropped, so that steps may be missing.
    pub dropped: u64,
}

impl Life {
    /// Adds the lines of one log that are about a request.
    pub fn read(&mut self, log: impl BufRead, request: &str) -> std::io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            let Some(begin) = text.find('{') else {
                continue;
            };
            match serde_json::from_str(&text[begin..]) {
                Ok(Value::Object(members)) => self.take(members, request),
                _ => self.unreadable += 1,
            }
        }
        self.steps.sort_by_key(|step| step.unix_ms);
        Ok(())
    }

    /// Why the request ended as it did, by its last deciding line.
    pub fn reason(&self) -> Option<String> {
        let text = |step: &Step, name: &str| match step.details.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "unknown".to_owned(),
        };
        let mut failed: Option<String> = None;
        let mut ended = None;
        for step in &self.steps {
            match step.event.as_str() {
                "refused" => {
                    ended = Some(format!(
                        "refused with {}, not run: {} (expected wait {} ms, {} ms allowed)",
                        text(step, "status"),
                        text(step, "reason"),
                        text(step, "predicted_ms"),
                        text(step, "allowed_ms")
                    ));
                }
                "attempt_failed" => failed = Some(text(step, "reason")),
                "answered" => {
                    let cause = failed.as_ref().map(|reason| format!("; before: {reason}"));
                    ended = Some(format!(
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
        ended
    }

    fn take(&mut self, mut members: Map<String, Value>, request: &str) {
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
        members.retain(|name, value| !COMMON.contains(&name.as_str()) && !value.is_null());
        self.steps.push(Step {
            unix_ms: unix_ms.unwrap_or(0),
            host,
            event,
            details: members,
        });
    }
}
