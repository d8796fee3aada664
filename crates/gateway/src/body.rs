//! Bodies of answers towards callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::sync::mpsc;

/// An answer that cannot be completed; the connection is closed so that it does not look whole.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was broken off"))]
pub(crate) struct Cut;

/// Part of a streamed answer.
pub(crate) type Part = Result<Bytes, Cut>;

/// Body of an answer.
pub(crate) enum OutBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// As it comes.
    Parts(mpsc::Receiver<Part>),
}

impl OutBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for OutBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(parts) => parts
                .poll_recv(cx)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }
}
