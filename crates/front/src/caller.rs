//! The caller's side of a request: the answer as it goes out.
//!
//! An answer that is whole at once goes out with its length; one that streams goes out part by
//! part through a small bounded queue, so that a slow caller slows its own stream and nothing
//! else. A part that finds no room within the write limit counts as the caller's leaving. A stream
//! ends well only by an explicit end; if its sender vanishes, the connection is cut instead, so
//! that no caller takes a part of an answer for the whole.

use std::task::ready;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::poll_fn;
use http::header::CACHE_CONTROL;
use http::header::CONTENT_TYPE;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use primrose_core::id::RequestId;
use primrose_core::outcome::Outcome;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::reply;
use crate::reply::Body;
use crate::reply::Truncated;

/// Parts of an answer that may wait for the caller's connection.
const PART_CAPACITY: usize = 16;

/// One step of a streamed answer.
pub(crate) enum StreamItem {
    /// A part of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// Where the answer goes.
pub(crate) enum Caller {
    /// Nothing has been answered.
    Waiting(oneshot::Sender<Response<Body>>),
    /// The head is out; parts follow.
    Streaming(mpsc::Sender<StreamItem>),
    /// The answer is complete, or nobody reads it any more.
    Gone,
}

/// Status and media type of an answer.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) media_type: String,
}

impl Caller {
    /// Returns when the caller closes the connection; never if there is nobody any more.
    pub(crate) async fn closed(&mut self) {
        match self {
            Self::Waiting(head) => head.closed().await,
            Self::Streaming(parts) => parts.closed().await,
            Self::Gone => std::future::pending().await,
        }
    }

    /// Forgets the caller.
    pub(crate) fn detach(&mut self) {
        *self = Self::Gone;
    }

    /// Answers with a complete response.
    pub(crate) fn answer(&mut self, response: Response<Body>) {
        if let Self::Waiting(head) = std::mem::replace(self, Self::Gone) {
            // A caller that has just left needs no answer.
            let _ = head.send(response);
        }
    }

    /// Answers with a whole body.
    pub(crate) fn answer_whole(&mut self, id: RequestId, head: &Head, body: Bytes) {
        let mut response = response_with(head, reply::full_body(body));
        reply::set_outcome_headers(&mut response, id, Outcome::Done);
        self.answer(response);
    }

    /// Sends the head of an answer whose parts follow; `pass` lets the caller go on elsewhere.
    pub(crate) fn start_stream(&mut self, id: RequestId, head: &Head, resume_token: Option<&str>) {
        let (sender, receiver) = mpsc::channel(PART_CAPACITY);
        let parts = frames(receiver);
        let mut response = response_with(head, StreamBody::new(parts).boxed_unsync());
        let headers = response.headers_mut();
        headers.insert(reply::REQUEST_ID, reply::ascii_value(&reply::id_text(id)));
        if let Some(token) = resume_token {
            headers.insert(reply::RESUME_TOKEN, reply::ascii_value(token));
        }
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        self.answer(response);
        *self = Self::Streaming(sender);
    }

    /// Sends a part; `false` if the caller has left or does not read.
    pub(crate) async fn send_part(&mut self, part: Bytes, limit: Duration) -> bool {
        let Self::Streaming(parts) = self else {
            return true;
        };
        let sent = tokio::time::timeout(limit, parts.send(StreamItem::Data(part))).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Ends a streamed answer that is whole; `false` if the caller has left or does not read.
    pub(crate) async fn end_stream(&mut self, limit: Duration) -> bool {
        let Self::Streaming(parts) = std::mem::replace(self, Self::Gone) else {
            return true;
        };
        let sent = tokio::time::timeout(limit, parts.send(StreamItem::End)).await;
        matches!(sent, Ok(Ok(())))
    }
}

/// Turns pieces into frames; a sender that vanishes without an end cuts the body.
fn frames(
    mut receiver: mpsc::Receiver<StreamItem>,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, Truncated>> {
    let mut ended = false;
    poll_fn(move |cx| {
        if ended {
            return Poll::Ready(None);
        }
        let item = ready!(receiver.poll_recv(cx));
        Poll::Ready(match item {
            Some(StreamItem::Data(data)) => Some(Ok(Frame::data(data))),
            Some(StreamItem::End) => {
                ended = true;
                None
            }
            None => {
                ended = true;
                Some(Err(Truncated))
            }
        })
    })
}

fn response_with(head: &Head, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(&head.media_type) {
        if !head.media_type.is_empty() {
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
    }
    response
}
