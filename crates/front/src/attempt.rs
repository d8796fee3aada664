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

use primrose_conn::ConnectionPool;
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
    pub(crate) fresh: bool,
    pub(crate) idle_time: Duration,
}

/// What came with an event.
#[derive(Debug, Default)]
pub(crate) enum Load {
    #[default]
    None,
    /// Media type of an answer; empty if the server named none.
    Type(String),
    /// Data of one event of a stream.
    Event(String),
    /// One block of a whole answer.
    Block(Bytes),
}

/// A report of a connection; names it, so that a late one can be told apart.
#[derive(Debug)]
pub(crate) struct Note {
    pub(crate) conn: ConnId,
    pub(crate) event: ConnEvent,
    pub(crate) load: Load,
    /// Tokens used so far, as far as known.
    pub(crate) tokens: Tokens,
}

/// Why a connection brought no whole answer.
#[derive(Debug)]
struct Broken {
    stage: FailureStage,
    reason: String,
}

impl Broken {
    fn after_send(reason: impl Into<String>) -> Self {
        Self {
            stage: FailureStage::AfterSend,
            reason: reason.into(),
        }
    }
}

impl From<SendError> for Broken {
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
    notes: mpsc::Sender<Note>,
    tokens: Tokens,
}

impl Reporter {
    async fn tell(&self, event: ConnEvent) {
        self.tell_with(event, Load::None).await;
    }

    async fn tell_with(&self, event: ConnEvent, load: Load) {
        let note = Note {
            conn: self.conn,
            event,
            load,
            tokens: self.tokens,
        };
        // A closed channel means that the request is over; the task is dropped next.
        let _ = self.notes.send(note).await;
    }

    /// Counts one token for each event, until the server states its own count.
    fn count(&mut self, data: &[u8]) {
        match usage_of(data) {
            Some(stated) => self.tokens = stated,
            None => self.tokens.output += 1,
        }
    }
}

/// Runs the connection to its end; sends the request when `go` says so.
pub(crate) async fn run(
    call: Call,
    connections: Arc<ConnectionPool>,
    notes: mpsc::Sender<Note>,
    go: oneshot::Receiver<()>,
) {
    let mut reporter = Reporter {
        conn: call.conn,
        notes,
        tokens: Tokens::default(),
    };
    if let Err(broken) = exchange(&call, &connections, &mut reporter, go).await {
        log::debug!("connection {} failed: {}", call.conn, broken.reason);
        reporter.tell(ConnEvent::Failed(broken.stage)).await;
    }
}

async fn exchange(
    call: &Call,
    connections: &ConnectionPool,
    reporter: &mut Reporter,
    go: oneshot::Receiver<()>,
) -> Result<(), Broken> {
    let request = build(call).map_err(|error| Broken {
        stage: FailureStage::BeforeSend,
        reason: error.to_string(),
    })?;
    let sender = connections.open(call.addr, call.fresh).await?;
    reporter.tell(ConnEvent::Connected).await;
    if !call.resume && go.await.is_err() {
        // The request was given up; nothing has been sent.
        return Ok(());
    }
    let answer = connections.send(call.addr, sender, request).await?;
    read(call, answer.response, reporter).await?;
    connections.release(call.addr, answer.sender, None);
    Ok(())
}

fn build(call: &Call) -> Result<Request<Full<Bytes>>, http::Error> {
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

async fn read(
    call: &Call,
    response: Response<Incoming>,
    reporter: &mut Reporter,
) -> Result<(), Broken> {
    if response.headers().contains_key(NOT_RUN) {
        return Err(Broken {
            stage: FailureStage::RefusedNotRun,
            reason: "the server refused the request".to_owned(),
        });
    }
    let status = response.status();
    let media = media_type(&response);
    let streams = media.starts_with(EVENT_STREAM);
    if call.resume {
        let goes_on = status.is_success() && streams;
        let event = if goes_on {
            ConnEvent::Resumed
        } else {
            ConnEvent::ResumeRefused
        };
        reporter.tell(event).await;
        if !goes_on {
            return Ok(());
        }
    } else {
        let status = status.as_u16();
        reporter
            .tell_with(ConnEvent::Head { status }, Load::Type(media))
            .await;
    }
    if streams {
        read_events(call, response.into_body(), reporter).await?;
    } else {
        read_whole(call, response.into_body(), reporter).await?;
    }
    reporter.tell(ConnEvent::BodyEnd).await;
    Ok(())
}

fn media_type(response: &Response<Incoming>) -> String {
    let value = response.headers().get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Passes events on as they come; the stream is whole only if its end event came.
async fn read_events(call: &Call, body: Incoming, reporter: &mut Reporter) -> Result<(), Broken> {
    let mut events = body.into_data_stream().eventsource();
    let mut last: Seq = 0;
    loop {
        let event = match tokio::time::timeout(call.idle_time, events.next()).await {
            Err(_) => return Err(Broken::after_send("the token stream stalled")),
            Ok(None) => return Err(Broken::after_send("the token stream ended early")),
            Ok(Some(Err(error))) => return Err(Broken::after_send(error.to_string())),
            Ok(Some(Ok(event))) => event,
        };
        if event.data == STREAM_END {
            // The rest of the chunked body is only its end mark.
            let _ = tokio::time::timeout(call.idle_time, events.next()).await;
            return Ok(());
        }
        let seq = event.id.parse().unwrap_or(last + 1);
        last = seq;
        reporter.count(event.data.as_bytes());
        reporter
            .tell_with(ConnEvent::Item { seq }, Load::Event(event.data))
            .await;
    }
}

async fn read_whole(call: &Call, body: Incoming, reporter: &mut Reporter) -> Result<(), Broken> {
    let mut body = body;
    let mut seq: Seq = 0;
    let mut scanned = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(call.idle_time, body.frame()).await {
            Err(_) => return Err(Broken::after_send("the answer stalled")),
            Ok(None) => {
                reporter.tokens = usage_of(&scanned).unwrap_or_default();
                return Ok(());
            }
            Ok(Some(Err(error))) => return Err(Broken::after_send(error.to_string())),
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
            .tell_with(ConnEvent::Item { seq }, Load::Block(data))
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
