//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::sync::mpsc;

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
    Chunks(mpsc::Receiver<Chunk>),
}

impl ResponseBody {
    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Complete((!bytes.is_empty()).then_some(bytes))
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
            Self::Chunks(chunks) => chunks
                .poll_recv(cx)
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
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
