//! Bodies of responses to callers.

use std::cell::RefCell;
use std::future::poll_fn;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;

/// Error of a response that cannot be completed. The connection is closed, so that the caller does
/// not take the response for a complete one.
#[derive(Debug, Snafu)]
#[snafu(display("the response was interrupted"))]
pub(crate) struct Interrupted;

/// Chunk of a streamed response.
pub(crate) type Chunk = Result<Bytes, Interrupted>;

/// Body of a response.
pub(crate) enum ResponseBody {
    /// The whole body; `None` once it was sent or if it is empty.
    Complete(Option<Bytes>),
    /// Chunks of a stream, sent as they arrive.
    Stream(StreamBody),
}

impl ResponseBody {
    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Complete((!bytes.is_empty()).then_some(bytes))
    }

    /// Creates a body of the chunks that `forward` sends. The future runs as part of the caller's
    /// connection, without a task of its own; it is dropped if the caller disconnects.
    pub(crate) fn stream<F>(forward: impl FnOnce(ChunkSender) -> F) -> Self
    where
        F: Future<Output = ()> + 'static,
    {
        let slot = Slot::default();
        let future = forward(ChunkSender(Rc::clone(&slot)));
        Self::Stream(StreamBody {
            forward: Some(Box::pin(future)),
            slot,
        })
    }
}

/// Holds at most one chunk between the future that forwards a stream and the body.
type Slot = Rc<RefCell<Option<Chunk>>>;

/// Passes chunks to the body.
pub(crate) struct ChunkSender(Slot);

impl ChunkSender {
    /// Sends a chunk after the one before it was taken.
    pub(crate) async fn send(&self, chunk: Chunk) {
        // The body takes a chunk before it polls the future again, so no waker is needed.
        poll_fn(|_| match self.0.borrow().is_some() {
            true => Poll::Pending,
            false => Poll::Ready(()),
        })
        .await;
        *self.0.borrow_mut() = Some(chunk);
    }
}

/// Body of a stream, and the future that produces it.
pub(crate) struct StreamBody {
    /// `None` once the stream has ended.
    forward: Option<Pin<Box<dyn Future<Output = ()>>>>,
    slot: Slot,
}

impl StreamBody {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        if let Some(chunk) = self.slot.take() {
            return Poll::Ready(Some(chunk));
        }
        let ended = match &mut self.forward {
            Some(forward) => forward.as_mut().poll(cx).is_ready(),
            None => true,
        };
        if ended {
            self.forward = None;
        }
        match self.slot.take() {
            Some(chunk) => Poll::Ready(Some(chunk)),
            None if ended => Poll::Ready(None),
            None => Poll::Pending,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream
                .poll_chunk(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
