//! A plain service that counts its runs by idempotency key.
//!
//! Every `POST` is one run, and its reply is a small JSON object that echoes the request. The service
//! does not deduplicate: two requests with the same key are recorded as two runs.

use std::collections::VecDeque;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Serialize;
use tokio::sync::watch;

use crate::http;
use crate::http::Reply;
use crate::runtime::Runtime;
use crate::server::ReplyFuture;
use crate::server::Server;
use crate::server::Service;
use crate::server::Switch;

/// Configuration of a plain service.
#[derive(Debug, Clone)]
pub struct PlainConfig {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Service name in the replies.
    pub name: String,
    /// How long a run takes.
    pub run_time: Duration,
}

impl Default for PlainConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: "plain".into(),
            run_time: Duration::ZERO,
        }
    }
}

/// Fault to inject into one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainFault {
    /// Runs the request and closes the connection without a reply.
    LoseReply,
    /// Refuses the request before running it: status 503 with the header `x-not-run`.
    Refuse,
    /// Closes the connection before the request runs.
    Drop,
    /// Runs the request and replies only after [`Plain::resume`].
    Hang,
}

/// Record of one request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainRun {
    /// Path of the request.
    pub path: String,
    /// Header `Idempotency-Key`; empty if there was none.
    pub key: String,
    /// Header `x-attempt-id`; empty if there was none.
    pub attempt: String,
    /// Body of the request.
    pub body: Vec<u8>,
}

#[derive(Serialize)]
struct Echo<'a> {
    service: &'a str,
    path: &'a str,
    key: &'a str,
    attempt: &'a str,
    run: usize,
    bytes: usize,
}

#[derive(Default)]
struct State {
    runs: Vec<PlainRun>,
    faults: VecDeque<Option<PlainFault>>,
    default_fault: Option<PlainFault>,
    refused: usize,
}

struct Core {
    config: PlainConfig,
    state: Mutex<State>,
    released: watch::Sender<u64>,
}

/// A running plain service; stopped when dropped.
pub struct Plain {
    core: Arc<Core>,
    server: Server,
}

impl Plain {
    /// Starts the service.
    pub fn start(runtime: &Runtime, config: PlainConfig) -> io::Result<Self> {
        let listen = config.listen;
        let core = Arc::new(Core {
            config,
            state: Mutex::default(),
            released: watch::Sender::new(0),
        });
        let server = Server::start(runtime, listen, core.clone(), Switch::new())?;
        Ok(Self { core, server })
    }

    /// Returns the address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns all runs so far, in the order in which they started.
    pub fn runs(&self) -> Vec<PlainRun> {
        self.core.lock().runs.clone()
    }

    /// Returns how often requests with this idempotency key have run.
    pub fn runs_of(&self, key: &str) -> usize {
        let state = self.core.lock();
        state.runs.iter().filter(|run| run.key == key).count()
    }

    /// Returns how many requests were refused or dropped before running.
    pub fn refused(&self) -> usize {
        self.core.lock().refused
    }

    /// Queues faults for the next requests, one element each; `None` means no fault.
    pub fn plan(&self, faults: impl IntoIterator<Item = Option<PlainFault>>) {
        self.core.lock().faults.extend(faults);
    }

    /// Sets the fault of every request for which [`Plain::plan`] has queued nothing.
    pub fn set_fault(&self, fault: Option<PlainFault>) {
        self.core.lock().default_fault = fault;
    }

    /// Sends the replies of all requests held by [`PlainFault::Hang`].
    pub fn resume(&self) {
        self.core.released.send_modify(|count| *count += 1);
    }

    /// Closes every connection; runs that have started stay in the record.
    pub fn drop_connections(&self) {
        self.server.cut();
    }

    /// Closes the listener and every connection.
    pub fn stop(&self) {
        self.server.close();
    }

    /// Listens again on the same address.
    pub fn restart(&self) -> io::Result<()> {
        self.server.reopen()
    }
}

impl Core {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("plain service lock poisoned")
    }

    fn next_fault(&self) -> Option<PlainFault> {
        let mut state = self.lock();
        let default_fault = state.default_fault;
        state.faults.pop_front().unwrap_or(default_fault)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Reply> {
        if request.method() != Method::POST {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Some(http::error(status, "only POST is served"));
        }
        let path = request.uri().path().to_owned();
        let key = owned_header(&request, "idempotency-key");
        let attempt = owned_header(&request, "x-attempt-id");
        let body = match http::read_body(request).await {
            Ok(body) => body.to_vec(),
            Err(reply) => return Some(reply),
        };
        let fault = self.next_fault();
        match fault {
            Some(PlainFault::Refuse) => {
                self.lock().refused += 1;
                return Some(http::refusal(Some(&attempt)));
            }
            Some(PlainFault::Drop) => {
                self.lock().refused += 1;
                return None;
            }
            _ => (),
        }
        let mut released = self.released.subscribe();
        let run = PlainRun {
            path,
            key,
            attempt,
            body,
        };
        let reply = self.run(run);
        if !self.config.run_time.is_zero() {
            tokio::time::sleep(self.config.run_time).await;
        }
        match fault {
            Some(PlainFault::LoseReply) => return None,
            // The core owns the sender, so only a release ends the wait.
            Some(PlainFault::Hang) => released.changed().await.ok()?,
            _ => (),
        }
        Some(reply)
    }

    /// Records the run and creates its reply.
    fn run(&self, run: PlainRun) -> Reply {
        let mut state = self.lock();
        let reply = http::json(
            StatusCode::OK,
            &Echo {
                service: &self.config.name,
                path: &run.path,
                key: &run.key,
                attempt: &run.attempt,
                run: state.runs.len() + 1,
                bytes: run.body.len(),
            },
        );
        state.runs.push(run);
        reply
    }
}

impl Service for Core {
    fn call(self: Arc<Self>, request: Request<Incoming>) -> ReplyFuture {
        Box::pin(self.handle(request))
    }
}

fn owned_header(request: &Request<Incoming>, name: &str) -> String {
    http::header(request, name).unwrap_or_default().to_owned()
}
