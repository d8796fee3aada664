//! The socket of a caller's connection, which records what the limits on callers need.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use primrose_core::clock::Clock;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::idle::CallerConnection;

/// How long the rest of a refused body is read and discarded after the response. A caller that sends
/// it before it reads would otherwise lose the response with the connection.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// How much of a refused body is discarded.
const LINGER_BYTES: usize = 4 << 20;
/// Bytes that are discarded in one read.
const DISCARD_BYTES: usize = 16 << 10;

/// The socket of a caller's connection.
pub(crate) struct CallerIo {
    stream: TcpStream,
    caller: Rc<CallerConnection>,
    clock: Arc<dyn Clock>,
    /// Present once the response was sent and the rest of the request is being discarded.
    linger: Option<Linger>,
}

struct Linger {
    end: Pin<Box<Sleep>>,
    discarded: usize,
}

impl CallerIo {
    pub(crate) fn new(
        stream: TcpStream,
        caller: &Rc<CallerConnection>,
        clock: &Arc<dyn Clock>,
    ) -> Self {
        Self {
            stream,
            caller: Rc::clone(caller),
            clock: Arc::clone(clock),
            linger: None,
        }
    }

    /// Records the result of a write.
    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        let state = self.caller.state.get();
        match result {
            Poll::Pending => self.caller.state.set(state.blocked(self.clock.now())),
            Poll::Ready(Ok(taken)) if state.blocked_since.is_some() => {
                self.caller.state.set(state.taken(*taken));
            }
            Poll::Ready(_) => {}
        }
    }

    /// Reads and discards until the caller closes, or has had enough time.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(linger) = &mut self.linger else {
            return Poll::Ready(());
        };
        let mut space = [0; DISCARD_BYTES];
        while linger.discarded < LINGER_BYTES {
            if linger.end.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            let mut buffer = ReadBuf::new(&mut space);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
            linger.discarded += buffer.filled().len();
        }
        Poll::Ready(())
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let state = self.caller.state.get();
        let begins_head = state.waits_since.is_some() && state.head_since.is_none();
        if begins_head && buffer.filled().len() > before {
            self.caller.state.set(state.received(self.clock.now()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, data);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, data);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket once its own buffer is empty.
        let state = self.caller.state.get();
        if state.blocked_since.is_some() {
            self.caller.state.set(state.flushed());
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.caller.lingers.get() {
                return Poll::Ready(Ok(()));
            }
            self.linger = Some(Linger {
                end: Box::pin(tokio::time::sleep(LINGER_TIME)),
                discarded: 0,
            });
        }
        self.poll_discard(cx).map(Ok)
    }
}
