//! Receives the body of a request, within the memory for all callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use primrose_conn::BodyBuffer;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;

use crate::reply::Failure;
use crate::serve::bad_request;
use crate::shared::update_gauges;
use crate::shared::Shared;

/// Retry-After of a body that was refused for lack of memory.
const RETRY_AFTER_OVERLOADED: Duration = Duration::from_secs(1);

/// Receives a body; the connection closes after the response if it is not read to its end.
pub(crate) async fn receive_body(shared: &Shared, body: Incoming) -> Result<Bytes, Failure> {
    let limits = &shared.limits;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // The least length is the announced one, if there is one.
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(too_large());
    }
    let received = tokio::time::timeout(limits.body_timeout, receive(shared, body)).await;
    update_gauges(&shared.memory);
    received.map_err(|_| bad_request("the body took too long to arrive"))?
}

async fn receive(shared: &Shared, mut body: Incoming) -> Result<Bytes, Failure> {
    let clock = &shared.clock;
    let mut buffer = BodyBuffer::new(shared.memory.begin(clock.now()));
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = buffer.evicted() => return Err(overloaded(shared)),
        };
        let Some(frame) = frame else {
            return buffer.finish_joined().ok_or_else(|| overloaded(shared));
        };
        let frame = frame.map_err(|_| bad_request("the body broke off"))?;
        let data = frame.into_data().unwrap_or_default();
        if buffer.len() + data.len() > shared.limits.body_bytes {
            return Err(too_large());
        }
        if !buffer.push(&data, clock.now()) {
            return Err(overloaded(shared));
        }
    }
}

fn too_large() -> Failure {
    Failure::new(Outcome::NotRun, ErrorCode::TooLarge, None)
}

fn overloaded(shared: &Shared) -> Failure {
    let now = shared.clock.now();
    shared.refused_bodies.record(&shared.memory, now);
    let code = ErrorCode::Overloaded;
    Failure::new(Outcome::NotRun, code, Some(RETRY_AFTER_OVERLOADED))
}
