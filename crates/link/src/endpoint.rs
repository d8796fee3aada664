//! The public handle to the link thread.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Sender;
use log::info;
use primrose_core::id::HostId;
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::ensure;
use snafu::OptionExt;
use snafu::ResultExt;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::accept::accept_loop;
use crate::block::BlockList;
use crate::block::BlockScope;
use crate::codec::encode;
use crate::config::LinkConfig;
use crate::dial::dial_loop;
use crate::dial::DialTarget;
use crate::error::EncodeSnafu;
use crate::error::FullSnafu;
use crate::error::ListenSnafu;
use crate::error::NoLinkSnafu;
use crate::error::SendError;
use crate::error::StartError;
use crate::error::ThreadSnafu;
use crate::error::TooLargeSnafu;
use crate::event::LinkEvent;
use crate::handshake::Identity;
use crate::log_rate_limit::LogRateLimiter;
use crate::registry::Change;
use crate::registry::ChangeHandler;
use crate::registry::Registry;
use crate::relay::forward_events;
use crate::relay::EventSender;
use crate::shared::Shared;
use crate::stats::add;
use crate::stats::Counters;
use crate::stats::Stats;

/// Interval at which a stopping endpoint checks whether its connections are closed.
const STOP_POLL: Duration = Duration::from_millis(1);
/// Longest time that a stopping endpoint waits for its connections to flush.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// The links of one router; runs one thread until [`Endpoint::stop`] or drop.
#[derive(Debug)]
pub struct Endpoint<M> {
    shared: Arc<Shared>,
    runtime: Handle,
    event_sender: EventSender<M>,
    dials: Mutex<HashMap<SocketAddr, DialTask>>,
    stop: Arc<Notify>,
    thread: Mutex<Option<JoinHandle<()>>>,
    message_type: PhantomData<fn(M)>,
}

/// A task that dials one address.
#[derive(Debug)]
struct DialTask {
    host: Option<HostId>,
    task: AbortHandle,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Endpoint<M> {
    /// Binds the listener and starts the link thread, which sends events to the channel.
    ///
    /// # Errors
    /// [`StartError`] if the address cannot be bound or the system lacks resources.
    pub fn start(config: LinkConfig, events: Sender<LinkEvent<M>>) -> Result<Self, StartError> {
        let addr = config.listen;
        let listener = TcpListener::bind(addr).context(ListenSnafu { addr })?;
        listener
            .set_nonblocking(true)
            .context(ListenSnafu { addr })?;
        let local = listener.local_addr().context(ListenSnafu { addr })?;
        let (event_sender, items) = EventSender::new();
        let change_events = event_sender.clone();
        let on_change = move |change| change_events.send_link_change(event_from_change(change));
        let shared = Arc::new(new_shared(config, local, Box::new(on_change)));
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let handle = runtime.handle().clone();
        let stop = Arc::new(Notify::new());
        handle.spawn(forward_events(items, events));
        let accept_shared = Arc::clone(&shared);
        let accept_events = event_sender.clone();
        handle.spawn(async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => accept_loop(listener, accept_shared, accept_events).await,
                Err(e) => log::error!("failed to listen for peers: {e}"),
            }
        });
        let thread = spawn_thread(runtime, Arc::clone(&shared), Arc::clone(&stop))?;
        info!(addr:% = shared.me.addr; "listening for peers");
        Ok(Self {
            shared,
            runtime: handle,
            event_sender,
            dials: Mutex::default(),
            stop,
            thread: Mutex::new(Some(thread)),
            message_type: PhantomData,
        })
    }

    /// Keeps dialing a host until [`Endpoint::disconnect`]; no-op if it is already being dialed.
    pub fn connect(&self, host: &HostId, addr: SocketAddr) {
        self.dial(Some(host.clone()), addr);
    }

    /// Keeps dialing an address whose host is unknown; stops if it is this router's own address.
    pub fn connect_seed(&self, addr: SocketAddr) {
        self.dial(None, addr);
    }

    /// Stops dialing a seed address and closes the link that resulted from it.
    pub fn disconnect_seed(&self, addr: SocketAddr) {
        let mut dials = self.dials.lock().expect("dial lock poisoned");
        if dials.get(&addr).is_some_and(|d| d.host.is_none()) {
            if let Some(dial) = dials.remove(&addr) {
                dial.task.abort();
            }
        }
    }

    /// Stops dialing a host and closes the link to it.
    pub fn disconnect(&self, host: &HostId) {
        let mut dials = self.dials.lock().expect("dial lock poisoned");
        dials.retain(|_, dial| {
            let keep = dial.host.as_ref() != Some(host);
            if !keep {
                dial.task.abort();
            }
            keep
        });
        drop(dials);
        self.shared.registry.disconnect(host);
    }

    /// Queues a message without blocking.
    ///
    /// # Errors
    /// [`SendError`] if the message was not queued; it is then not sent.
    pub fn send(&self, host: &HostId, message: &M) -> Result<(), SendError> {
        let bytes = match encode(message) {
            Ok(bytes) => bytes,
            Err(e) => {
                let cause = e.to_string();
                return EncodeSnafu { cause }.fail();
            }
        };
        let limit = self.shared.limits.max_frame_bytes;
        let size = bytes.len();
        ensure!(size <= limit, TooLargeSnafu { bytes: size, limit });
        let link = self.shared.registry.queue_and_counters(host);
        let (queue, counters) = link.context(NoLinkSnafu { host })?;
        if !queue.push(bytes) {
            add(&counters.dropped, 1);
            add(&self.shared.total.dropped, 1);
            return FullSnafu { host }.fail();
        }
        Ok(())
    }

    /// Returns the address that is advertised to peers.
    pub fn local_addr(&self) -> SocketAddr {
        self.shared.me.addr
    }

    /// Returns the current statistics.
    pub fn stats(&self) -> Stats {
        Stats {
            total: self.shared.total.snapshot(),
            links: self.shared.registry.stats(),
            refused: self.shared.refused.load(Ordering::Relaxed),
        }
    }

    /// Blocks or unblocks a host or zone, to simulate a network partition.
    ///
    /// A hook for fault tests and measurements; no setting uses it.
    pub fn set_blocked(&self, scope: BlockScope, blocked: bool) {
        self.shared.block_list.set_blocked(scope, blocked);
    }

    /// Starts a dialing task for an address unless one is running.
    fn dial(&self, host: Option<HostId>, addr: SocketAddr) {
        let mut dials = self.dials.lock().expect("dial lock poisoned");
        if let Some(old) = dials.get_mut(&addr) {
            let running = !old.task.is_finished();
            if running && (old.host == host || host.is_none()) {
                return;
            }
            if running && old.host.is_none() {
                // The seed turned out to be a host to connect to: keep its link.
                old.host = host;
                return;
            }
            old.task.abort();
        }
        let target = DialTarget {
            host: host.clone(),
            addr,
        };
        let task = dial_loop(target, Arc::clone(&self.shared), self.event_sender.clone());
        let task = self.runtime.spawn(task).abort_handle();
        dials.insert(addr, DialTask { host, task });
    }
}

impl<M> Endpoint<M> {
    /// Flushes and closes all links and joins the thread.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.stop.notify_one();
        let thread = self.thread.lock().expect("thread lock poisoned").take();
        if let Some(thread) = thread {
            if thread.join().is_err() {
                log::error!("the link thread panicked");
            }
        }
    }
}

impl<M> Drop for Endpoint<M> {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Builds the shared state from the configuration.
fn new_shared(config: LinkConfig, local: SocketAddr, on_change: ChangeHandler) -> Shared {
    Shared {
        registry: Arc::new(Registry::new(config.me.clone(), config.limits, on_change)),
        me: Identity {
            member: config.me,
            zone: config.zone,
            addr: config.advertise.unwrap_or(local),
        },
        keys: config.keys,
        limits: config.limits,
        block_list: BlockList::default(),
        total: Arc::new(Counters::default()),
        refused: AtomicU64::new(0),
        stopping: AtomicBool::new(false),
        log_rate_limit: LogRateLimiter::default(),
    }
}

/// Starts the thread that runs all tasks until `stop` is notified.
fn spawn_thread(
    runtime: Runtime,
    shared: Arc<Shared>,
    stop: Arc<Notify>,
) -> Result<JoinHandle<()>, StartError> {
    let work = async move {
        stop.notified().await;
        let closing = shared.registry.close_all();
        let closed = async {
            while closing.iter().any(|link| link.strong_count() > 0) {
                sleep(STOP_POLL).await;
            }
        };
        let _ = tokio::time::timeout(STOP_TIMEOUT, closed).await;
    };
    let run = move || runtime.block_on(work);
    thread::Builder::new()
        .name("link".to_owned())
        .spawn(run)
        .context(ThreadSnafu)
}

/// Converts a registry change into an event.
fn event_from_change<M>(change: Change) -> LinkEvent<M> {
    match change {
        Change::Up(peer) => LinkEvent::Up {
            member: peer.member,
            zone: peer.zone,
            addr: peer.addr,
        },
        Change::Down(member, reason) => LinkEvent::Down { member, reason },
    }
}
