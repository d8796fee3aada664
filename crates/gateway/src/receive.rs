//! Receives the body of a request, within the memory budget of the process.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use primrose_conn::BodyBuffer;
use primrose_conn::RequestBody;
use primrose_core::memory::MemoryBudget;
use primrose_core::memory::MemoryKind;
use primrose_core::memory::PROGRESS_BYTES;

use crate::callers::BoundReason;
use crate::idle::CallerConnection;
use crate::reply::Reply;
use crate::shared::Shared;

/// Retry-After of a body that was refused for lack of memory. The retry may reach another gateway; at
/// this one, bodies without progress have ended by then.
const RETRY_AFTER_EVICTED: Duration = Duration::from_millis(300);

/// Retry-After of a request that made room for other connections.
const RETRY_AFTER_NO_ROOM: Duration = Duration::from_secs(1);

/// Why a body was not received whole.
pub(crate) enum BodyFailure {
    /// The caller has not sent it well, or not all of it.
    Broken(Reply),
    /// The rest of it is not read.
    Refused(Reply),
}

/// Read buffer that a connection has while it receives a body, beside
/// [`CONNECTION_BYTES`](crate::callers::CONNECTION_BYTES).
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Marks a connection as receiving a body until dropped.
struct ReceivingGuard<'a> {
    connection: &'a CallerConnection,
    memory: Arc<MemoryBudget>,
    /// Bytes received at the last progress.
    progress_bytes: usize,
}

impl<'a> ReceivingGuard<'a> {
    fn new(connection: &'a CallerConnection, shared: &Shared) -> Self {
        let state = connection.state.get();
        connection.state.set(state.receiving(shared.now()));
        let memory = Arc::clone(&shared.memory);
        memory.replace(MemoryKind::Connection, 0, READ_BUFFER_BYTES);
        Self {
            connection,
            memory,
            progress_bytes: 0,
        }
    }

    /// Records how much was received. As for the memory budget, a few bytes are no progress.
    fn record(&mut self, received: usize, shared: &Shared) {
        if received >= self.progress_bytes + PROGRESS_BYTES {
            self.progress_bytes = received;
            let state = self.connection.state.get();
            self.connection.state.set(state.receiving(shared.now()));
        }
    }
}

impl Drop for ReceivingGuard<'_> {
    fn drop(&mut self) {
        let state = self.connection.state.get();
        self.connection.state.set(state.body_ended());
        let memory = &self.memory;
        memory.replace(MemoryKind::Connection, READ_BUFFER_BYTES, 0);
    }
}

/// Receives a body of at most `max_bytes`; keeps none of it unless `is_kept`.
pub(crate) async fn receive_body(
    shared: &Shared,
    connection: &CallerConnection,
    mut body: Incoming,
    max_bytes: usize,
    is_kept: bool,
) -> Result<RequestBody, BodyFailure> {
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    // The least length is the announced one, if there is one.
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_long(shared, max_bytes));
    }
    let mut buffer = BodyBuffer::new(shared.memory.begin(shared.now()));
    let mut receiving = ReceivingGuard::new(connection, shared);
    let mut received = 0;
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = buffer.evicted() => return Err(evicted(shared)),
            () = connection.refuse.notified() => return Err(no_room()),
        };
        let Some(frame) = frame else {
            return buffer.finish().ok_or_else(|| evicted(shared));
        };
        let frame = frame.map_err(|error| {
            let reason = format!("the body broke off: {error}");
            BodyFailure::Broken(Reply::new(StatusCode::BAD_REQUEST, reason))
        })?;
        let data = frame.into_data().unwrap_or_default();
        received += data.len();
        receiving.record(received, shared);
        if received > max_bytes {
            return Err(too_long(shared, max_bytes));
        }
        if is_kept && !buffer.push(&data, shared.now()) {
            return Err(evicted(shared));
        }
    }
}

fn too_long(shared: &Shared, max_bytes: usize) -> BodyFailure {
    shared.bounded.record(BoundReason::TooLong);
    let reason = format!("the body is longer than {max_bytes} bytes");
    BodyFailure::Refused(Reply::new(StatusCode::PAYLOAD_TOO_LARGE, reason))
}

/// Returns the refusal of a request that makes room; the new connection was counted.
fn no_room() -> BodyFailure {
    let reason = "the body makes no progress and there are too many connections";
    BodyFailure::Refused(Reply::not_run(reason, RETRY_AFTER_NO_ROOM))
}

fn evicted(shared: &Shared) -> BodyFailure {
    shared.bounded.record(BoundReason::Body);
    let reason = "no memory is left for the body";
    BodyFailure::Refused(Reply::not_run(reason, RETRY_AFTER_EVICTED))
}
