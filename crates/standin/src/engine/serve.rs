//! The engine's HTTP interface.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::chat::ChatRequest;
use super::orders::FencedOrder;
use super::scheduler::Core;
use super::state::Admission;
use super::state::StreamId;
use crate::http;
use crate::http::Piece;
use crate::http::Reply;
use crate::server::ReplyFuture;
use crate::server::Service;

/// Path of a stream, up to the attempt id.
const STREAMS_PREFIX: &str = "/v1/streams/";

#[derive(Serialize)]
struct Cancelled {
    cancelled: bool,
}

#[derive(Serialize)]
struct Health {
    ok: bool,
}

impl Service for Core {
    fn call(self: Arc<Self>, request: Request<Incoming>) -> ReplyFuture {
        Box::pin(self.handle(request))
    }
}

impl Core {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Reply> {
        self.wait_while_hanging().await;
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if let Some(attempt) = path.strip_prefix(STREAMS_PREFIX) {
            return Some(match method {
                Method::GET => self.resume(attempt, &request),
                Method::DELETE => self.cancel(attempt),
                _ => method_not_allowed(),
            });
        }
        let reply = match (method, path.as_str()) {
            (Method::POST, "/v1/chat/completions") => return self.complete(request).await,
            (Method::GET, "/load") => http::json(StatusCode::OK, &self.lock().load_report()),
            (Method::GET, "/cache-events") => {
                let after = number_param(&request, "after");
                let events = self.lock().events().after(after, Instant::now());
                http::json(StatusCode::OK, &events)
            }
            (Method::POST, "/orders") => self.order(request).await,
            (Method::GET, "/orders/state") => {
                http::json(StatusCode::OK, &self.lock().order_state())
            }
            (Method::GET, "/healthz") => http::json(StatusCode::OK, &Health { ok: true }),
            _ => http::error(StatusCode::NOT_FOUND, "no such path"),
        };
        Some(reply)
    }

    async fn complete(&self, request: Request<Incoming>) -> Option<Reply> {
        let attempt = http::header(&request, "x-attempt-id").map(str::to_owned);
        let key = http::header(&request, "idempotency-key").unwrap_or_default();
        let key = key.to_owned();
        let body = match http::read_body(request).await {
            Ok(body) => body,
            Err(reply) => return Some(reply),
        };
        let request: ChatRequest = match serde_json::from_slice(&body) {
            Ok(request) => request,
            Err(error) => {
                let message = format!("not a completion request: {error}");
                return Some(http::error(StatusCode::BAD_REQUEST, &message));
            }
        };
        let stream = request.stream;
        let admission = Admission {
            crashes_engine: contains(&body, self.crash_marker.as_bytes()),
            request,
            attempt: attempt.clone(),
            key,
        };
        let (sender, events) = mpsc::unbounded_channel();
        let id = {
            let mut state = self.lock();
            let Some(id) = state.admit(admission, Instant::now()) else {
                return Some(http::refusal(attempt.as_deref()));
            };
            state.subscribe(id, sender, 0);
            id
        };
        self.wake();
        if stream {
            return Some(http::events(events));
        }
        self.wait_for_completion(id, events).await
    }

    /// Waits until a stream has finished; `None` if it is cut before.
    async fn wait_for_completion(
        &self,
        id: StreamId,
        mut events: mpsc::UnboundedReceiver<Piece>,
    ) -> Option<Reply> {
        while let Some(piece) = events.recv().await {
            if matches!(piece, Piece::Cut) {
                return None;
            }
        }
        let completion = self.lock().completion(id)?;
        Some(http::json(StatusCode::OK, &completion))
    }

    fn resume(&self, attempt: &str, request: &Request<Incoming>) -> Reply {
        let after = number_param(request, "after");
        let (sender, events) = mpsc::unbounded_channel();
        let mut state = self.lock();
        match state.find(attempt, Instant::now()) {
            Some(id) if state.subscribe(id, sender, after) => http::events(events),
            _ => http::error(StatusCode::NOT_FOUND, "no such stream"),
        }
    }

    fn cancel(&self, attempt: &str) -> Reply {
        if self.lock().cancel(attempt, Instant::now()) {
            return http::json(StatusCode::OK, &Cancelled { cancelled: true });
        }
        http::error(StatusCode::NOT_FOUND, "no stream to cancel")
    }

    async fn order(&self, request: Request<Incoming>) -> Reply {
        let body = match http::read_body(request).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let order: FencedOrder = match serde_json::from_slice(&body) {
            Ok(order) => order,
            Err(error) => {
                return http::error(StatusCode::BAD_REQUEST, &format!("not an order: {error}"));
            }
        };
        let mut state = self.lock();
        let accepted = state.orders().receive(order, Instant::now());
        let status = if accepted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        http::json(status, &state.order_state())
    }
}

fn method_not_allowed() -> Reply {
    http::error(StatusCode::METHOD_NOT_ALLOWED, "method not allowed")
}

fn number_param(request: &Request<Incoming>, name: &str) -> u64 {
    let text = http::query_param(request, name).unwrap_or_default();
    text.parse().unwrap_or(0)
}

fn contains(body: &[u8], marker: &[u8]) -> bool {
    !marker.is_empty() && body.windows(marker.len()).any(|window| window == marker)
}
