//! A request as read from the caller, with everything that its attempts need.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use primrose_core::clock::Mono;
use primrose_core::cost::Service;
use primrose_core::table::Pool;
use primrose_request::ConnId;
use primrose_request::Seq;
use primrose_request::Spec;

use crate::attempt::Call;
use crate::broker::ClaimName;
use crate::broker::Waiting;
use crate::trace::Trace;
use crate::trace::TRACEPARENT;

/// Path under which engines serve the remainder of a stream.
pub(crate) const STREAMS_PATH: &str = "/v1/streams";
/// Headers not forwarded to the server: those of a single connection and those that the router
/// sets itself.
const STRIPPED_HEADERS: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request with its route and pool, ready to be sent to a backend server.
pub(crate) struct Job {
    pub(crate) spec: Spec,
    pub(crate) pool: Pool,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) path: String,
    /// Headers for the backend server.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) hint: Option<Service>,
    pub(crate) prefixes: Vec<u64>,
    pub(crate) trace: Trace,
    pub(crate) arrived: Mono,
}

impl Job {
    /// Returns the queue entry for an attempt.
    pub(crate) fn waiting(&self, attempt: primrose_core::id::AttemptId, now: Mono) -> Waiting {
        let waited = now.saturating_sub(self.arrived);
        Waiting {
            attempt,
            account: self.spec.account.clone(),
            route: self.spec.route.name.clone(),
            pool: self.pool.name.clone(),
            hint: self.hint,
            cost: self.spec.route.cost,
            fingerprint: self.spec.fingerprint,
            suspect: false,
            prefixes: self.prefixes.clone(),
            bytes: self.body.len(),
            left: self.spec.route.deadline.saturating_sub(waited),
            avoid: Vec::new(),
        }
    }

    /// Returns the name of the claim on the request's idempotency key, if it has one.
    pub(crate) fn claim_name(&self) -> Option<ClaimName> {
        let key = self.spec.key.clone()?;
        Some(ClaimName {
            account: self.spec.account.clone(),
            key,
            request: self.spec.id,
            body: self.spec.body,
        })
    }

    /// Returns the call that sends the request.
    pub(crate) fn call(
        &self,
        conn: ConnId,
        addr: std::net::SocketAddr,
        idle_timeout: Duration,
    ) -> Call {
        Call {
            conn,
            addr,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            resume: false,
            // A pooled connection may close while the request is sent, which leaves it unknown
            // whether the request ran.
            new_connection: !self.spec.route.idempotent,
            idle_timeout,
        }
    }

    /// Returns the call that requests the remainder of a stream.
    pub(crate) fn resume_call(
        &self,
        conn: ConnId,
        addr: std::net::SocketAddr,
        after: Seq,
        idle_timeout: Duration,
    ) -> Call {
        Call {
            method: Method::GET,
            path: stream_path(conn, after),
            headers: self.trace_headers(),
            body: Bytes::new(),
            resume: true,
            new_connection: false,
            ..self.call(conn, addr, idle_timeout)
        }
    }

    /// Returns the call that cancels the run on the server.
    pub(crate) fn cancel_call(&self, conn: ConnId, addr: std::net::SocketAddr) -> Call {
        Call {
            method: Method::DELETE,
            path: format!("{STREAMS_PATH}/{}", conn.attempt),
            ..self.resume_call(conn, addr, 0, Duration::ZERO)
        }
    }

    fn trace_headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let value = crate::reply::ascii_value(&self.trace.header());
        headers.insert(HeaderName::from_static(TRACEPARENT), value);
        headers
    }
}

/// Returns the path of the remainder of a stream on an engine.
pub(crate) fn stream_path(conn: ConnId, after: Seq) -> String {
    format!("{STREAMS_PATH}/{}?after={after}", conn.attempt)
}

/// Returns the headers to forward to the backend server.
pub(crate) fn forwarded_headers(headers: &HeaderMap, trace: &Trace) -> HeaderMap {
    let mut out = headers.clone();
    for name in STRIPPED_HEADERS {
        out.remove(name);
    }
    let value = crate::reply::ascii_value(&trace.header());
    out.insert(HeaderName::from_static(TRACEPARENT), value);
    out
}
