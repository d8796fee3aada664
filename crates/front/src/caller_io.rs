//! The socket of a caller's connection, which ends if the caller does not take its answer.
//!
//! A complete answer, and the last parts of a stream, are written after the request's task has ended, so
//! nothing else bounds how long they are kept.

use std::future::Future;
use std::io;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Bytes that a blocked write has to get rid of to count as making progress.
const PROGRESS_BYTES: usize = 16 << 10;

/// The socket of a caller's connection.
pub(crate) struct CallerIo {
    stream: TcpStream,
    /// Maximum time without progress of a write.
    limit: Duration,
    blocked: Option<Blocked>,
}

/// A write that the caller does not take.
struct Blocked {
    end: Pin<Box<Sleep>>,
    taken: usize,
}

impl CallerIo {
    pub(crate) fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            blocked: None,
        }
    }

    /// Fails a write that has made no progress for too long.
    fn check(
        &mut self,
        result: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Pending => {
                let limit = self.limit;
                let blocked = self.blocked.get_or_insert_with(|| Blocked {
                    end: Box::pin(tokio::time::sleep(limit)),
                    taken: 0,
                });
                if blocked.end.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(Err(ErrorKind::TimedOut.into()));
                }
            }
            Poll::Ready(Ok(taken)) => {
                if let Some(blocked) = &mut self.blocked {
                    blocked.taken += taken;
                    if blocked.taken >= PROGRESS_BYTES {
                        self.blocked = None;
                    }
                }
            }
            Poll::Ready(Err(_)) => {}
        }
        result
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, data);
        self.check(result, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, data);
        self.check(result, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket once its own buffer is empty.
        self.blocked = None;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
