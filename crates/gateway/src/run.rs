//! Startup and graceful shutdown of a gateway.
//!
//! [`run`] opens the listeners, starts all tasks on one thread and waits for a signal. It then lets
//! the requests in progress finish for as long as the grace period allows.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use primrose_conn::ConnectionPool;
use primrose_conn::ReceiveBuffers;
use primrose_core::clock::Clock;
use primrose_core::id::HostId;
use primrose_core::memory::MemoryBounds;
use primrose_core::memory::MemoryBudget;
use primrose_fleet::Fleet;
use primrose_fleet::FleetConfig;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::adapter::Feed;
use crate::adapter::Platform;
use crate::adapter::Protocol;
use crate::bound;
use crate::bound::BoundedCounts;
use crate::callers::connection_limit;
use crate::callers::Callers;
use crate::control;
use crate::control::ListenerRole;
use crate::event::Event;
use crate::feed;
use crate::feed::LeaseCell;
use crate::gossip;
use crate::ingress;
use crate::list_check;
use crate::list_check::ListCheck;
use crate::log::Log;
use crate::memory::AnswerMemory;
use crate::origins;
use crate::overload;
use crate::overload::LoadShedder;
use crate::quarantine;
use crate::reload;
use crate::shared::Shared;

/// Timeout for connecting to a backend server or another gateway. Hosts of a deployment are a few
/// milliseconds apart, and a lost packet is retransmitted after 200 ms or more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Fraction of the file descriptors that callers' keep-alive connections may use. With more of them
/// open, idle ones are closed: otherwise those of a few busy callers could use up all descriptors,
/// and no new caller could connect.
const KEEP_ALIVE_FRACTION: f64 = 0.25;
/// Idle connections kept to one backend server. The sum over all gateways stays below the number
/// of connections that a server accepts.
const MAX_IDLE_PER_SERVER: usize = 8;
/// Fraction of the grace period after which callers' connections are closed, each after the
/// response in progress. The load balancer has long stopped opening connections by then, and the
/// rest of the period lets a running stream end.
const CLOSE_FRACTION: f64 = 0.42;
/// Fraction of the grace period after which new streams are refused, and other requests that may take
/// longer than the rest of the period. The load balancer has checked readiness twice by then, and three
/// quarters of the period let a long stream end.
const REFUSE_FRACTION: f64 = 0.25;
/// Part of the process's memory for enlarged receive buffers of callers.
const RECEIVE_MEMORY_DIVISOR: usize = 16;
/// Part of the process's memory in which answers are buffered.
const ANSWER_MEMORY_DIVISOR: usize = 8;
/// How long before the end of the grace period the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(350);
/// How long before the exit the requests in progress are answered that no server has answered.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(150);
/// How often a shutdown checks whether it is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for revoking the lease at the platform.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Renders the page of the metrics endpoint.
pub type RenderMetrics = Arc<dyn Fn() -> String>;
/// Rereads the settings and returns the seed addresses, or `None` if nothing changed. The argument
/// is true if a signal requested the reload; the seeds are then returned in any case.
pub type ReloadSettings = Box<dyn FnMut(bool) -> Result<Option<Vec<IpAddr>>, String>>;

/// Configuration of a gateway.
pub struct Config {
    /// Name of the host.
    pub host: HostId,
    /// Identity of the gateway and bounds that hold for the whole fleet.
    pub fleet: FleetConfig,
    /// Address of the listener for callers.
    pub front: SocketAddr,
    /// Address of the listener for readiness checks.
    pub ready: SocketAddr,
    /// Address of the listener for operators and other gateways.
    pub control: SocketAddr,
    /// Additional address at which the control pages, and so the metrics, are served.
    pub metrics: Option<SocketAddr>,
    /// UDP port for digests, the same on all hosts.
    pub digest_port: u16,
    /// Addresses of gateways to contact first.
    pub seeds: Vec<IpAddr>,
    /// File descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Longest time from the signal to the exit of the process.
    pub grace: Duration,
    /// Translation of the headers of requests and responses.
    pub protocol: Box<dyn Protocol>,
    /// Client of the platform's store.
    pub platform: Box<dyn Platform>,
    /// Source of the time.
    pub clock: Arc<dyn Clock>,
    /// Renders the page of the metrics endpoint.
    pub render_metrics: Option<RenderMetrics>,
    /// Rereads the settings.
    pub reload_settings: ReloadSettings,
}

/// Why a gateway did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener could not be opened.
    #[snafu(display("failed to listen on {addr}"))]
    Listen {
        /// Address of the listener.
        addr: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The runtime, a signal handler or the log thread could not be started.
    #[snafu(display("failed to start the runtime"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
}

/// How a gateway shut down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExitSummary {
    /// Requests that were still in progress at the exit.
    pub interrupted: usize,
}

/// Runs a gateway on this thread until a signal stops it.
pub fn run(config: Config) -> Result<ExitSummary, StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let local = tokio::task::LocalSet::new();
    let summary = local.block_on(&runtime, serve(config));
    // The remaining tasks have no state that must be saved.
    runtime.shutdown_background();
    summary
}

struct Listeners {
    front: TcpListener,
    ready: TcpListener,
    control: TcpListener,
    metrics: Option<TcpListener>,
    digests: Rc<UdpSocket>,
}

impl Listeners {
    async fn open(config: &Config) -> Result<Self, StartError> {
        let digests = SocketAddr::new(config.fleet.ip, config.digest_port);
        let metrics = match config.metrics {
            Some(addr) => Some(listen(addr).await?),
            None => None,
        };
        let socket = UdpSocket::bind(digests).await;
        Ok(Self {
            front: primrose_conn::listen(config.front)
                .context(ListenSnafu { addr: config.front })?,
            ready: listen(config.ready).await?,
            control: listen(config.control).await?,
            metrics,
            digests: Rc::new(socket.context(ListenSnafu { addr: digests })?),
        })
    }
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.context(ListenSnafu { addr })
}

async fn serve(config: Config) -> Result<ExitSummary, StartError> {
    // Installed first: without a handler, a signal kills the process.
    let mut stop = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let hangups = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    let listeners = Listeners::open(&config).await?;
    let grace = config.grace;
    let lease = LeaseCell::default();
    let shared = start(config, listeners, hangups, &lease)?;
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    let summary = drain(&shared, grace).await;
    if let Some(lease) = lease.get() {
        // If this fails, the lease expires by itself soon after.
        let _ = tokio::time::timeout(DEREGISTER_TIMEOUT, shared.platform.deregister(lease)).await;
    }
    shared.log.event(&Event::Stopped {
        cut: summary.interrupted,
    });
    shared.log.close();
    Ok(summary)
}

fn start(
    config: Config,
    listeners: Listeners,
    hangups: Signal,
    lease: &LeaseCell,
) -> Result<Rc<Shared>, StartError> {
    let clock = config.clock;
    let incarnation = config.fleet.incarnation;
    let zone = config.fleet.zone.clone();
    let log = Log::start(config.host, Arc::clone(&clock), std::io::stdout());
    let mut fleet = Fleet::new(config.fleet);
    for seed in config.seeds {
        fleet.add_contact(seed, clock.now());
    }
    let connections =
        |idle| ConnectionPool::new(CONNECT_TIMEOUT, Arc::clone(&clock)).with_max_idle(idle);
    let memory = MemoryBudget::new(MemoryBounds::of_process(config.memory));
    let callers = connection_limit(config.max_descriptors, memory.bounds().lower);
    let shared = Rc::new(Shared {
        fleet: RefCell::new(fleet),
        server_connections: connections(MAX_IDLE_PER_SERVER),
        peer_connections: connections(1),
        clock,
        protocol: config.protocol,
        platform: config.platform,
        control_port: config.control.port(),
        log: log.context(RuntimeSnafu)?,
        list_check: ListCheck::default(),
        answer_memory: AnswerMemory::within(&memory, config.memory / ANSWER_MEMORY_DIVISOR),
        memory,
        callers: Callers::new(callers),
        receive_buffers: ReceiveBuffers::within(config.memory / RECEIVE_MEMORY_DIVISOR),
        bounded: BoundedCounts::default(),
        running: Cell::new(0),
        draining: Cell::new(false),
        refuses_streams: Cell::new(false),
        answer_by: Cell::new(None),
        exiting: Notify::new(),
        is_exiting: Cell::new(false),
        shedder: LoadShedder::default(),
        closing: Notify::new(),
        is_closing: Cell::new(false),
        caller_connections: Cell::new(0),
        idle: Rc::default(),
        keep_alive_limit: (config.max_descriptors as f64 * KEEP_ALIVE_FRACTION) as usize,
        snapshots_unavailable: Cell::new(false),
        account_metrics: crate::account_metrics::AccountMetrics::default(),
    });
    let digests = listeners.digests;
    let port = config.digest_port;
    let handle = || Rc::clone(&shared);
    spawn_local(ingress::listen(handle(), listeners.front));
    spawn_local(control::listen(
        handle(),
        listeners.ready,
        ListenerRole::Ready,
    ));
    let control = ListenerRole::Control(config.render_metrics);
    if let Some(metrics) = listeners.metrics {
        spawn_local(control::listen(handle(), metrics, control.clone()));
    }
    spawn_local(control::listen(handle(), listeners.control, control));
    spawn_local(feed::follow(handle(), Feed::Tables));
    spawn_local(feed::follow(handle(), Feed::Servers));
    spawn_local(list_check::serve(handle()));
    spawn_local(quarantine::load(handle()));
    spawn_local(quarantine::write_after_restores(handle()));
    spawn_local(origins::load(handle()));
    spawn_local(origins::store(handle(), Rc::clone(lease)));
    spawn_local(feed::keep_registered(handle(), Rc::clone(lease)));
    spawn_local(gossip::publish_digests(handle(), Rc::clone(&digests), port));
    spawn_local(gossip::receive_digests(handle(), digests));
    spawn_local(gossip::fetch_snapshots(handle()));
    spawn_local(bound::check_callers(handle()));
    spawn_local(overload::measure_lateness(handle()));
    spawn_local(reload::watch_settings(
        handle(),
        hangups,
        config.reload_settings,
    ));
    shared.log.event(&Event::Started { incarnation, zone });
    Ok(shared)
}

/// Shuts down gracefully: responds to the requests in progress and closes connections after their
/// responses. Streams, and requests that may take longer than the rest of the grace period, are
/// accepted until [`REFUSE_FRACTION`] of it has passed, others until its end. Connections are closed
/// from [`CLOSE_FRACTION`] on. [`LAST_ANSWERS_TIME`] before the exit, callers are told that the outcome
/// of the requests in progress is not known; streams that have begun are interrupted by the exit.
async fn drain(shared: &Rc<Shared>, grace: Duration) -> ExitSummary {
    shared.draining.set(true);
    shared.log.event(&Event::Stopping {
        running: shared.running.get(),
    });
    let started = shared.now();
    let exit_time = grace.saturating_sub(EXIT_MARGIN);
    let answer_time = exit_time.saturating_sub(LAST_ANSWERS_TIME);
    loop {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let elapsed = shared.now().saturating_sub(started);
        if elapsed >= grace.mul_f64(REFUSE_FRACTION) {
            shared.refuses_streams.set(true);
            shared.answer_by.set(Some(started + answer_time));
        }
        let close = elapsed >= grace.mul_f64(CLOSE_FRACTION);
        if close && !shared.is_closing.replace(true) {
            shared.closing.notify_waiters();
        }
        if elapsed >= answer_time && !shared.is_exiting.replace(true) {
            shared.exiting.notify_waiters();
        }
        let idle = shared.caller_connections.get() == 0;
        if close && idle || elapsed >= exit_time {
            let interrupted = shared.running.get();
            return ExitSummary { interrupted };
        }
    }
}
