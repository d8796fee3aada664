//! Starting and stopping the front.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use primrose_core::clock::Clock;
use primrose_core::id::AccountId;
use primrose_core::id::RequestId;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::watch;

use crate::broker::Broker;
use crate::limits::Limits;
use crate::listen;
use crate::pass::PassKey;
use crate::serve::Service;
use crate::shared::Active;
use crate::shared::Shared;
use primrose_conn::ConnectionPool;

/// Longest pause between looks at the requests in flight while the front drains.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);
/// Time that cut requests have to tell their callers.
const CUT_TIME: Duration = Duration::from_millis(500);

/// The front could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The listen address could not be taken.
    #[snafu(display("failed to listen for callers on {addr}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// The thread or its runtime could not be made.
    #[snafu(display("failed to start the callers' thread"))]
    Thread {
        /// What the operating system says.
        source: std::io::Error,
    },
}

/// A request that a shutdown cut off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CutRequest {
    /// The request.
    pub request: RequestId,
    /// Its client account.
    pub account: AccountId,
}

/// The running front.
pub struct Front {
    addr: SocketAddr,
    drain: watch::Sender<bool>,
    cut: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    active: Arc<Active>,
    clock: Arc<dyn Clock>,
    thread: Option<JoinHandle<()>>,
}

impl Front {
    /// Listens for callers and serves them on a thread of its own.
    pub fn start(
        addr: SocketAddr,
        limits: Limits,
        passes: PassKey,
        broker: Arc<dyn Broker>,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, StartError> {
        let socket = TcpListener::bind(addr).context(ListenSnafu { addr })?;
        socket.set_nonblocking(true).context(ListenSnafu { addr })?;
        let addr = socket.local_addr().context(ListenSnafu { addr })?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let (drain, drained) = watch::channel(false);
        let (cut, cut_seen) = watch::channel(false);
        let (stop, stopped) = watch::channel(false);
        let active = Arc::new(Active::default());
        let limits = Arc::new(limits);
        let shared = Arc::new(Shared {
            broker,
            clock: Arc::clone(&clock),
            connections: Arc::new(ConnectionPool::new(limits.connect_time, Arc::clone(&clock))),
            limits: Arc::clone(&limits),
            active: Arc::clone(&active),
            passes,
            drain: drained.clone(),
            cut: cut_seen,
        });
        let service = Arc::new(Service::new(shared));
        let body = move || {
            runtime.block_on(serve(socket, service, limits, drained, stopped));
        };
        let thread = std::thread::Builder::new()
            .name("front".to_owned())
            .spawn(body)
            .context(ThreadSnafu)?;
        Ok(Self {
            addr,
            drain,
            cut,
            stop,
            active,
            clock,
            thread: Some(thread),
        })
    }

    /// Where callers connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Count of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.active.len()
    }

    /// Takes no new request from now on; those in flight go on.
    pub fn drain(&self) {
        self.drain.send_replace(true);
    }

    /// Whether [`Front::drain`] has been called.
    pub fn draining(&self) -> bool {
        *self.drain.borrow()
    }

    /// Waits until nothing is in flight, or until `give_up` says so; tells whether all ended.
    pub fn wait_idle(&self, give_up: &dyn Fn() -> bool) -> bool {
        while self.in_flight() > 0 {
            if give_up() {
                return false;
            }
            self.active.wait(DRAIN_PAUSE);
        }
        true
    }

    /// Ends the requests in flight and names them.
    pub fn cut(&self) -> Vec<CutRequest> {
        let cut = self.active.list();
        self.cut.send_replace(true);
        let end = self.clock.now() + CUT_TIME;
        self.wait_idle(&|| self.clock.now() >= end);
        cut.into_iter()
            .map(|(request, account)| CutRequest { request, account })
            .collect()
    }

    /// Ends the thread.
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
    socket: TcpListener,
    service: Arc<Service>,
    limits: Arc<Limits>,
    drained: watch::Receiver<bool>,
    mut stopped: watch::Receiver<bool>,
) {
    let listener = match tokio::net::TcpListener::from_std(socket) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("failed to hand the callers' socket to the runtime: {error}");
            return;
        }
    };
    listen::accept(listener, service, limits, drained).await;
    // Requests in flight go on until the front is stopped.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}
