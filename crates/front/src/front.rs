//! Starts and stops the front.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::id::AccountId;
use primrose_core::id::RequestId;
use primrose_core::memory::MemoryBudget;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::broker::Broker;
use crate::limits::Limits;
use crate::listen;
use crate::resume_token::ResumeTokenKey;
use crate::serve::Service;
use crate::shared::InFlight;
use crate::shared::RefusedBodies;
use crate::shared::Shared;
use primrose_conn::ConnectionPool;

/// Maximum time between checks of the requests in flight while the front drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that aborted requests have to send their callers an error.
const ABORT_GRACE: Duration = Duration::from_millis(500);

/// The front failed to start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Binding the listen address failed.
    #[snafu(display("failed to listen for callers on {addr}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Creating the thread or its runtime failed.
    #[snafu(display("failed to start the callers' thread"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// A request aborted by a shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AbortedRequest {
    /// The request.
    pub request: RequestId,
    /// Its client account.
    pub account: AccountId,
}

/// Handle to the running front.
pub struct Front {
    addr: SocketAddr,
    drain: watch::Sender<bool>,
    abort: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    requests: Arc<InFlight>,
    clock: Arc<dyn Clock>,
    thread: Option<JoinHandle<()>>,
}

impl Front {
    /// Listens for callers and serves them on a dedicated thread.
    pub fn start(
        addr: SocketAddr,
        limits: Limits,
        token_key: ResumeTokenKey,
        broker: Arc<dyn Broker>,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, StartError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let listener = {
            let _entered = runtime.enter();
            primrose_conn::listen(addr).context(ListenSnafu { addr })?
        };
        let addr = listener.local_addr().context(ListenSnafu { addr })?;
        let (drain, drained) = watch::channel(false);
        let (abort, aborted) = watch::channel(false);
        let (stop, stopped) = watch::channel(false);
        let requests = Arc::new(InFlight::default());
        let limits = Arc::new(limits);
        let shared = Arc::new(Shared {
            broker,
            clock: Arc::clone(&clock),
            connections: Arc::new(ConnectionPool::new(
                limits.connect_timeout,
                Arc::clone(&clock),
            )),
            memory: MemoryBudget::new(limits.memory_bounds()),
            limits: Arc::clone(&limits),
            refused_bodies: RefusedBodies::default(),
            in_flight: Arc::clone(&requests),
            token_key,
            drain: drained.clone(),
            abort: aborted,
        });
        let service = Arc::new(Service::new(shared));
        let run = move || {
            runtime.block_on(serve(listener, service, limits, drained, stopped));
        };
        let thread = std::thread::Builder::new()
            .name("front".to_owned())
            .spawn(run)
            .context(ThreadSnafu)?;
        Ok(Self {
            addr,
            drain,
            abort,
            stop,
            requests,
            clock,
            thread: Some(thread),
        })
    }

    /// Returns the address that callers connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Refuses new requests from now on; those in flight continue.
    pub fn drain(&self) {
        self.drain.send_replace(true);
    }

    /// Returns whether [`Front::drain`] has been called.
    pub fn draining(&self) -> bool {
        *self.drain.borrow()
    }

    /// Waits until nothing is in flight or `give_up` returns true; returns whether all ended.
    pub fn wait_idle(&self, give_up: &dyn Fn() -> bool) -> bool {
        while self.in_flight() > 0 {
            if give_up() {
                return false;
            }
            self.requests.wait(DRAIN_POLL_INTERVAL);
        }
        true
    }

    /// Aborts the requests in flight and returns them.
    pub fn abort_in_flight(&self) -> Vec<AbortedRequest> {
        let aborted = self.requests.list();
        self.abort.send_replace(true);
        let end = self.clock.now() + ABORT_GRACE;
        self.wait_idle(&|| self.clock.now() >= end);
        aborted
            .into_iter()
            .map(|(request, account)| AbortedRequest { request, account })
            .collect()
    }

    /// Stops the thread and waits for it to end.
    pub fn stop(&mut self) {
        self.drain.send_replace(true);
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            if thread.join().is_err() {
                log::error!("the callers' thread panicked");
            }
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn serve(
    listener: TcpListener,
    service: Arc<Service>,
    limits: Arc<Limits>,
    drained: watch::Receiver<bool>,
    mut stopped: watch::Receiver<bool>,
) {
    listen::accept(listener, service, limits, drained).await;
    // Requests in flight continue until the front is stopped.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}
