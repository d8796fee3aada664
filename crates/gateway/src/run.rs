//! Starting a gateway, and ending it without loss.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use primrose_conn::Connections;
use primrose_core::clock::Clock;
use primrose_core::id::HostId;
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
use crate::busy::BusyDetector;
use crate::control;
use crate::control::ListenerRole;
use crate::event::Event;
use crate::feed;
use crate::gossip;
use crate::ingress;
use crate::log::Log;
use crate::reload;
use crate::shared::Shared;

/// Longest time for a connection to a server: hosts of a deployment are a few milliseconds apart,
/// and one lost packet is repeated after 200 ms or more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Part of the descriptors that callers' kept connections may take. Beyond it connections are
/// closed after their answers: idle ones of a few busy callers would otherwise fill the rest, and
/// then nobody can connect.
const KEEP_ALIVE_FRACTION: f64 = 0.25;
/// Idle connections kept to one server; all gateways together stay below what it accepts.
const MAX_IDLE_PER_SERVER: usize = 8;
/// Part of the grace after which idle connections are closed and streams are not begun any more.
/// By then the entry has long stopped sending connections, and what is left lets a stream end.
const CLOSE_FRACTION: f64 = 0.42;
/// Part of the grace after which new streams are refused: the entry has asked for readiness twice
/// by then, and three quarters of the grace let a long stream end.
const REFUSE_STREAMS_FRACTION: f64 = 0.25;
/// Time before the end of the grace at which the process ends.
const EXIT_MARGIN: Duration = Duration::from_millis(350);
/// How often the end of a shutdown is looked for.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the platform may take to end the lease.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Renders the metrics page.
pub type RenderMetrics = Arc<dyn Fn() -> String>;
/// Reads the settings again; returns addresses of other gateways if they changed.
pub type ReloadSettings = Box<dyn FnMut(bool) -> Result<Option<Vec<IpAddr>>, String>>;

/// What a gateway is started with.
pub struct Config {
    /// Name of its host.
    pub host: HostId,
    /// Itself and its deployment.
    pub fleet: FleetConfig,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where operators and other gateways connect.
    pub control: SocketAddr,
    /// Where metrics are read, beside the control listener.
    pub metrics: Option<SocketAddr>,
    /// Port of digests, on all hosts.
    pub digest_port: u16,
    /// Addresses of other gateways to begin with.
    pub seeds: Vec<IpAddr>,
    /// Descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Time from the signal to the end of a shutdown.
    pub grace: Duration,
    /// What callers and servers speak.
    pub protocol: Box<dyn Protocol>,
    /// The platform's store.
    pub platform: Box<dyn Platform>,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// Renders the metrics page.
    pub render_metrics: Option<RenderMetrics>,
    /// Reads the settings again.
    pub reload_settings: ReloadSettings,
}

/// Why a gateway did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener could not be opened.
    #[snafu(display("failed to listen on {addr}"))]
    Listen {
        /// Where.
        addr: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The runtime could not be made.
    #[snafu(display("failed to start the runtime"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
}

/// How a gateway ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExitSummary {
    /// Requests that were cut off.
    pub interrupted: usize,
}

/// Runs a gateway on this thread until a signal ends it.
pub fn run(config: Config) -> Result<ExitSummary, StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let local = tokio::task::LocalSet::new();
    let summary = local.block_on(&runtime, serve(config));
    // Tasks that still wait hold nothing that has to be saved.
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
            front: listen(config.front).await?,
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
    // Before anything else: a signal that nobody handles ends the process.
    let mut stop = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let hangups = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    let listeners = Listeners::open(&config).await?;
    let grace = config.grace;
    let lease = Rc::new(Cell::new(None));
    let shared = start(config, listeners, hangups, &lease)?;
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    let summary = drain(&shared, grace).await;
    if let Some(lease) = lease.get() {
        // The lease ends by itself soon after, should this fail.
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
    lease: &Rc<Cell<Option<u64>>>,
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
        |idle| Connections::new(CONNECT_TIMEOUT, Arc::clone(&clock)).with_idle_connections(idle);
    let shared = Rc::new(Shared {
        fleet: RefCell::new(fleet),
        server_connections: connections(MAX_IDLE_PER_SERVER),
        peer_connections: connections(1),
        clock,
        protocol: config.protocol,
        platform: config.platform,
        control_port: config.control.port(),
        log: log.context(RuntimeSnafu)?,
        running: Cell::new(0),
        draining: Cell::new(false),
        refuses_streams: Cell::new(false),
        busy: BusyDetector::default(),
        closing: Notify::new(),
        is_closing: Cell::new(false),
        caller_connections: Cell::new(0),
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
    spawn_local(feed::keep_registered(handle(), Rc::clone(lease)));
    spawn_local(gossip::publish_digests(handle(), Rc::clone(&digests), port));
    spawn_local(gossip::receive_digests(handle(), digests));
    spawn_local(gossip::fetch_snapshots(handle()));
    spawn_local(reload::watch_settings(
        handle(),
        hangups,
        config.reload_settings,
    ));
    shared.log.event(&Event::Started { incarnation, zone });
    Ok(shared)
}

/// Ends without loss: answers what was asked, closes connections after their answers, and goes
/// on taking requests that come over open ones until shortly before the grace is over.
async fn drain(shared: &Rc<Shared>, grace: Duration) -> ExitSummary {
    shared.draining.set(true);
    shared.log.event(&Event::Stopping {
        running: shared.running.get(),
    });
    let started = shared.now();
    loop {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let elapsed = shared.now().saturating_sub(started);
        shared
            .refuses_streams
            .set(elapsed >= grace.mul_f64(REFUSE_STREAMS_FRACTION));
        let close = elapsed >= grace.mul_f64(CLOSE_FRACTION);
        if close && !shared.is_closing.replace(true) {
            shared.closing.notify_waiters();
        }
        let idle = shared.caller_connections.get() == 0;
        if close && idle || elapsed + EXIT_MARGIN >= grace {
            let interrupted = shared.running.get();
            return ExitSummary { interrupted };
        }
    }
}
