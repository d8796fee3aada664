//! HTTP helpers of the stand-ins: reading requests, building replies and streaming bodies.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::header::CONTENT_TYPE;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use serde::Serialize;
use tokio::sync::mpsc;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Header of a reply to a request that the server refused before running it.
const NOT_RUN: &str = "x-not-run";
/// Header that identifies the attempt.
const ATTEMPT_ID: &str = "x-attempt-id";

/// HTTP response of a stand-in.
pub(crate) type Reply = Response<BoxBody<Bytes, io::Error>>;

/// One piece of a streamed body.
#[derive(Debug)]
pub(crate) enum Piece {
    /// Bytes to send immediately.
    Data(Bytes),
    /// Cuts the connection in the middle of the body.
    Cut,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
}

/// Creates a reply with a complete body.
pub(crate) fn bytes(status: StatusCode, content: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(
        Full::new(body.into())
            .map_err(|never| match never {})
            .boxed(),
    );
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content));
    reply
}

/// Creates a JSON reply.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("a stand-in's reply is serializable");
    bytes(status, "application/json", body)
}

/// Creates a JSON reply that carries an error message.
pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
    let error = ErrorDetail { message };
    json(status, &ErrorBody { error })
}

/// Creates the reply to a request that is refused before it runs; names the attempt, if it has an id.
pub(crate) fn refusal(attempt: Option<&str>) -> Reply {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut reply = error(status, "not accepting requests");
    reply
        .headers_mut()
        .insert(NOT_RUN, HeaderValue::from_static("true"));
    if let Some(attempt) = attempt.and_then(|id| HeaderValue::from_str(id).ok()) {
        reply.headers_mut().insert(ATTEMPT_ID, attempt);
    }
    reply
}

/// Creates a reply that streams server-sent events from a channel.
pub(crate) fn events(events: mpsc::UnboundedReceiver<Piece>) -> Reply {
    let body = ChannelBody {
        events,
        cut_pending: false,
    };
    let mut reply = Response::new(body.boxed());
    reply.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream; charset=utf-8"),
    );
    reply
}

/// Reads a request body, up to [`MAX_BODY_BYTES`].
pub(crate) async fn read_body(request: Request<Incoming>) -> Result<Bytes, Reply> {
    let limited = Limited::new(request.into_body(), MAX_BODY_BYTES);
    match limited.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(failure) if failure.is::<LengthLimitError>() => {
            Err(error(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Err(_) => Err(error(StatusCode::BAD_REQUEST, "incomplete body")),
    }
}

/// Reads a request with its complete body.
pub(crate) async fn read_request(request: Request<Incoming>) -> Result<Request<Bytes>, Reply> {
    let (parts, incoming) = request.into_parts();
    let body = read_body(Request::new(incoming)).await?;
    Ok(Request::from_parts(parts, body))
}

/// Returns a header's value, if it is visible ASCII text.
pub(crate) fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns a query parameter without percent-decoding it.
pub(crate) fn query_param<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key == name).then_some(value)
    })
}

struct ChannelBody {
    events: mpsc::UnboundedReceiver<Piece>,
    cut_pending: bool,
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.cut_pending {
            let cut = io::Error::other("stream cut by the stand-in");
            return Poll::Ready(Some(Err(cut)));
        }
        match self.events.poll_recv(context) {
            Poll::Ready(Some(Piece::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(Piece::Cut)) => {
                // hyper flushes the data before the cut only while the body is pending.
                self.cut_pending = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
}

/// Decodes percent-encoded text; `None` if it is malformed or not UTF-8.
pub(crate) fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next()?, rest.next()?];
        let digits = std::str::from_utf8(&digits).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
    }
    String::from_utf8(bytes).ok()
}
