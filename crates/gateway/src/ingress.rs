//! The listener for callers.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use primrose_conn::BufferLease;
use primrose_core::memory::MemoryKind;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::caller_io::CallerIo;
use crate::callers::BoundReason;
use crate::callers::CONNECTION_BYTES;
use crate::idle::CallerConnection;
use crate::serve::serve;
use crate::shared::Shared;

/// Maximum length of a request head before tables are known.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Timeout for a request head and between two requests before tables are known.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);
/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum wait of a new connection for room while a body makes no progress. By then, the body has been
/// refused.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(1);
/// How often such a connection looks for a body to refuse.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Accepts connections of callers until the process ends.
pub(crate) async fn listen(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if shared.callers.has_room() => {
                spawn_connection(&shared, stream);
            }
            Ok((stream, _)) => {
                shared.bounded.record(BoundReason::Connections);
                if make_room(&shared).await {
                    spawn_connection(&shared, stream);
                    // Lets the closed connection free its descriptor.
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                ::log::warn!("failed to accept a caller's connection: {error}");
                if shared.callers.close_one(shared.now()) {
                    shared.bounded.record(BoundReason::Connections);
                }
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Makes room for a new connection; returns false if it cannot be served.
async fn make_room(shared: &Shared) -> bool {
    let started = shared.now();
    loop {
        let now = shared.now();
        let callers = &shared.callers;
        let is_expected =
            callers.has_room() || callers.close_one(now) || callers.has_slow_body(now);
        if callers.has_room() {
            return true;
        }
        if !is_expected || now.saturating_sub(started) >= MAX_ROOM_WAIT {
            return false;
        }
        let _ = tokio::time::timeout(ROOM_CHECK_INTERVAL, callers.ended()).await;
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard {
    shared: Rc<Shared>,
    /// Number of the connection among those of callers.
    id: u64,
    _buffer: Option<BufferLease>,
}

impl ConnectionGuard {
    fn new(shared: &Rc<Shared>, caller: &Rc<CallerConnection>, stream: &TcpStream) -> Self {
        shared
            .caller_connections
            .set(shared.caller_connections.get() + 1);
        let memory = &shared.memory;
        memory.replace(MemoryKind::Connection, 0, CONNECTION_BYTES);
        Self {
            shared: Rc::clone(shared),
            id: shared.callers.open(caller, shared.now()),
            _buffer: shared.receive_buffers.enlarge(stream),
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared
            .caller_connections
            .set(shared.caller_connections.get().saturating_sub(1));
        let memory = &shared.memory;
        memory.replace(MemoryKind::Connection, CONNECTION_BYTES, 0);
        shared.callers.close(self.id);
    }
}

/// Serves a connection in a task of its own. It counts at once, since several may be accepted before
/// the task runs.
fn spawn_connection(shared: &Rc<Shared>, stream: TcpStream) {
    let caller = Rc::new(CallerConnection::new(&shared.idle));
    let guard = ConnectionGuard::new(shared, &caller, &stream);
    tokio::task::spawn_local(async move {
        tokio::select! {
            () = serve_connection(&guard.shared, &caller, stream) => {}
            () = caller.abort.notified() => {}
        }
    });
}

async fn serve_connection(shared: &Rc<Shared>, caller: &Rc<CallerConnection>, stream: TcpStream) {
    // Stream events are small; Nagle's algorithm would delay them.
    let _ = stream.set_nodelay(true);
    let (head_bytes, idle_time) = match shared.fleet.borrow().catalog() {
        Some(catalog) => {
            let limits = &catalog.tables().limits;
            (limits.head_bytes, limits.idle_time)
        }
        None => (DEFAULT_HEAD_BYTES, DEFAULT_IDLE_TIME),
    };
    let service = {
        let shared = Rc::clone(shared);
        let caller = Rc::clone(caller);
        service_fn(move |request| {
            let shared = Rc::clone(&shared);
            let caller = Rc::clone(&caller);
            async move { Ok::<_, Infallible>(serve(shared, &caller, request).await) }
        })
    };
    let io = CallerIo::new(stream, caller, &shared.clock);
    let mut connection = pin!(http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_time)
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(io), service));
    let closing = shared.closing.notified();
    let result = if shared.is_closing.get() {
        // Closed after its first response, since the gateway drains.
        connection.await
    } else {
        tokio::select! {
            result = connection.as_mut() => result,
            () = closing => {
                // A caller that has just connected is about to send a request.
                if caller.has_begun() {
                    connection.as_mut().graceful_shutdown();
                }
                connection.await
            }
            () = caller.closed() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    if let Err(error) = result {
        ::log::debug!("a caller's connection ended: {error}");
    }
}
