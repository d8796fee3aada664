//! Replies and bodies that the stand-ins share.

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

/// Longest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Header by which a server says that it refused a request before running it.
const NOT_RUN: &str = "x-not-run";

/// What a stand-in sends back.
pub(crate) type Reply = Response<BoxBody<Bytes, io::Error>>;

/// One piece of a streamed body.
#[derive(Debug)]
pub(crate) enum Piece {
    /// Bytes to send at once.
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

/// Makes a reply of a whole body.
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

/// Makes a JSON reply.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("replies of the stand-ins are plain data");
    bytes(status, "application/json", body)
}

/// Makes a JSON reply that carries an error message.
pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
    let error = ErrorDetail { message };
    json(status, &ErrorBody { error })
}

/// Makes the refusal of a request that was not run.
pub(crate) fn refusal() -> Reply {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut reply = error(status, "not accepting requests");
    reply
        .headers_mut()
        .insert(NOT_RUN, HeaderValue::from_static("true"));
    reply
}

/// Makes a reply of server-sent events that come over a channel.
pub(crate) fn events(events: mpsc::UnboundedReceiver<Piece>) -> Reply {
    let body = ChannelBody {
        events,
        cutting: false,
    };
    let mut reply = Response::new(body.boxed());
    reply.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream; charset=utf-8"),
    );
    reply
}

/// Reads a whole request body.
pub(crate) async fn body(request: Request<Incoming>) -> Result<Bytes, Reply> {
    let limited = Limited::new(request.into_body(), MAX_BODY_BYTES);
    match limited.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(failure) if failure.is::<LengthLimitError>() => {
            Err(error(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Err(_) => Err(error(StatusCode::BAD_REQUEST, "body broke off")),
    }
}

/// Reads a whole request.
pub(crate) async fn whole(request: Request<Incoming>) -> Result<Request<Bytes>, Reply> {
    let (parts, incoming) = request.into_parts();
    let body = body(Request::new(incoming)).await?;
    Ok(Request::from_parts(parts, body))
}

/// Returns a header's text.
pub(crate) fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns a parameter of the query, undecoded.
pub(crate) fn query<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key == name).then_some(value)
    })
}

struct ChannelBody {
    events: mpsc::UnboundedReceiver<Piece>,
    cutting: bool,
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.cutting {
            let cut = io::Error::other("stream cut by the stand-in");
            return Poll::Ready(Some(Err(cut)));
        }
        match self.events.poll_recv(context) {
            Poll::Ready(Some(Piece::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(Piece::Cut)) => {
                // What went before the cut is flushed only while the body is pending.
                self.cutting = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
}

/// Decodes percent-encoded text.
pub(crate) fn decode(text: &str) -> Option<String> {
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
