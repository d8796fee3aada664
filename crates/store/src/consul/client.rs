//! HTTP calls to the service: failover between addresses, timeouts and error classification.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ureq::http::Method;
use ureq::http::Request;
use ureq::http::Response;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::TcpConnector;
use ureq::unversioned::transport::Transport;
use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::Timeout;

use super::ConsulConfig;
use crate::store::InvalidSnafu;
use crate::store::LostSnafu;
use crate::store::Result;
use crate::store::StoreError;
use crate::store::UnavailableSnafu;

/// Maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: u64 = 16 << 20;

/// Header with the index of the state that a reply reflects.
const INDEX_HEADER: &str = "x-consul-index";

/// Header with the access token.
const TOKEN_HEADER: &str = "x-consul-token";

/// Kind of a call, which determines whether a failed call is retried at the next address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    /// A read: retried after every failure.
    Read,
    /// A read that waits this long at the service: retried only if it was not processed.
    Watch(Duration),
    /// A write: retried only if it was certainly not applied.
    Write,
}

/// A call to the service.
#[derive(Debug)]
pub(super) struct Call<'a> {
    pub(super) kind: CallKind,
    pub(super) method: Method,
    /// Path and query, percent-encoded.
    pub(super) target: &'a str,
    pub(super) body: Vec<u8>,
}

/// Reply of the service.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) index: u64,
    pub(super) body: Vec<u8>,
}

/// Failure of a call at one address.
#[derive(Debug)]
enum Failure {
    /// The request did not reach the service, or was refused before it was processed.
    NotApplied(String),
    /// The request may have been applied.
    MaybeApplied(String),
}

/// HTTP client for the service.
pub(super) struct Client {
    config: ConsulConfig,
    agent: Agent,
    /// Index of the address to try first.
    preferred: AtomicUsize,
}

impl Client {
    pub(super) fn new(config: ConsulConfig) -> Self {
        let agent_config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(config.connect_timeout))
            .build();
        let agent = Agent::with_parts(
            agent_config,
            ConnectErrorMapper::default(),
            DefaultResolver::default(),
        );
        Self {
            config,
            agent,
            preferred: AtomicUsize::new(0),
        }
    }

    /// Makes a call at the preferred address, with failover to the others.
    pub(super) fn call(&self, call: &Call<'_>) -> Result<Reply> {
        let count = self.config.addrs.len();
        let first = self.preferred.load(Ordering::Relaxed);
        let mut failures = Vec::new();
        for attempt in 0..count {
            let index = (first + attempt) % count;
            let addr = self.config.addrs[index];
            match self.exchange(addr, call) {
                Ok(reply) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return check_status(call, reply);
                }
                Err(Failure::NotApplied(detail)) => failures.push(format!("{addr}: {detail}")),
                Err(Failure::MaybeApplied(detail)) => {
                    failures.push(format!("{addr}: {detail}"));
                    self.preferred.store(index + 1, Ordering::Relaxed);
                    match call.kind {
                        CallKind::Read => (),
                        CallKind::Watch(_) => break,
                        CallKind::Write => {
                            let detail = failures.join("; ");
                            return LostSnafu { detail }.fail();
                        }
                    }
                }
            }
        }
        let detail = if failures.is_empty() {
            "no address is configured".to_owned()
        } else {
            failures.join("; ")
        };
        UnavailableSnafu { detail }.fail()
    }

    fn exchange(&self, addr: SocketAddr, call: &Call<'_>) -> std::result::Result<Reply, Failure> {
        let wait = match call.kind {
            CallKind::Watch(wait) => max_watch_time(wait),
            CallKind::Read | CallKind::Write => Duration::ZERO,
        };
        let timeout = self.config.call_timeout + self.config.connect_timeout + wait;
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{addr}{}", call.target));
        if !self.config.token.is_empty() {
            request = request.header(TOKEN_HEADER, &self.config.token);
        }
        let request = request
            .body(call.body.as_slice())
            .map_err(|error| Failure::NotApplied(error.to_string()))?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(timeout))
            .build();
        let response = self.agent.run(request).map_err(classify)?;
        read_reply(response)
    }
}

/// Returns the longest time for a watch: the service extends the wait by up to a sixteenth.
fn max_watch_time(wait: Duration) -> Duration {
    wait + wait / 16
}

fn classify(error: Error) -> Failure {
    let detail = error.to_string();
    match error {
        Error::ConnectionFailed
        | Error::HostNotFound
        | Error::BadUri(_)
        | Error::Timeout(Timeout::Connect | Timeout::Resolve) => Failure::NotApplied(detail),
        _ => Failure::MaybeApplied(detail),
    }
}

fn read_reply(mut response: Response<Body>) -> std::result::Result<Reply, Failure> {
    let status = response.status().as_u16();
    let index = response.headers().get(INDEX_HEADER);
    let index = index.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_REPLY_BYTES)
        .read_to_vec()
        .map_err(|error| Failure::MaybeApplied(error.to_string()))?;
    let text = || String::from_utf8_lossy(&body).trim().to_owned();
    match status {
        429 => Err(Failure::NotApplied(format!("status 429: {}", text()))),
        // The service may lose its leader after it has applied a write and before it replies.
        500.. => Err(Failure::MaybeApplied(format!(
            "status {status}: {}",
            text()
        ))),
        _ => Ok(Reply {
            status,
            index: index.unwrap_or(0),
            body,
        }),
    }
}

/// Accepts the statuses that an adapter can decode: success, absent key, transaction conflict.
fn check_status(call: &Call<'_>, reply: Reply) -> Result<Reply> {
    match reply.status {
        200..=299 | 404 | 409 => Ok(reply),
        status => {
            let text = String::from_utf8_lossy(&reply.body);
            let method = &call.method;
            let target = call.target;
            let detail = format!(
                "{method} {target} returned status {status}: {}",
                text.trim()
            );
            InvalidSnafu { detail }.fail()
        }
    }
}

/// Creates the error for a reply that cannot be decoded.
///
/// A write with an undecodable reply may have been applied, so it counts as lost.
pub(super) fn undecodable(kind: CallKind, detail: &str) -> StoreError {
    let detail = format!("invalid reply: {detail}");
    match kind {
        CallKind::Write => StoreError::Lost { detail },
        CallKind::Read | CallKind::Watch(_) => StoreError::Invalid { detail },
    }
}

/// Connects over TCP and maps every connect error to [`Error::ConnectionFailed`].
///
/// `ureq` reports failed connects and later connection failures with the same error variants, but
/// only a failed connect guarantees that the request did not reach the service.
#[derive(Debug, Default)]
struct ConnectErrorMapper(TcpConnector);

impl<In: Transport> Connector<In> for ConnectErrorMapper {
    type Out = <TcpConnector as Connector<In>>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> std::result::Result<Option<Self::Out>, Error> {
        self.0.connect(details, chained).map_err(|error| {
            log::debug!("failed to connect to {}: {error}", details.uri);
            Error::ConnectionFailed
        })
    }
}
