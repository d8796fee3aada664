//! Opens listeners for callers, and bounds the kernel's buffers of their connections.
//!
//! What a caller has sent and the process has not read counts as memory of the process on some hosts. A
//! connection begins with a small receive buffer, also while it waits to be accepted. [`ReceiveBuffers`]
//! then enlarges those of as many connections as fit its bound; the others are served with small ones.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use rustix::net::sockopt::set_socket_recv_buffer_size;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Receive buffer of a new connection. Linux keeps up to 12 KiB of unread data in it.
const SMALL_RECEIVE_BYTES: u32 = 8 << 10;
/// Receive buffer of an enlarged connection, which allows several megabytes a second at round trips of a few
/// milliseconds. Linux keeps up to 56 KiB of unread data in it.
const LARGE_RECEIVE_BYTES: usize = 32 << 10;
/// Memory that is charged for an enlarged receive buffer.
const LARGE_CHARGE_BYTES: usize = 2 * LARGE_RECEIVE_BYTES;
/// Size of the kernel's send buffer of a connection; the kernel takes up to twice as much. It would grow
/// to megabytes for each caller that does not read.
const SEND_BYTES: u32 = 64 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Opens a listener for callers, whose connections have small kernel buffers.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the sizes.
    socket.set_recv_buffer_size(SMALL_RECEIVE_BYTES)?;
    socket.set_send_buffer_size(SEND_BYTES)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// The enlarged receive buffers of a process.
#[derive(Debug)]
pub struct ReceiveBuffers {
    limit: usize,
    enlarged: AtomicUsize,
}

impl ReceiveBuffers {
    /// Allows as many enlarged buffers as fit into a number of bytes.
    pub fn within(bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            limit: bytes / LARGE_CHARGE_BYTES,
            enlarged: AtomicUsize::new(0),
        })
    }

    /// Enlarges the receive buffer of an accepted connection if the bound allows it. The buffer counts
    /// until the lease is dropped, together with the connection.
    pub fn enlarge(self: &Arc<Self>, stream: &TcpStream) -> Option<BufferLease> {
        let lease = self.reserve()?;
        // If this fails, the connection keeps its small buffer.
        let _ = set_socket_recv_buffer_size(stream, LARGE_RECEIVE_BYTES);
        Some(lease)
    }

    /// Counts another enlarged buffer; returns none if the bound is reached.
    pub fn reserve(self: &Arc<Self>) -> Option<BufferLease> {
        let add = |count| (count < self.limit).then_some(count + 1);
        let counted = self
            .enlarged
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        counted.is_ok().then(|| BufferLease(Arc::clone(self)))
    }
}

/// An enlarged receive buffer; counts until dropped.
#[derive(Debug)]
pub struct BufferLease(Arc<ReceiveBuffers>);

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.0.enlarged.fetch_sub(1, Ordering::Relaxed);
    }
}
