//! The caller's side of a request: sends the answer.
//!
//! A complete answer is sent with its length. A streamed answer is sent part by part through a
//! small bounded channel, so that a slow caller delays only its own stream. A part that finds no
//! room within the write timeout counts as a disconnect. A stream ends normally only by an explicit
//! end; if its sender is dropped, the connection is closed abruptly, so that no caller takes a
//! partial answer for a complete one.

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

/// Capacity of the channel of parts to the caller's connection.
const PART_CAPACITY: usize = 16;

/// One step of a streamed answer.
pub(crate) enum StreamItem {
    /// A part of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// State of the answer towards the caller.
pub(crate) enum Caller {
    /// Nothing has been sent.
    Waiting(oneshot::Sender<Response<Body>>),
    /// The head has been sent; parts follow.
    Streaming(mpsc::Sender<StreamItem>),
    /// The answer is complete, or the caller has disconnected.
    Gone,
}

/// Status and media type of an answer.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) media_type: String,
}

impl Caller {
    /// Returns when the caller closes the connection; never returns in state [`Self::Gone`].
    pub(crate) async fn closed(&mut self) {
        match self {
            Self::Waiting(head) => head.closed().await,
            Self::Streaming(parts) => parts.closed().await,
            Self::Gone => std::future::pending().await,
        }
    }

    /// Drops the channel to the caller; an unfinished stream is truncated.
    pub(crate) fn detach(&mut self) {
        *self = Self::Gone;
    }

    /// Sends a complete response.
    pub(crate) fn answer(&mut self, response: Response<Body>) {
        if let Self::Waiting(head) = std::mem::replace(self, Self::Gone) {
            // A caller that has just disconnected needs no answer.
            let _ = head.send(response);
        }
    }

    /// Sends a complete answer of a request that ran, with outcome `done`.
    pub(crate) fn answer_whole(&mut self, id: RequestId, head: &Head, body: Bytes) {
        let mut response = response_with(head, reply::full_body(body));
        reply::set_outcome_headers(&mut response, id, Outcome::Done);
        self.answer(response);
    }

    /// Sends the head of a streamed answer, with the token for resuming it through another router.
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

    /// Sends a part; returns `false` if the caller has disconnected or does not read.
    pub(crate) async fn send_part(&mut self, part: Bytes, limit: Duration) -> bool {
        let Self::Streaming(parts) = self else {
            return true;
        };
        let sent = tokio::time::timeout(limit, parts.send(StreamItem::Data(part))).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Ends a streamed answer; returns `false` if the caller has disconnected or does not read.
    pub(crate) async fn end_stream(&mut self, limit: Duration) -> bool {
        let Self::Streaming(parts) = std::mem::replace(self, Self::Gone) else {
            return true;
        };
        let sent = tokio::time::timeout(limit, parts.send(StreamItem::End)).await;
        matches!(sent, Ok(Ok(())))
    }
}

/// Converts stream items to frames; a sender dropped without an end truncates the body.
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
