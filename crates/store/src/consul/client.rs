//! Exchanges with the service: addresses in turn, timeouts, and what a failure means.

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

/// Longest reply that is read, in bytes.
const MAX_REPLY_BYTES: u64 = 16 << 20;

/// Header with the index of the state that a reply shows.
const INDEX_HEADER: &str = "x-consul-index";

/// Header with the access token.
const TOKEN_HEADER: &str = "x-consul-token";

/// What a call does at the service, and so what its failure means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Changes nothing: every failure may be tried at the next address.
    Read,
    /// Changes nothing and waits this long at the service: tried elsewhere only if not connected.
    Watch(Duration),
    /// May change something: tried elsewhere only if it was surely not applied.
    Write,
}

/// One call.
#[derive(Debug)]
pub(super) struct Call<'a> {
    pub(super) kind: Kind,
    pub(super) method: Method,
    /// Path and query, encoded.
    pub(super) target: &'a str,
    pub(super) body: Vec<u8>,
}

/// What the service answered.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) index: u64,
    pub(super) body: Vec<u8>,
}

/// Why one address gave no answer.
#[derive(Debug)]
enum Failure {
    /// The request did not reach the service, or was refused before it was looked at.
    NotApplied(String),
    /// The request may have reached the service.
    Unsettled(String),
}

/// Talks to the service.
pub(super) struct Client {
    config: ConsulConfig,
    agent: Agent,
    /// Index of the address that answered last.
    preferred: AtomicUsize,
}

impl Client {
    pub(super) fn new(config: ConsulConfig) -> Self {
        let settings = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(config.connect_timeout))
            .build();
        let agent = Agent::with_parts(
            settings,
            MarkedConnector::default(),
            DefaultResolver::default(),
        );
        Self {
            config,
            agent,
            preferred: AtomicUsize::new(0),
        }
    }

    /// Makes a call at the first address that can take it.
    pub(super) fn call(&self, call: &Call<'_>) -> Result<Reply> {
        let count = self.config.addrs.len();
        let first = self.preferred.load(Ordering::Relaxed);
        let mut seen = Vec::new();
        for turn in 0..count {
            let number = (first + turn) % count;
            let addr = self.config.addrs[number];
            match self.exchange(addr, call) {
                Ok(reply) => {
                    self.preferred.store(number, Ordering::Relaxed);
                    return accept(call, reply);
                }
                Err(Failure::NotApplied(detail)) => seen.push(format!("{addr}: {detail}")),
                Err(Failure::Unsettled(detail)) => {
                    seen.push(format!("{addr}: {detail}"));
                    self.preferred.store(number + 1, Ordering::Relaxed);
                    match call.kind {
                        Kind::Read => (),
                        Kind::Watch(_) => break,
                        Kind::Write => {
                            let detail = seen.join("; ");
                            return LostSnafu { detail }.fail();
                        }
                    }
                }
            }
        }
        let detail = if seen.is_empty() {
            "no address is configured".to_owned()
        } else {
            seen.join("; ")
        };
        UnavailableSnafu { detail }.fail()
    }

    fn exchange(&self, addr: SocketAddr, call: &Call<'_>) -> std::result::Result<Reply, Failure> {
        let wait = match call.kind {
            Kind::Watch(wait) => watch_limit(wait),
            Kind::Read | Kind::Write => Duration::ZERO,
        };
        let limit = self.config.call_timeout + self.config.connect_timeout + wait;
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
            .timeout_global(Some(limit))
            .build();
        let response = self.agent.run(request).map_err(failure)?;
        read(response)
    }
}

/// Returns how long the service may hold a watch: it lengthens the wait by up to a sixteenth.
fn watch_limit(wait: Duration) -> Duration {
    wait + wait / 16
}

fn failure(error: Error) -> Failure {
    let detail = error.to_string();
    match error {
        Error::ConnectionFailed
        | Error::HostNotFound
        | Error::BadUri(_)
        | Error::Timeout(Timeout::Connect | Timeout::Resolve) => Failure::NotApplied(detail),
        _ => Failure::Unsettled(detail),
    }
}

fn read(mut response: Response<Body>) -> std::result::Result<Reply, Failure> {
    let status = response.status().as_u16();
    let index = response.headers().get(INDEX_HEADER);
    let index = index.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_REPLY_BYTES)
        .read_to_vec()
        .map_err(|error| Failure::Unsettled(error.to_string()))?;
    let text = || String::from_utf8_lossy(&body).trim().to_owned();
    match status {
        429 => Err(Failure::NotApplied(format!("status 429: {}", text()))),
        // The service may lose its leader after it has applied a write and before it answers.
        500.. => Err(Failure::Unsettled(format!("status {status}: {}", text()))),
        _ => Ok(Reply {
            status,
            index: index.unwrap_or(0),
            body,
        }),
    }
}

/// Passes on what an adapter can read: success, absence, and a transaction's conflict.
fn accept(call: &Call<'_>, reply: Reply) -> Result<Reply> {
    match reply.status {
        200..=299 | 404 | 409 => Ok(reply),
        status => {
            let text = String::from_utf8_lossy(&reply.body);
            let method = &call.method;
            let target = call.target;
            let detail = format!("{method} {target} gave status {status}: {}", text.trim());
            InvalidSnafu { detail }.fail()
        }
    }
}

/// Makes the error for a reply that cannot be read.
///
/// A write whose reply is garbage may have been applied, so it is lost like one without a reply.
pub(super) fn unreadable(kind: Kind, detail: &str) -> StoreError {
    let detail = format!("unreadable reply: {detail}");
    match kind {
        Kind::Write => StoreError::Lost { detail },
        Kind::Read | Kind::Watch(_) => StoreError::Invalid { detail },
    }
}

/// Connects over TCP and marks every failure to do so.
///
/// The client reports a failed connect and a connection that broke later with the same kinds of
/// errors; only the first of them is sure not to have reached the service.
#[derive(Debug, Default)]
struct MarkedConnector(TcpConnector);

impl<In: Transport> Connector<In> for MarkedConnector {
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
