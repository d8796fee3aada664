//! The head of a server's answer: what it says, and what callers get of it.

use std::time::Duration;

use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::response;
use http::HeaderMap;
use http::Response;
use http::StatusCode;

use crate::adapter::Protocol;
use crate::reply::strip_hop_headers;

/// Media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";
/// How long an idle connection is kept if the server states no timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// How long before the server's idle timeout a connection is dropped: a request may be in flight
/// when the server closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Returns the head of a response for the caller. The version and the reason phrase of the server's response
/// concern its connection only: the end of a stream that is broken off would look regular over HTTP/1.0,
/// which has no chunks.
pub(crate) fn caller_head(status: StatusCode, headers: HeaderMap) -> response::Parts {
    let (mut head, ()) = Response::new(()).into_parts();
    head.status = status;
    head.headers = headers;
    strip_hop_headers(&mut head.headers);
    head
}

/// Returns whether the signature of a response is left once the headers are removed which the server lists as
/// those of its connection.
pub(crate) fn is_signed_for_caller(protocol: &dyn Protocol, head: &response::Parts) -> bool {
    if !head.headers.contains_key(CONNECTION) {
        return true;
    }
    let forwarded = caller_head(head.status, head.headers.clone());
    protocol.parse_response(&forwarded).signed
}

/// Returns whether a status tells callers that the request has not run.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether a response is a stream of events.
pub(crate) fn is_stream(head: &response::Parts) -> bool {
    let value = head.headers.get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.is_some_and(|text| text.starts_with(EVENT_STREAM))
}

/// Returns how long the connection may stay idle after this response.
pub(crate) fn idle_time(head: &response::Parts) -> Duration {
    let value = head.headers.get("keep-alive");
    let text = value.and_then(|value| value.to_str().ok());
    let stated = text.and_then(|text| {
        let mut parts = text.split(',');
        parts.find_map(|part| part.trim().strip_prefix("timeout="))
    });
    match stated.and_then(|seconds| seconds.trim().parse().ok()) {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
        None => DEFAULT_IDLE_TIME,
    }
}
