//! A caller of a local deployment.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::clock::Mono;

use crate::shape::MODEL;
use crate::shape::ORDER_PATH;

/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(60);
/// Longest wait for an operator listener.
const STATUS_TIME: Duration = Duration::from_secs(2);

/// A caller with the bearer key of one account.
#[derive(Debug, Clone)]
pub struct Client {
    agent: ureq::Agent,
    bearer: String,
}

/// What came of a streamed request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Streamed {
    /// HTTP status.
    pub status: u16,
    /// Header that names the outcome; empty for a stream.
    pub outcome: String,
    /// Header that names the error; empty for none.
    pub code: String,
    /// Monotonic time of each event.
    pub times: Vec<Mono>,
    /// Data of each event; the whole body of an answer that does not stream.
    pub events: Vec<String>,
    /// Whether the end mark came.
    pub whole: bool,
}

/// Makes the body of a completion request.
///
/// `tokens` is the true length of the answer; `bound` is what the caller allows.
pub fn chat_body(text: &str, tokens: u64, bound: Option<u64>, stream: bool) -> String {
    model_body(MODEL, text, tokens, bound, stream)
}

/// Makes the body of a completion request to a model.
pub(crate) fn model_body(
    model: &str,
    text: &str,
    tokens: u64,
    bound: Option<u64>,
    stream: bool,
) -> String {
    let mut body = serde_json::json!({
        "model": model,
        "stream": stream,
        "messages": [{"role": "user", "content": text}],
        "metadata": {"tokens": tokens.to_string()},
    });
    if let Some(bound) = bound {
        body["max_tokens"] = bound.into();
    }
    body.to_string()
}

impl Client {
    /// Makes a caller.
    pub fn new(bearer: &str) -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(ANSWER_TIME))
            .http_status_as_error(false)
            .build();
        Self {
            agent: agent.into(),
            bearer: format!("Bearer {bearer}"),
        }
    }

    /// Requests a completion and reads it event by event; `seen` is told each event's data.
    ///
    /// The key goes along as `Idempotency-Key`, by which a stand-in's record names the request.
    pub fn stream(
        &self,
        router: SocketAddr,
        body: &str,
        key: &str,
        clock: &dyn Clock,
        mut seen: impl FnMut(&str),
    ) -> io::Result<Streamed> {
        let url = format!("http://{router}/v1/chat/completions");
        let request = self.agent.post(url).header("authorization", &self.bearer);
        let request = request.header("content-type", "application/json");
        let request = request.header("idempotency-key", key);
        let response = request.send(body).map_err(io::Error::other)?;
        let mut streamed = Streamed {
            status: response.status().as_u16(),
            outcome: header(&response, "x-outcome"),
            code: header(&response, "x-error-code"),
            ..Streamed::default()
        };
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            let line = line?;
            let data = line.strip_prefix("data: ").unwrap_or(&line);
            if line.is_empty() || line.starts_with("id:") || line.starts_with("event:") {
                continue;
            }
            if data == "[DONE]" {
                streamed.whole = true;
                continue;
            }
            seen(data);
            streamed.times.push(clock.now());
            streamed.events.push(data.to_owned());
        }
        Ok(streamed)
    }

    /// Sends an order; `key` is its idempotency key.
    pub fn order(&self, router: SocketAddr, key: &str, body: &str) -> io::Result<Streamed> {
        let url = format!("http://{router}{ORDER_PATH}");
        let request = self.agent.post(url).header("authorization", &self.bearer);
        let request = request.header("idempotency-key", key);
        let mut response = request.send(body).map_err(io::Error::other)?;
        let text = response.body_mut().read_to_string();
        Ok(Streamed {
            status: response.status().as_u16(),
            outcome: header(&response, "x-outcome"),
            code: header(&response, "x-error-code"),
            events: vec![text.map_err(io::Error::other)?],
            whole: true,
            times: Vec::new(),
        })
    }
}

fn header(response: &ureq::http::Response<ureq::Body>, name: &str) -> String {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Reads the status of a router.
pub(crate) fn status(operators: SocketAddr) -> Option<serde_json::Value> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(STATUS_TIME))
        .build()
        .into();
    let mut response = agent
        .get(format!("http://{operators}/status"))
        .call()
        .ok()?;
    response.body_mut().read_json().ok()
}
