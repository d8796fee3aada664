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

use crate::border::Dialect;
use crate::border::Feed;
use crate::border::Platform;
use crate::busy::Busy;
use crate::control;
use crate::control::Duty;
use crate::event::Event;
use crate::feed;
use crate::gossip;
use crate::ingress;
use crate::log::Log;
use crate::shared::Shared;
use crate::watch;

/// Longest time for a connection to a server: hosts of a deployment are a few milliseconds apart,
/// and one lost packet is repeated after 200 ms or more.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Part of the descriptors that callers' kept connections may take. Beyond it connections are
/// closed after their answers: idle ones of a few busy callers would otherwise fill the rest, and
/// then nobody can connect.
const CALLERS_PART: f64 = 0.25;
/// Idle connections kept to one server; all gateways together stay below what it accepts.
const IDLE_CONNECTIONS: usize = 8;
/// Part of the grace after which idle connections are closed and streams are not begun any more.
/// By then the entry has long stopped sending connections, and what is left lets a stream end.
const CLOSE_PART: f64 = 0.42;
/// Part of the grace after which new streams are refused: the entry has asked for readiness twice
/// by then, and three quarters of the grace let a long stream end.
const STREAMS_PART: f64 = 0.25;
/// Time before the end of the grace at which the process ends.
const END_AHEAD: Duration = Duration::from_millis(350);
/// How often the end of a shutdown is looked for.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// How long the platform may take to end the lease.
const RETIRE_TIME: Duration = Duration::from_millis(300);

/// Renders the metrics page.
pub type Render = Arc<dyn Fn() -> String>;
/// Reads the settings again; returns addresses of other gateways if they changed.
pub type Reload = Box<dyn FnMut(bool) -> Result<Option<Vec<IpAddr>>, String>>;

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
    pub descriptors: usize,
    /// Time from the signal to the end of a shutdown.
    pub grace: Duration,
    /// What callers and servers speak.
    pub dialect: Box<dyn Dialect>,
    /// The platform's store.
    pub platform: Box<dyn Platform>,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// Renders the metrics page.
    pub render: Option<Render>,
    /// Reads the settings again.
    pub reload: Reload,
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
pub struct Ended {
    /// Requests that were cut off.
    pub cut: usize,
}

/// Runs a gateway on this thread until a signal ends it.
pub fn run(config: Config) -> Result<Ended, StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let local = tokio::task::LocalSet::new();
    let ended = local.block_on(&runtime, serve(config));
    // Tasks that still wait hold nothing that has to be saved.
    runtime.shutdown_background();
    ended
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

async fn serve(config: Config) -> Result<Ended, StartError> {
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
    let ended = drain(&shared, grace).await;
    if let Some(lease) = lease.get() {
        // The lease ends by itself soon after, should this fail.
        let _ = tokio::time::timeout(RETIRE_TIME, shared.platform.retire(lease)).await;
    }
    shared.log.event(&Event::Stopped { cut: ended.cut });
    shared.log.end();
    Ok(ended)
}

fn start(
    config: Config,
    listeners: Listeners,
    hangups: Signal,
    lease: &Rc<Cell<Option<u64>>>,
) -> Result<Rc<Shared>, StartError> {
    let clock = config.clock;
    let me = config.fleet.incarnation;
    let zone = config.fleet.zone.clone();
    let log = Log::start(config.host, Arc::clone(&clock), std::io::stdout());
    let mut fleet = Fleet::new(config.fleet);
    for seed in config.seeds {
        fleet.add_contact(seed, clock.now());
    }
    let connections =
        |idle| Connections::new(CONNECT_TIME, Arc::clone(&clock)).with_idle_connections(idle);
    let shared = Rc::new(Shared {
        fleet: RefCell::new(fleet),
        servers: connections(IDLE_CONNECTIONS),
        peers: connections(1),
        clock,
        dialect: config.dialect,
        platform: config.platform,
        control_port: config.control.port(),
        log: log.context(RuntimeSnafu)?,
        running: Cell::new(0),
        draining: Cell::new(false),
        refuses_streams: Cell::new(false),
        busy: Busy::default(),
        closing: Notify::new(),
        is_closing: Cell::new(false),
        callers: Cell::new(0),
        callers_many: (config.descriptors as f64 * CALLERS_PART) as usize,
        peers_lost: Cell::new(false),
        accounts: crate::series::Accounts::default(),
    });
    let digests = listeners.digests;
    let port = config.digest_port;
    let share = || Rc::clone(&shared);
    spawn_local(ingress::listen(share(), listeners.front));
    spawn_local(control::listen(share(), listeners.ready, Duty::Ready));
    let control = Duty::Control(config.render);
    if let Some(metrics) = listeners.metrics {
        spawn_local(control::listen(share(), metrics, control.clone()));
    }
    spawn_local(control::listen(share(), listeners.control, control));
    spawn_local(feed::follow(share(), Feed::Tables));
    spawn_local(feed::follow(share(), Feed::Servers));
    spawn_local(feed::enrol(share(), Rc::clone(lease)));
    spawn_local(gossip::tell(share(), Rc::clone(&digests), port));
    spawn_local(gossip::hear(share(), digests));
    spawn_local(gossip::catch_up(share()));
    spawn_local(watch::settings(share(), hangups, config.reload));
    shared.log.event(&Event::Started {
        incarnation: me,
        zone,
    });
    Ok(shared)
}

/// Ends without loss: answers what was asked, closes connections after their answers, and goes
/// on taking requests that come over open ones until shortly before the grace is over.
async fn drain(shared: &Rc<Shared>, grace: Duration) -> Ended {
    shared.draining.set(true);
    shared.log.event(&Event::Stopping {
        running: shared.running.get(),
    });
    let began = shared.now();
    loop {
        tokio::time::sleep(DRAIN_LOOK).await;
        let passed = shared.now().saturating_sub(began);
        shared
            .refuses_streams
            .set(passed >= grace.mul_f64(STREAMS_PART));
        let close = passed >= grace.mul_f64(CLOSE_PART);
        if close && !shared.is_closing.replace(true) {
            shared.closing.notify_waiters();
        }
        let idle = shared.callers.get() == 0;
        if close && idle || passed + END_AHEAD >= grace {
            let cut = shared.running.get();
            return Ended { cut };
        }
    }
}
