//! Reads a caller's request, finds its account and route, and spawns its driver.

use std::sync::Arc;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use primrose_core::clock::Clock;
use primrose_core::cost::service;
use primrose_core::cost::Tokens;
use primrose_core::fingerprint::fingerprint;
use primrose_core::id::AccountId;
use primrose_core::id::RequestId;
use primrose_core::outcome::ErrorCode;
use primrose_core::outcome::Outcome;
use primrose_core::table::Matcher;
use primrose_core::table::Route;
use primrose_core::table::Table;
use primrose_request::IdempotencyKey;
use primrose_request::Seq;
use primrose_request::Spec;
use rand::Rng;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::oneshot;

use crate::broker::FingerprintStatus;
use crate::caller::Caller;
use crate::drive::Driver;
use crate::job::forwarded_headers;
use crate::job::Job;
use crate::job::STREAMS_PATH;
use crate::parse;
use crate::parse::CompletionRequest;
use crate::receive;
use crate::reply;
use crate::reply::Body;
use crate::reply::Failure;
use crate::resumption::Resumption;
use crate::shared::Shared;
use crate::trace::Trace;
use crate::trace::TRACEPARENT;

/// Path of chat completions.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path of the liveness check.
const HEALTH_PATH: &str = "/healthz";
/// Path of the readiness check, by which the load balancer decides whether to send requests.
const READY_PATH: &str = "/readyz";
/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the number of the last event that the caller received.
const LAST_EVENT_ID: &str = "last-event-id";
/// Prefix of a bearer key in the `authorization` header.
const BEARER: &str = "Bearer ";

/// HTTP service for callers.
pub(crate) struct Service {
    shared: Arc<Shared>,
}

/// A request whose body has been read.
struct ReceivedRequest {
    id: RequestId,
    account: AccountId,
    parts: http::request::Parts,
    body: Bytes,
}

impl Service {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    pub(crate) fn clock(&self) -> &Arc<dyn Clock> {
        &self.shared.clock
    }

    /// Answers one request; the future is dropped when the caller disconnects.
    pub(crate) async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::convert::Infallible> {
        match request.uri().path() {
            HEALTH_PATH => return Ok(reply::plain_text(StatusCode::OK, "ok\n")),
            READY_PATH => return Ok(self.ready()),
            _ => {}
        }
        let id = rand::rng().random();
        Ok(match self.start(id, request).await {
            Ok(response) => response,
            Err(failure) => {
                if failure.outcome == Outcome::NotRun {
                    self.shared.broker.refused(failure.code);
                }
                reply::error(id, &failure)
            }
        })
    }

    fn ready(&self) -> Response<Body> {
        if self.shared.broker.ready() && !*self.shared.drain.borrow() {
            reply::plain_text(StatusCode::OK, "ready\n")
        } else {
            reply::plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    async fn start(
        &self,
        id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Failure> {
        if *self.shared.drain.borrow() {
            let code = ErrorCode::ShuttingDown;
            return Err(Failure::new(Outcome::NotRun, code, None));
        }
        let account = self.authenticate(request.headers())?;
        if let Some(text) = resume_token_of(request.uri().path()) {
            let text = text.to_owned();
            return self
                .resume_stream(id, &account, &text, request.headers())
                .await;
        }
        let (parts, body) = request.into_parts();
        let body = receive::receive_body(&self.shared, body).await?;
        let job = self.job(ReceivedRequest {
            id,
            account,
            parts,
            body,
        })?;
        let (head, answered) = oneshot::channel();
        let driver = Driver::new(job, Arc::clone(&self.shared), head);
        tokio::spawn(driver.run());
        answered
            .await
            .map_err(|_| Failure::new(Outcome::Unknown, ErrorCode::Internal, None))
    }

    /// Resumes a stream that another router started.
    async fn resume_stream(
        &self,
        id: RequestId,
        account: &str,
        text: &str,
        headers: &HeaderMap,
    ) -> Result<Response<Body>, Failure> {
        let verified = self.shared.token_key.verify(text, account);
        let token = verified.map_err(|error| bad_request(&error.to_string()))?;
        let (head, answered) = oneshot::channel();
        let resumption = Resumption {
            id,
            token,
            after: last_event_id(headers)?,
            shared: Arc::clone(&self.shared),
            caller: Caller::Waiting(head),
        };
        tokio::spawn(resumption.run());
        answered
            .await
            .map_err(|_| Failure::new(Outcome::Unknown, ErrorCode::Internal, None))
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<AccountId, Failure> {
        let value = headers.get(AUTHORIZATION);
        let text = value.and_then(|value| value.to_str().ok());
        let bearer = text.and_then(|text| text.strip_prefix(BEARER));
        bearer
            .and_then(|bearer| self.shared.broker.account(bearer.trim()))
            .ok_or_else(|| Failure::new(Outcome::NotRun, ErrorCode::Unauthenticated, None))
    }

    fn job(&self, received: ReceivedRequest) -> Result<Job, Failure> {
        let table = self.shared.broker.table();
        let arrived = self.shared.clock.now();
        let completion = completion_request(&received)?;
        let route = find_route(&table, &received.parts, completion.as_ref())
            .ok_or_else(|| Failure::new(Outcome::NotRun, ErrorCode::NoRoute, None))?;
        let pool = table
            .pools
            .get(&route.pool)
            .ok_or_else(|| Failure::new(Outcome::NotRun, ErrorCode::NoRoute, None))?;
        let key = idempotency_key(&received.parts.headers)?;
        let request_fingerprint = fingerprint(&received.account, &route.name, &received.body);
        let suspect = match self.shared.broker.fingerprint_status(request_fingerprint) {
            FingerprintStatus::Clear => false,
            FingerprintStatus::Suspect => true,
            FingerprintStatus::Refused(left) => {
                return Err(Failure::new(Outcome::NotRun, ErrorCode::Poison, Some(left)));
            }
        };
        let header = received.parts.headers.get(TRACEPARENT);
        let header = header.and_then(|value| value.to_str().ok());
        let trace = Trace::begin(header, &mut rand::rng());
        let spec = Spec {
            id: received.id,
            account: received.account,
            route: route.clone(),
            kind: pool.kind,
            stream: completion.as_ref().is_some_and(|chat| chat.stream),
            key,
            body: Sha256::digest(&received.body).into(),
            fingerprint: request_fingerprint,
            suspect,
        };
        Ok(Job {
            spec,
            pool: pool.clone(),
            method: received.parts.method.clone(),
            path: path_and_query(&received.parts),
            headers: forwarded_headers(&received.parts.headers, &trace),
            body: received.body,
            hint: completion.as_ref().and_then(cost_hint),
            prefixes: completion.map(|chat| chat.prefixes).unwrap_or_default(),
            trace,
            arrived,
        })
    }
}

/// Returns the resume token in the path of a stream.
fn resume_token_of(path: &str) -> Option<&str> {
    path.strip_prefix(STREAMS_PATH)?.strip_prefix('/')
}

/// Returns the number of the last event that the caller received; 0 for none.
fn last_event_id(headers: &HeaderMap) -> Result<Seq, Failure> {
    let Some(value) = headers.get(LAST_EVENT_ID) else {
        return Ok(0);
    };
    let text = value.to_str().unwrap_or_default();
    text.parse()
        .map_err(|_| bad_request("the last event id is the number of an event"))
}

pub(crate) fn bad_request(message: &str) -> Failure {
    Failure::not_run(ErrorCode::BadRequest, message)
}

/// Parses the body of a completion request; `None` for a request to a plain service.
fn completion_request(received: &ReceivedRequest) -> Result<Option<CompletionRequest>, Failure> {
    if received.parts.uri.path() != COMPLETIONS_PATH {
        return Ok(None);
    }
    if received.parts.method != Method::POST {
        return Err(bad_request("chat completions are requested with POST"));
    }
    match parse::completion(&received.body) {
        Ok(completion) => Ok(Some(completion)),
        Err(error) => Err(bad_request(&snafu::Report::from_error(error).to_string())),
    }
}

fn find_route<'a>(
    table: &'a Table,
    parts: &http::request::Parts,
    completion: Option<&CompletionRequest>,
) -> Option<&'a Route> {
    table.routes.values().find(|route| match &route.matcher {
        Matcher::Path(path) => completion.is_none() && path == parts.uri.path(),
        Matcher::Model(model) => completion.is_some_and(|chat| chat.model == *model),
    })
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Failure> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| bad_request("an idempotency key holds only printable ASCII characters"))?;
    match IdempotencyKey::parse(text) {
        Ok(key) => Ok(Some(key)),
        Err(error) => Err(bad_request(&error.to_string())),
    }
}

fn path_and_query(parts: &http::request::Parts) -> String {
    match parts.uri.path_and_query() {
        Some(path) => path.as_str().to_owned(),
        None => parts.uri.path().to_owned(),
    }
}

/// Estimates the cost from the caller's limit on output tokens; `None` without a limit.
fn cost_hint(chat: &CompletionRequest) -> Option<u64> {
    let output = chat.max_tokens?;
    Some(service(Tokens {
        input: chat.input_tokens,
        output,
    }))
}
