//! A TCP stream that counts its bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::stats::add;
use crate::stats::Counters;

/// A TCP stream that adds its bytes to the counters of its link and of the endpoint.
#[derive(Debug)]
pub(crate) struct CountingStream {
    stream: TcpStream,
    link: Arc<Counters>,
    total: Arc<Counters>,
}

impl CountingStream {
    /// Wraps a stream with the counters of its link and of the endpoint.
    pub(crate) fn new(stream: TcpStream, link: Arc<Counters>, total: Arc<Counters>) -> Self {
        Self {
            stream,
            link,
            total,
        }
    }

    /// Disables Nagle's algorithm, so that short frames are sent immediately.
    pub(crate) fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay(true)
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        add(&self.link.bytes_in, read);
        add(&self.total.bytes_in, read);
        polled
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = polled {
            add(&self.link.bytes_out, written);
            add(&self.total.bytes_out, written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
