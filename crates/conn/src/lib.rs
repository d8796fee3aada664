//! Connections to servers, kept open between requests.
//!
//! The one thing that callers of this module rely on is the stage of a failure: an error that is
//! [`SendError::BeforeSend`] says that no byte of the request has left this process. A request
//! that may not be repeated always gets a new connection, since a server may close a kept one just
//! as the request goes out, and then nobody could say whether it ran.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use primrose_core::clock::Clock;
use primrose_core::clock::Mono;
use snafu::Snafu;
use tokio::net::TcpStream;

/// Idle connections kept for each backend server.
const IDLE_PER_SERVER: usize = 32;

/// Longest time for seeing whether a server still listens.
const PROBE_TIME: Duration = Duration::from_millis(200);

/// A request body towards a backend server.
pub type RequestBody = Full<Bytes>;

/// Why a request to a backend server brought no answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No byte of the request has left.
    #[snafu(display("failed to reach backend server {addr}: {reason}"))]
    BeforeSend {
        /// Address of the server.
        addr: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The request may have arrived.
    #[snafu(display("failed to read the answer of backend server {addr}: {reason}"))]
    AfterSend {
        /// Address of the server.
        addr: SocketAddr,
        /// What went wrong.
        reason: String,
    },
}

/// An answer whose body is still to be read, and the connection it comes over.
pub struct PooledResponse {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// Given back to [`ConnectionPool::release`] after the body.
    pub sender: SendRequest<RequestBody>,
}

/// A connection between two requests.
struct Idle {
    sender: SendRequest<RequestBody>,
    /// When the server may close it, if known.
    until: Option<Mono>,
}

/// Keeps idle connections by server address.
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    connect_time: Duration,
    idle_connections: usize,
    clock: Arc<dyn Clock>,
}

impl ConnectionPool {
    /// Makes an empty pool; opening a connection may take `connect_time`.
    pub fn new(connect_time: Duration, clock: Arc<dyn Clock>) -> Self {
        Self {
            idle: Mutex::new(HashMap::new()),
            connect_time,
            idle_connections: IDLE_PER_SERVER,
            clock,
        }
    }

    /// Changes how many idle connections are kept to one server.
    pub fn with_max_idle(mut self, most: usize) -> Self {
        self.idle_connections = most;
        self
    }

    /// Opens a connection; takes a kept one unless `fresh` is asked for.
    pub async fn open(
        &self,
        addr: SocketAddr,
        fresh: bool,
    ) -> Result<SendRequest<RequestBody>, SendError> {
        if !fresh {
            if let Some(sender) = self.take(addr) {
                return Ok(sender);
            }
        }
        self.connect(addr).await
    }

    /// Sends a request over an opened connection, or over a new one if that has closed unused.
    pub async fn send(
        &self,
        addr: SocketAddr,
        sender: SendRequest<RequestBody>,
        request: Request<RequestBody>,
    ) -> Result<PooledResponse, SendError> {
        let unsent = match send_over(sender, request).await {
            Ok(answer) => return Ok(answer),
            Err(Unanswered {
                unsent: Some(request),
                ..
            }) => request,
            Err(Unanswered { reason, .. }) => return AfterSendSnafu { addr, reason }.fail(),
        };
        let sender = self.connect(addr).await?;
        send_over(sender, *unsent).await.map_err(|failed| {
            let reason = failed.reason;
            match failed.unsent {
                Some(_) => SendError::BeforeSend { addr, reason },
                None => SendError::AfterSend { addr, reason },
            }
        })
    }

    /// Keeps a connection whose answer has been read to the end, for `idle` at most.
    pub fn release(
        &self,
        addr: SocketAddr,
        sender: SendRequest<RequestBody>,
        idle: Option<Duration>,
    ) {
        if sender.is_closed() {
            return;
        }
        let until = idle.map(|idle| self.clock.now() + idle);
        let mut pool = self.idle.lock().expect("idle connections lock poisoned");
        let kept = pool.entry(addr).or_default();
        if kept.len() < self.idle_connections {
            kept.push(Idle { sender, until });
        }
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, addr: SocketAddr) {
        let mut pool = self.idle.lock().expect("idle connections lock poisoned");
        pool.remove(&addr);
    }

    /// Whether nothing listens at the address any more.
    pub async fn refuses_connections(&self, addr: SocketAddr) -> bool {
        let opened = tokio::time::timeout(PROBE_TIME, TcpStream::connect(addr)).await;
        match opened {
            Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
            // A server that accepts, or that cannot be told from a slow one, counts as alive.
            _ => false,
        }
    }

    fn take(&self, addr: SocketAddr) -> Option<SendRequest<RequestBody>> {
        let mut idle = self.idle.lock().expect("idle connections lock poisoned");
        let kept = idle.get_mut(&addr)?;
        let now = self.clock.now();
        while let Some(Idle { sender, until }) = kept.pop() {
            if sender.is_ready() && until.is_none_or(|until| now < until) {
                return Some(sender);
            }
        }
        idle.remove(&addr);
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Result<SendRequest<RequestBody>, SendError> {
        let opened = tokio::time::timeout(self.connect_time, TcpStream::connect(addr)).await;
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
        // Token events are small; waiting to fill a segment would hold them back.
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

/// A request that brought no answer over one connection.
struct Unanswered {
    reason: String,
    /// The request, if no byte of it was written.
    unsent: Option<Box<Request<RequestBody>>>,
}

async fn send_over(
    mut sender: SendRequest<RequestBody>,
    request: Request<RequestBody>,
) -> Result<PooledResponse, Unanswered> {
    if let Err(error) = sender.ready().await {
        return Err(Unanswered {
            reason: error.to_string(),
            unsent: Some(Box::new(request)),
        });
    }
    match sender.try_send_request(request).await {
        Ok(response) => Ok(PooledResponse { response, sender }),
        Err(mut error) => {
            let unsent = error.take_message().map(Box::new);
            Err(Unanswered {
                reason: error.into_error().to_string(),
                unsent,
            })
        }
    }
}
