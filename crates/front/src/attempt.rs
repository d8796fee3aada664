//! One connection of an attempt at a backend server.
//!
//! `run` is the body of a task. It connects, waits for the word to send, and reports `Note`s
//! in the order in which things happened. It decides nothing; whether to resume, retry or give up
//! is the work of [`primrose_request`]. Dropping the task closes the connection, which engines
//! take as a cancel.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::header::CONTENT_TYPE;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use primrose_core::cost::Tokens;
use primrose_request::ConnEvent;
use primrose_request::ConnId;
use primrose_request::FailureStage;
use primrose_request::Seq;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use primrose_conn::Connections;
use primrose_conn::SendError;

/// Header that names the attempt towards a backend server.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Header with which a backend server says that it refused a request before running it.
pub const NOT_RUN: &str = "x-not-run";
/// Media type of a token stream.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";
/// Bytes of a whole answer within which the server's count of tokens is looked for.
const USAGE_SCAN_BYTES: usize = 256 << 10;
/// Data of the event that ends a token stream.
pub(crate) const STREAM_END: &str = "[DONE]";

/// What to send to which server.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) conn: ConnId,
    pub(crate) addr: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether this asks for the rest of a stream that the server began before.
    pub(crate) resume: bool,
    /// Whether a connection must be opened for this request alone.
    pub(crate) new_connection: bool,
    pub(crate) idle_timeout: Duration,
}

/// What came with an event.
#[derive(Debug, Default)]
pub(crate) enum Payload {
    #[default]
    None,
    /// Media type of an answer; empty if the server named none.
    MediaType(String),
    /// Data of one event of a stream.
    Event(String),
    /// One block of a whole answer.
    Block(Bytes),
}

/// A report of a connection; names it, so that a late one can be told apart.
#[derive(Debug)]
pub(crate) struct ConnUpdate {
    pub(crate) conn: ConnId,
    pub(crate) event: ConnEvent,
    pub(crate) payload: Payload,
    /// Tokens used so far, as far as known.
    pub(crate) tokens: Tokens,
}

/// Why a connection brought no whole answer.
#[derive(Debug)]
struct ExchangeError {
    stage: FailureStage,
    reason: String,
}

impl ExchangeError {
    fn after_send(reason: impl Into<String>) -> Self {
        Self {
            stage: FailureStage::AfterSend,
            reason: reason.into(),
        }
    }
}

impl From<SendError> for ExchangeError {
    fn from(error: SendError) -> Self {
        let stage = match error {
            SendError::BeforeSend { .. } => FailureStage::BeforeSend,
            SendError::AfterSend { .. } => FailureStage::AfterSend,
        };
        Self {
            stage,
            reason: error.to_string(),
        }
    }
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
}

/// The reporting end of a connection.
struct Reporter {
    conn: ConnId,
    updates: mpsc::Sender<ConnUpdate>,
    tokens: Tokens,
}

impl Reporter {
    async fn send(&self, event: ConnEvent) {
        self.send_with(event, Payload::None).await;
    }

    async fn send_with(&self, event: ConnEvent, payload: Payload) {
        let update = ConnUpdate {
            conn: self.conn,
            event,
            payload,
            tokens: self.tokens,
        };
        // A closed channel means that the request is over; the task is dropped next.
        let _ = self.updates.send(update).await;
    }

    /// Counts one token for each event, until the server states its own count.
    fn count_tokens(&mut self, data: &[u8]) {
        match usage_of(data) {
            Some(stated) => self.tokens = stated,
            None => self.tokens.output += 1,
        }
    }
}

/// Runs the connection to its end; sends the request when `go` says so.
pub(crate) async fn run(
    call: Call,
    connections: Arc<Connections>,
    updates: mpsc::Sender<ConnUpdate>,
    start_signal: oneshot::Receiver<()>,
) {
    let mut reporter = Reporter {
        conn: call.conn,
        updates,
        tokens: Tokens::default(),
    };
    if let Err(error) = exchange(&call, &connections, &mut reporter, start_signal).await {
        log::debug!("connection {} failed: {}", call.conn, error.reason);
        reporter.send(ConnEvent::Failed(error.stage)).await;
    }
}

async fn exchange(
    call: &Call,
    connections: &Connections,
    reporter: &mut Reporter,
    start_signal: oneshot::Receiver<()>,
) -> Result<(), ExchangeError> {
    let request = build_request(call).map_err(|error| ExchangeError {
        stage: FailureStage::BeforeSend,
        reason: error.to_string(),
    })?;
    let sender = connections.open(call.addr, call.new_connection).await?;
    reporter.send(ConnEvent::Connected).await;
    if !call.resume && start_signal.await.is_err() {
        // The request was given up; nothing has been sent.
        return Ok(());
    }
    let answer = connections.send(call.addr, sender, request).await?;
    read_response(call, answer.response, reporter).await?;
    connections.keep(call.addr, answer.sender, None);
    Ok(())
}

fn build_request(call: &Call) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.path.as_str())
        .header(http::header::HOST, call.addr.to_string())
        .header(ATTEMPT_ID, call.conn.attempt.to_string())
        .body(Full::new(call.body.clone()))?;
    for (name, value) in &call.headers {
        request.headers_mut().insert(name, value.clone());
    }
    Ok(request)
}

async fn read_response(
    call: &Call,
    response: Response<Incoming>,
    reporter: &mut Reporter,
) -> Result<(), ExchangeError> {
    if response.headers().contains_key(NOT_RUN) {
        return Err(ExchangeError {
            stage: FailureStage::RefusedNotRun,
            reason: "the server refused the request".to_owned(),
        });
    }
    let status = response.status();
    let media = media_type(&response);
    let streams = media.starts_with(EVENT_STREAM);
    if call.resume {
        let resumed = status.is_success() && streams;
        let event = if resumed {
            ConnEvent::Resumed
        } else {
            ConnEvent::ResumeRefused
        };
        reporter.send(event).await;
        if !resumed {
            return Ok(());
        }
    } else {
        let status = status.as_u16();
        reporter
            .send_with(ConnEvent::Head { status }, Payload::MediaType(media))
            .await;
    }
    if streams {
        read_events(call, response.into_body(), reporter).await?;
    } else {
        read_body(call, response.into_body(), reporter).await?;
    }
    reporter.send(ConnEvent::BodyEnd).await;
    Ok(())
}

fn media_type(response: &Response<Incoming>) -> String {
    let value = response.headers().get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Passes events on as they come; the stream is whole only if its end event came.
async fn read_events(
    call: &Call,
    body: Incoming,
    reporter: &mut Reporter,
) -> Result<(), ExchangeError> {
    let mut events = body.into_data_stream().eventsource();
    let mut last: Seq = 0;
    loop {
        let event = match tokio::time::timeout(call.idle_timeout, events.next()).await {
            Err(_) => return Err(ExchangeError::after_send("the token stream stalled")),
            Ok(None) => return Err(ExchangeError::after_send("the token stream ended early")),
            Ok(Some(Err(error))) => return Err(ExchangeError::after_send(error.to_string())),
            Ok(Some(Ok(event))) => event,
        };
        if event.data == STREAM_END {
            // The rest of the chunked body is only its end mark.
            let _ = tokio::time::timeout(call.idle_timeout, events.next()).await;
            return Ok(());
        }
        let seq = event.id.parse().unwrap_or(last + 1);
        last = seq;
        reporter.count_tokens(event.data.as_bytes());
        reporter
            .send_with(ConnEvent::Item { seq }, Payload::Event(event.data))
            .await;
    }
}

async fn read_body(
    call: &Call,
    body: Incoming,
    reporter: &mut Reporter,
) -> Result<(), ExchangeError> {
    let mut body = body;
    let mut seq: Seq = 0;
    let mut scanned = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(call.idle_timeout, body.frame()).await {
            Err(_) => return Err(ExchangeError::after_send("the answer stalled")),
            Ok(None) => {
                reporter.tokens = usage_of(&scanned).unwrap_or_default();
                return Ok(());
            }
            Ok(Some(Err(error))) => return Err(ExchangeError::after_send(error.to_string())),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        seq += 1;
        if scanned.len() + data.len() <= USAGE_SCAN_BYTES {
            scanned.extend_from_slice(&data);
        }
        reporter
            .send_with(ConnEvent::Item { seq }, Payload::Block(data))
            .await;
    }
}

fn usage_of(json: &[u8]) -> Option<Tokens> {
    let chunk: Chunk = serde_json::from_slice(json).ok()?;
    let usage = chunk.usage?;
    Some(Tokens {
        input: usage.prompt_tokens,
        output: usage.completion_tokens,
    })
}
