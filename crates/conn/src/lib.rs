//! HTTP connection pool for servers.
//!
//! Errors state whether a request may have been sent: [`SendError::BeforeSend`] guarantees that no
//! byte of the request has left this process. Callers always open a new connection for a request
//! that must not be repeated, because a server may close an idle connection just as the request is
//! sent, and then it would be unknown whether the request ran.

mod body;
mod end;
mod listen;

pub use body::BodyBuffer;
pub use body::RequestBody;
pub use end::has_certain_end;
pub use end::is_final_status;
pub use end::END_PROBE_DELAY;
pub use listen::listen;
pub use listen::BufferLease;
pub use listen::ReceiveBuffers;

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Default for the maximum number of idle connections to one backend server.
const MAX_IDLE_PER_SERVER: usize = 32;

/// Timeout for probing whether a server still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of interim responses (1xx) to one request. A server in trouble may send them
/// without end, and reading them takes the processor from all other requests.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Failure of a request to a backend server.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No byte of the request was sent.
    #[snafu(display("failed to reach backend server {addr}: {reason}"))]
    BeforeSend {
        /// Address of the server.
        addr: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The request may have reached the server.
    #[snafu(display("failed to read the answer of backend server {addr}: {reason}"))]
    AfterSend {
        /// Address of the server.
        addr: SocketAddr,
        /// What went wrong.
        reason: String,
    },
}

/// A response whose body is yet to be read, and the connection that carries it.
pub struct PooledResponse {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// The connection, to pass to [`ConnectionPool::release`] after the body has been read.
    pub sender: SendRequest<RequestBody>,
}

/// Whether something listens at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// A connection was accepted.
    Accepted,
    /// Nothing listens there.
    Refused,
    /// No connection was made in time, or not for another reason.
    Unknown,
}

/// An idle connection.
struct Idle {
    sender: SendRequest<RequestBody>,
    /// Time from which the server may close it, if known.
    expires_at: Option<Mono>,
}

/// Pool of idle connections by server address.
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    connect_timeout: Duration,
    max_idle: usize,
    clock: Arc<dyn Clock>,
}

impl ConnectionPool {
    /// Creates an empty pool; opening a connection times out after `connect_timeout`.
    pub fn new(connect_timeout: Duration, clock: Arc<dyn Clock>) -> Self {
        Self {
            idle: Mutex::new(HashMap::new()),
            connect_timeout,
            max_idle: MAX_IDLE_PER_SERVER,
            clock,
        }
    }

    /// Sets the maximum number of idle connections to one server.
    pub fn with_max_idle(mut self, max_idle: usize) -> Self {
        self.max_idle = max_idle;
        self
    }

    /// Returns an idle connection if there is one and `fresh` is false, otherwise opens a new one.
    pub async fn open(
        &self,
        addr: SocketAddr,
        fresh: bool,
    ) -> Result<SendRequest<RequestBody>, SendError> {
        if !fresh {
            if let Some(sender) = self.take_idle(addr) {
                return Ok(sender);
            }
        }
        self.connect(addr).await
    }

    /// Sends a request over a connection; retries once over a new one if nothing could be sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        sender: SendRequest<RequestBody>,
        request: Request<RequestBody>,
    ) -> Result<PooledResponse, SendError> {
        let unsent = match send_over(sender, request).await {
            Ok(answer) => return Ok(answer),
            Err(SendFailure {
                unsent: Some(request),
                ..
            }) => request,
            Err(SendFailure { reason, .. }) => return AfterSendSnafu { addr, reason }.fail(),
        };
        let sender = self.connect(addr).await?;
        send_over(sender, *unsent).await.map_err(|failure| {
            let reason = failure.reason;
            match failure.unsent {
                Some(_) => SendError::BeforeSend { addr, reason },
                None => SendError::AfterSend { addr, reason },
            }
        })
    }

    /// Returns a connection to the pool once its response has been read fully.
    ///
    /// The connection is not used again after `idle_time`; `None` sets no limit.
    pub fn release(
        &self,
        addr: SocketAddr,
        sender: SendRequest<RequestBody>,
        idle_time: Option<Duration>,
    ) {
        if sender.is_closed() {
            return;
        }
        // A server may state any time; one that does not fit sets no limit.
        let expires_at = idle_time.and_then(|idle_time| self.clock.now().checked_add(idle_time));
        let mut pool = self.idle.lock().expect("idle connections lock poisoned");
        let connections = pool.entry(addr).or_default();
        if connections.len() < self.max_idle {
            connections.push(Idle { sender, expires_at });
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        let mut pool = self.idle.lock().expect("idle connections lock poisoned");
        pool.remove(&addr);
    }

    /// Tries to connect to an address, and closes the connection again.
    pub async fn probe(&self, addr: SocketAddr) -> ProbeResult {
        let opened = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
        match opened {
            Ok(Ok(_)) => ProbeResult::Accepted,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
            _ => ProbeResult::Unknown,
        }
    }

    /// Returns whether nothing listens at the address any more.
    pub async fn refuses_connections(&self, addr: SocketAddr) -> bool {
        // A server that accepts, or that may only be slow, counts as alive.
        self.probe(addr).await == ProbeResult::Refused
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<RequestBody>> {
        let mut pool = self.idle.lock().expect("idle connections lock poisoned");
        let connections = pool.get_mut(&addr)?;
        let now = self.clock.now();
        while let Some(Idle { sender, expires_at }) = connections.pop() {
            if sender.is_ready() && expires_at.is_none_or(|expires_at| now < expires_at) {
                return Some(sender);
            }
        }
        pool.remove(&addr);
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Result<SendRequest<RequestBody>, SendError> {
        let opened = tokio::time::timeout(self.connect_timeout, TcpStream::connect(addr)).await;
        let stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let reason = error.to_string();
                return BeforeSendSnafu { addr, reason }.fail();
            }
            Err(_) => {
                let reason = "connecting timed out";
                return BeforeSendSnafu { addr, reason }.fail();
            }
        };
        // Token events are small; Nagle's algorithm would delay them.
        let _ = stream.set_nodelay(true);
        match http1::handshake(TokioIo::new(stream)).await {
            Ok((sender, connection)) => {
                tokio::spawn(async move {
                    if let Err(error) = connection.await {
                        log::debug!("connection to backend server {addr} ended: {error}");
                    }
                });
                Ok(sender)
            }
            Err(error) => {
                let reason = error.to_string();
                BeforeSendSnafu { addr, reason }.fail()
            }
        }
    }
}

/// Failure of a request over one connection.
struct SendFailure {
    reason: String,
    /// The request, if no byte of it was written.
    unsent: Option<Box<Request<RequestBody>>>,
}

async fn send_over(
    mut sender: SendRequest<RequestBody>,
    mut request: Request<RequestBody>,
) -> Result<PooledResponse, SendFailure> {
    if let Err(error) = sender.ready().await {
        return Err(SendFailure {
            reason: error.to_string(),
            unsent: Some(Box::new(request)),
        });
    }
    let too_many = count_interim_responses(&mut request);
    let sent = tokio::select! {
        sent = sender.try_send_request(request) => sent,
        () = too_many.notified() => {
            return Err(SendFailure {
                reason: format!("more than {MAX_INTERIM_RESPONSES} interim responses"),
                unsent: None,
            });
        }
    };
    match sent {
        Ok(response) => Ok(PooledResponse { response, sender }),
        Err(mut error) => {
            let unsent = error.take_message().map(Box::new);
            Err(SendFailure {
                reason: error.into_error().to_string(),
                unsent,
            })
        }
    }
}

/// Counts the interim responses to a request; notifies if there are too many.
fn count_interim_responses(request: &mut Request<RequestBody>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let notify = Arc::clone(&too_many);
    let count = AtomicU32::new(0);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            notify.notify_one();
        }
    });
    too_many
}
