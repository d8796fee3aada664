//! The callers' listener: accepts connections, limits their number and closes them gracefully.
//!
//! A single-threaded tokio runtime serves all callers and the streams from backend servers. The
//! listener uses hyper rather than rouille: rouille buffers a streamed body in blocks of 8 KiB, so
//! that token events would be sent in batches instead of one by one, and its underlying server has
//! no timeout for slow senders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use primrose_conn::BufferLease;
use primrose_conn::ReceiveBuffers;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::sync::Semaphore;

use crate::caller_io::CallerIo;
use crate::limits::Limits;
use crate::newcomers::Newcomer;
use crate::newcomers::Newcomers;
use crate::serve::Service;

/// Minimum read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Part of the memory for bodies and answers that is added to it for enlarged receive buffers.
const RECEIVE_DIVISOR: usize = 8;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `drain` turns true.
pub(crate) async fn accept(
    listener: TcpListener,
    service: Arc<Service>,
    limits: Arc<Limits>,
    drain: watch::Receiver<bool>,
) {
    let capacity = Arc::new(Semaphore::new(limits.connections));
    let buffers = ReceiveBuffers::within(limits.buffered_bytes / RECEIVE_DIVISOR);
    let newcomers = Arc::new(Newcomers::new(service.clock()));
    let mut stop = drain.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_set(&mut stop) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                // Without capacity, further connections stay in the listen backlog.
                let reservation = tokio::select! {
                    reservation = newcomers.reserve(&capacity) => reservation,
                    () = wait_until_set(&mut stop) => return,
                };
                let connection = Connection {
                    _buffer: buffers.enlarge(&stream),
                    stream,
                    peer,
                    service: Arc::clone(&service),
                    limits: Arc::clone(&limits),
                };
                let stop = drain.clone();
                let newcomer = newcomers.enter();
                tokio::spawn(async move {
                    connection.run(stop, newcomer).await;
                    drop(reservation);
                });
            }
            Err(error) => {
                log::warn!("failed to accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// One caller's connection.
struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    service: Arc<Service>,
    limits: Arc<Limits>,
    _buffer: Option<BufferLease>,
}

impl Connection {
    async fn run(self, drain: watch::Receiver<bool>, newcomer: Newcomer) {
        let newcomer = Arc::new(newcomer);
        tokio::select! {
            () = self.serve(drain, &newcomer) => {}
            () = newcomer.closed() => {}
        }
    }

    async fn serve(self, mut drain: watch::Receiver<bool>, newcomer: &Arc<Newcomer>) {
        // Token events are small; Nagle's algorithm would delay them.
        let _ = self.stream.set_nodelay(true);
        let io = CallerIo::new(self.stream, self.limits.write_timeout);
        let service = self.service;
        let newcomer = Arc::clone(newcomer);
        let handler = service_fn(move |request| {
            newcomer.leave();
            let service = Arc::clone(&service);
            async move { service.answer(request).await }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_buf_size(self.limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(io), handler);
        tokio::pin!(served);
        let ended = tokio::select! {
            ended = served.as_mut() => ended,
            () = wait_until_set(&mut drain) => {
                // Lets the request in flight finish, then closes the connection.
                served.as_mut().graceful_shutdown();
                served.await
            }
        };
        if let Err(error) = ended {
            log::debug!("connection of caller {} ended: {error}", self.peer);
        }
    }
}

/// Returns when the flag is true or its sender is dropped.
async fn wait_until_set(flag: &mut watch::Receiver<bool>) {
    // Drops the guard of the value, which must not be held across the caller's next await.
    let _ = flag.wait_for(|set| *set).await.map(|_| ());
}
