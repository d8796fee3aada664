//! HTTP client helpers for the tests.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use ureq::Agent;
use ureq::BodyReader;

/// Maximum wait for an expected event.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Creates a client that returns error statuses as responses.
pub(crate) fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .proxy(None);
    config.build().into()
}

/// Creates the body of a completion request.
pub(crate) fn chat(text: &str, tokens: u64, stream: bool) -> String {
    format!(
        r#"{{"model":"linen-7b","stream":{stream},"messages":[{{"role":"user","content":"{text}"}}],"metadata":{{"tokens":"{tokens}"}}}}"#
    )
}

/// Status and body of a response, or `None` if the connection broke.
pub(crate) type Reply = Option<(u16, String)>;

/// Posts a completion request and reads the complete response.
pub(crate) fn post_chat(addr: SocketAddr, attempt: &str, body: &str) -> Reply {
    let request = agent()
        .post(format!("http://{addr}/v1/chat/completions"))
        .header("x-attempt-id", attempt);
    let mut reply = request.send(body).ok()?;
    let status = reply.status().as_u16();
    let text = reply.body_mut().read_to_string().ok()?;
    Some((status, text))
}

/// Gets a path and reads the complete response.
pub(crate) fn get(addr: SocketAddr, path: &str) -> Reply {
    let mut reply = agent().get(format!("http://{addr}{path}")).call().ok()?;
    let status = reply.status().as_u16();
    Some((status, reply.body_mut().read_to_string().ok()?))
}

/// Opens a stream and returns a reader of its lines.
pub(crate) fn open_stream(addr: SocketAddr, attempt: &str, body: &str) -> Lines {
    let request = agent()
        .post(format!("http://{addr}/v1/chat/completions"))
        .header("x-attempt-id", attempt);
    let reply = request.send(body).expect("the engine answers");
    Lines(BufReader::new(reply.into_body().into_reader()))
}

/// Line reader of a stream.
pub(crate) struct Lines(BufReader<BodyReader<'static>>);

impl Lines {
    /// Returns the next event's data; `None` if the stream has ended or the connection broke.
    pub(crate) fn next_data(&mut self) -> Option<String> {
        loop {
            let mut line = String::new();
            let read = self.0.read_line(&mut line).ok()?;
            if read == 0 {
                return None;
            }
            if let Some(data) = line.strip_prefix("data: ") {
                return Some(data.trim_end().to_owned());
            }
        }
    }
}

/// Waits until the condition holds.
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(1));
    }
}
