//! One connection of an attempt to a backend server.
//!
//! `run` is the body of a task. It connects, waits for the signal to send the request, and reports
//! events in order as `ConnUpdate`s. It takes no decisions: [`primrose_request`] decides whether to
//! resume, retry or give up. Aborting the task closes the connection, which engines treat as a
//! cancellation.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
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
use hyper::body::Incoming;
use primrose_core::cost::Tokens;
use primrose_request::ConnEvent;
use primrose_request::ConnId;
use primrose_request::FailureStage;
use primrose_request::Seq;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use primrose_conn::has_certain_end;
use primrose_conn::is_final_status;
use primrose_conn::ConnectionPool;
use primrose_conn::ProbeResult;
use primrose_conn::RequestBody;
use primrose_conn::SendError;

/// Header that identifies the attempt to a backend server, which repeats it in a refusal.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Response header of a backend server that refused a request without running it.
pub const NOT_RUN: &str = "x-not-run";
/// Media type of a token stream.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";
/// Maximum bytes of a non-streamed answer that are buffered to find the server's token count.
const USAGE_SCAN_BYTES: usize = 256 << 10;
/// Maximum bytes of one event of a stream; with more, the answer is not taken for a stream.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Bytes of an answer that may be between the server and the caller's connection. While they are not
/// taken, nothing more is read from the server. The connections' own buffers come in addition.
const WINDOW_BYTES: u32 = 128 << 10;
/// Data of the event that ends a token stream.
pub(crate) const STREAM_END: &str = "[DONE]";

/// An HTTP request to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) conn: ConnId,
    pub(crate) addr: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether this requests the remainder of a stream that the server started earlier.
    pub(crate) resume: bool,
    /// Whether to open a new connection rather than reuse a pooled one.
    pub(crate) new_connection: bool,
    pub(crate) idle_timeout: Duration,
}

/// Data that arrived with an event.
#[derive(Debug, Default)]
pub(crate) enum Payload {
    #[default]
    None,
    /// Media type of an answer; empty if the server sent none.
    MediaType(String),
    /// Data of one event of a stream.
    Event(String),
    /// One block of a non-streamed answer.
    Block(Bytes),
}

impl Payload {
    fn len(&self) -> usize {
        match self {
            Self::None | Self::MediaType(_) => 0,
            Self::Event(data) => data.len(),
            Self::Block(block) => block.len(),
        }
    }
}

/// An event of a connection; the id lets the driver discard updates of an earlier connection.
#[derive(Debug)]
pub(crate) struct ConnUpdate {
    pub(crate) conn: ConnId,
    pub(crate) event: ConnEvent,
    pub(crate) payload: Payload,
    /// The part of the window that the payload takes until it is dropped.
    pub(crate) room: Option<OwnedSemaphorePermit>,
    /// Tokens used so far, as far as is known.
    pub(crate) tokens: Tokens,
}

/// Why a connection delivered no complete answer.
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

/// Sends a connection's updates to the driver.
struct Reporter {
    conn: ConnId,
    updates: mpsc::Sender<ConnUpdate>,
    /// Bytes of [`WINDOW_BYTES`] that are free.
    window: Arc<Semaphore>,
    tokens: Tokens,
}

impl Reporter {
    async fn send(&self, event: ConnEvent) {
        self.send_with(event, Payload::None).await;
    }

    async fn send_with(&self, event: ConnEvent, payload: Payload) {
        let room = self.room(payload.len()).await;
        let update = ConnUpdate {
            conn: self.conn,
            event,
            payload,
            room,
            tokens: self.tokens,
        };
        // A closed channel means that the request has ended; the task is aborted next.
        let _ = self.updates.send(update).await;
    }

    /// Waits until `bytes` fit into the window; more than all of it take all of it.
    async fn room(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).unwrap_or(WINDOW_BYTES);
        let window = Arc::clone(&self.window);
        window
            .acquire_many_owned(bytes.min(WINDOW_BYTES))
            .await
            .ok()
    }

    /// Waits until the window is not full, so that nothing is read that has no room.
    async fn wait_for_room(&self) {
        drop(self.room(1).await);
    }

    /// Counts one token per event until the server states its own count.
    fn count_tokens(&mut self, data: &[u8]) {
        match usage_of(data) {
            Some(stated) => self.tokens = stated,
            None => self.tokens.output += 1,
        }
    }
}

/// Runs the connection to its end; sends the request once `start_signal` fires.
pub(crate) async fn run(
    call: Call,
    connections: Arc<ConnectionPool>,
    updates: mpsc::Sender<ConnUpdate>,
    start_signal: oneshot::Receiver<()>,
) {
    let mut reporter = Reporter {
        conn: call.conn,
        updates,
        window: Arc::new(Semaphore::new(WINDOW_BYTES as usize)),
        tokens: Tokens::default(),
    };
    if let Err(error) = exchange(&call, &connections, &mut reporter, start_signal).await {
        log::debug!("connection {} failed: {}", call.conn, error.reason);
        reporter.send(ConnEvent::Failed(error.stage)).await;
    }
}

async fn exchange(
    call: &Call,
    connections: &ConnectionPool,
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
        // The driver dropped the attempt before anything was sent.
        return Ok(());
    }
    let answer = connections.send(call.addr, sender, request).await?;
    read_response(call, answer.response, connections, reporter).await?;
    connections.release(call.addr, answer.sender, None);
    Ok(())
}

fn build_request(call: &Call) -> Result<Request<RequestBody>, http::Error> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.path.as_str())
        .header(http::header::HOST, call.addr.to_string())
        .header(ATTEMPT_ID, call.conn.attempt.to_string())
        .body(RequestBody::from(call.body.clone()))?;
    for (name, value) in &call.headers {
        request.headers_mut().insert(name, value.clone());
    }
    Ok(request)
}

async fn read_response(
    call: &Call,
    response: Response<Incoming>,
    connections: &ConnectionPool,
    reporter: &mut Reporter,
) -> Result<(), ExchangeError> {
    let end_certain = has_certain_end(&call.method, &response);
    let status = response.status();
    if !is_final_status(status) {
        let reason = format!("the server answered with status {status}, expected 200 to 599");
        return Err(ExchangeError::after_send(reason));
    }
    if response.headers().contains_key(NOT_RUN) {
        if !is_about(call, &response) {
            let reason = "a refusal that may be that of an earlier request";
            return Err(ExchangeError::after_send(reason));
        }
        return Err(ExchangeError {
            stage: FailureStage::RefusedNotRun,
            reason: "the server refused the request".to_owned(),
        });
    }
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
        if !end_certain {
            check_end(call, connections).await?;
        }
    }
    reporter.send(ConnEvent::BodyEnd).await;
    Ok(())
}

/// Checks that an answer has ended with its connection because it is complete.
async fn check_end(call: &Call, connections: &ConnectionPool) -> Result<(), ExchangeError> {
    match connections.probe_after_end(call.addr).await {
        ProbeResult::Refused => {
            let reason = "the server crashed within its answer";
            Err(ExchangeError::after_send(reason))
        }
        ProbeResult::Accepted | ProbeResult::Unknown => Ok(()),
    }
}

/// Whether a response is certainly about this attempt: it names it, or names none and is the first on
/// its connection.
fn is_about(call: &Call, response: &Response<Incoming>) -> bool {
    match response.headers().get(ATTEMPT_ID) {
        Some(id) => id.as_bytes() == call.conn.attempt.to_string().as_bytes(),
        None => call.new_connection,
    }
}

fn media_type(response: &Response<Incoming>) -> String {
    let value = response.headers().get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Reports events as they arrive; the stream is complete only if its end event arrives.
async fn read_events(
    call: &Call,
    body: Incoming,
    reporter: &mut Reporter,
) -> Result<(), ExchangeError> {
    let pending = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&pending);
    let blocks = body.into_data_stream().map(move |block| {
        let block = block.map_err(|error| error.to_string())?;
        match counted.fetch_add(block.len(), Ordering::Relaxed) {
            MAX_EVENT_BYTES.. => Err("an event is too long".to_owned()),
            _ => Ok(block),
        }
    });
    let mut events = blocks.eventsource();
    let mut last: Seq = 0;
    loop {
        reporter.wait_for_room().await;
        let event = match tokio::time::timeout(call.idle_timeout, events.next()).await {
            Err(_) => return Err(ExchangeError::after_send("the token stream stalled")),
            Ok(None) => return Err(ExchangeError::after_send("the token stream ended early")),
            Ok(Some(Err(error))) => return Err(ExchangeError::after_send(error.to_string())),
            Ok(Some(Ok(event))) => event,
        };
        pending.store(0, Ordering::Relaxed);
        if event.data == STREAM_END {
            // Only the final chunk follows; reading it lets the connection be reused.
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
    // None once the answer is too long to be scanned.
    let mut scanned = Some(BytesMut::new());
    loop {
        reporter.wait_for_room().await;
        let frame = match tokio::time::timeout(call.idle_timeout, body.frame()).await {
            Err(_) => return Err(ExchangeError::after_send("the answer stalled")),
            Ok(None) => {
                reporter.tokens = scanned.and_then(|json| usage_of(&json)).unwrap_or_default();
                return Ok(());
            }
            Ok(Some(Err(error))) => return Err(ExchangeError::after_send(error.to_string())),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        seq += 1;
        scanned = scanned.filter(|json| json.len() + data.len() <= USAGE_SCAN_BYTES);
        if let Some(json) = &mut scanned {
            json.extend_from_slice(&data);
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
