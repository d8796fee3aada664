//! One router process: starts its threads and shuts them down.
//!
//! [`Router::start`] takes [`Settings`] and an [`Environment`] that holds the external services, so
//! that the daemon, the quick start and tests run the same code with different clocks and platforms.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::bounded;
use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use primrose_claim::sweep::SweepLimits;
use primrose_claim::sweep::Sweeper;
use primrose_claim::ClaimWriter;
use primrose_core::clock::Clock;
use primrose_core::id::Member;
use primrose_front::Front;
use primrose_front::ResumeTokenKey;
use primrose_link::Endpoint;
use primrose_link::LinkConfig;
use primrose_report::calendar::Calendar;
use primrose_report::observation::Observation;
use primrose_settings::Settings;
use rand::Rng;
use snafu::ResultExt;

use crate::broker::ChannelBroker;
use crate::decide;
use crate::decide::Decider;
use crate::duty::claims;
use crate::duty::claims::ClaimThread;
use crate::duty::hosts::HostListThread;
use crate::duty::loads::LoadThread;
use crate::duty::operator::OperatorServer;
use crate::duty::orders::OrderThread;
use crate::duty::page::PageBuilder;
use crate::duty::sweep::SweepThread;
use crate::duty::watch::WatchThread;
use crate::duty::StopFlag;
use crate::input;
use crate::input::Input;
use crate::message::PeerMessage;
use crate::message::DOCUMENT_KINDS;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;
use crate::snapshots::Snapshots;

pub use primrose_front::AbortedRequest;

mod config;
mod counting;
mod environment;
mod error;

pub use environment::Environment;
pub use environment::HostLists;
pub use environment::Sharing;
pub use error::RouterError;

use config::front_limits;
use config::member_settings;
use error::DaySnafu;
use error::FrontSnafu;
use error::LinkSnafu;
use error::OperatorSnafu;
use error::ThreadSnafu;

/// Capacity of the channel of link events to the deciding thread.
const LINK_QUEUE_CAPACITY: usize = 1024;

/// Result of a shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shutdown {
    /// Requests that were cut off; empty if all finished.
    pub cut: Vec<AbortedRequest>,
}

/// A running router.
pub struct Router {
    me: Member,
    front: Front,
    endpoint: Arc<Endpoint<PeerMessage>>,
    operators: SocketAddr,
    input_sender: Sender<Input>,
    reporter: Reporter,
    stop: Arc<StopFlag>,
    /// Threads that stop promptly and are joined. Threads that block in calls to the platform are
    /// not joined: they stop when their call returns, and hold nothing that must be released.
    threads: Vec<JoinHandle<()>>,
    drain_requested: Receiver<()>,
    clock: Arc<dyn Clock>,
}

impl Router {
    /// Starts all threads.
    ///
    /// # Errors
    /// [`RouterError`] if an address cannot be bound or a thread cannot be started; nothing is left
    /// running in that case.
    pub fn start(settings: &Settings, environment: Environment) -> Result<Self, RouterError> {
        let me = Member {
            host: settings.router.host.clone(),
            incarnation: environment.incarnation,
        };
        let stop = StopFlag::new();
        let snapshots = Arc::new(Snapshots::default());
        let (input_sender, inputs) = bounded(input::QUEUE_CAPACITY);
        let (claim_sender, claim_inputs) = bounded(claims::QUEUE_CAPACITY);
        let (link_sender, link_events) = bounded(LINK_QUEUE_CAPACITY);
        let (drain, drain_requested) = bounded(1);

        let zone = settings.router.zone.clone();
        let config = LinkConfig::new(
            me.clone(),
            zone,
            settings.listen.peers,
            environment.keys.clone(),
        );
        let endpoint = Arc::new(Endpoint::start(config, link_sender).context(LinkSnafu)?);
        let (reporter, report_inputs) = Reporter::new(Arc::clone(&environment.clock));
        let calendar = Calendar::new(&settings.day.time_zone).context(DaySnafu)?;
        let operator = OperatorServer {
            input_sender: input_sender.clone(),
            pages: PageBuilder {
                prefix: settings.platform.prefix.clone(),
                calendar: calendar.clone(),
                clock: Arc::clone(&environment.clock),
                store: Arc::clone(&environment.store),
                snapshots: Arc::clone(&snapshots),
                reporter: reporter.clone(),
            },
            metrics: environment.metrics.clone(),
            drain,
        };
        let listener = operator
            .start(settings.listen.operators, Arc::clone(&stop))
            .context(OperatorSnafu)?;
        let broker = Arc::new(ChannelBroker {
            snapshots: Arc::clone(&snapshots),
            clock: Arc::clone(&environment.clock),
            decide: input_sender.clone(),
            claims: claim_sender,
            reporter: reporter.clone(),
        });
        let front = Front::start(
            settings.listen.callers,
            front_limits(settings),
            ResumeTokenKey::new(environment.keys.signing_key().as_bytes()),
            broker,
            Arc::clone(&environment.clock),
        )
        .context(FrontSnafu)?;

        let view = member_settings(settings, &me, endpoint.local_addr());
        let decider = Decider::new(
            view,
            Arc::clone(&environment.clock),
            Box::new(Arc::clone(&endpoint)),
            Arc::clone(&snapshots),
            environment.sharing,
            rand::rng().random(),
            reporter.clone(),
        );
        let mut router = Self {
            me: me.clone(),
            front,
            endpoint,
            operators: listener.addr,
            input_sender: input_sender.clone(),
            reporter,
            stop: Arc::clone(&stop),
            threads: vec![listener.thread],
            drain_requested,
            clock: Arc::clone(&environment.clock),
        };
        let clock = Arc::clone(&environment.clock);
        router.spawn("decide", move || {
            decide::run(decider, &clock, &inputs, &link_events)
        })?;
        let claim_thread = ClaimThread {
            me,
            writer: ClaimWriter::new(&settings.platform.prefix, primrose_claim::Limits::default()),
            store: Arc::clone(&environment.store),
            clock: Arc::clone(&environment.clock),
            inboxes: HashMap::new(),
        };
        router.spawn("claims", move || claim_thread.run(&claim_inputs))?;
        router.start_report(settings, &environment, calendar, report_inputs)?;
        router.start_io_threads(settings, &environment, &snapshots)?;
        log::info!(
            callers:% = router.callers(), peers:% = router.peers(), operators:% = router.operators();
            "router started"
        );
        Ok(router)
    }

    /// Starts the threads that talk to the platform and to backend servers.
    fn start_io_threads(
        &mut self,
        settings: &Settings,
        environment: &Environment,
        snapshots: &Arc<Snapshots>,
    ) -> Result<(), RouterError> {
        for kind in DOCUMENT_KINDS {
            let watch = WatchThread {
                kind,
                key: format!("{}/{}", settings.platform.prefix, kind.name()),
                store: Arc::clone(&environment.store),
                snapshots: Arc::clone(snapshots),
                input_sender: self.input_sender.clone(),
                reporter: self.reporter.clone(),
                stop: Arc::clone(&self.stop),
            };
            drop(spawn("watch", move || watch.run())?);
        }
        let sweep = SweepThread {
            sweeper: Sweeper::new(&settings.platform.prefix, SweepLimits::default()),
            version_key: format!("{}/sweep", settings.platform.prefix),
            store: Arc::clone(&environment.store),
            clock: Arc::clone(&environment.clock),
            snapshots: Arc::clone(snapshots),
            stop: Arc::clone(&self.stop),
        };
        drop(spawn("sweep", move || sweep.run())?);
        let loads = LoadThread {
            snapshots: Arc::clone(snapshots),
            input_sender: self.input_sender.clone(),
            stop: Arc::clone(&self.stop),
        };
        self.spawn("loads", move || loads.run())?;
        let orders = OrderThread::new(settings, environment, snapshots, &self.stop);
        self.spawn("orders", move || orders.run())?;
        let Some(lists) = &environment.hosts else {
            return Ok(());
        };
        let hosts = HostListThread {
            lists: Arc::clone(lists),
            snapshots: Arc::clone(snapshots),
            input_sender: self.input_sender.clone(),
            stop: Arc::clone(&self.stop),
        };
        drop(spawn("hosts", move || hosts.run())?);
        Ok(())
    }

    fn spawn(
        &mut self,
        name: &str,
        body: impl FnOnce() + Send + 'static,
    ) -> Result<(), RouterError> {
        self.threads.push(spawn(name, body)?);
        Ok(())
    }

    /// Returns the identity of this router process.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Returns the address that callers connect to.
    pub fn callers(&self) -> SocketAddr {
        self.front.addr()
    }

    /// Returns the address that other routers connect to.
    pub fn peers(&self) -> SocketAddr {
        self.endpoint.local_addr()
    }

    /// Returns the address of the operator listener.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the endpoint of the peer links, for traffic counts and fault injection.
    pub fn endpoint(&self) -> &Endpoint<PeerMessage> {
        &self.endpoint
    }

    /// Returns a channel that receives a message when an operator requests a shutdown.
    pub fn drain_requested(&self) -> &Receiver<()> {
        &self.drain_requested
    }

    /// Shuts down gracefully: admits no new requests, gives up all duties, and waits for requests in
    /// flight.
    ///
    /// Requests that are still in flight after `limit`, or once `hurry` returns `true`, are cut off
    /// and listed in the result.
    pub fn shutdown(mut self, limit: Duration, hurry: &dyn Fn() -> bool) -> Shutdown {
        log::info!(in_flight = self.front.in_flight(); "shutting down");
        self.front.drain();
        // The channel is only closed once the deciding thread has ended.
        let _ = self.input_sender.send(Input::Drain);
        let end = self.clock.now() + limit;
        let ended = self.front.wait_idle(&|| hurry() || self.clock.now() >= end);
        let mut cut = Vec::new();
        if !ended {
            let _ = self.input_sender.send(Input::Abandon);
            cut = self.front.abort_in_flight();
            for request in &cut {
                log::warn!(
                    request = format!("{:016x}", request.request).as_str(),
                    account = request.account.as_str();
                    "cut off a request"
                );
            }
        }
        let requests = cut.len() as u64;
        if requests > 0 {
            self.reporter.observe(Observation::Cut { requests });
        }
        self.finish_report();
        self.end();
        Shutdown { cut }
    }

    /// Stops and joins all threads without waiting for requests; to peers it looks like a crash.
    pub fn abort(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stop.stop();
        self.front.stop();
        let _ = self.input_sender.send(Input::Stop);
        self.reporter.send(ReportInput::Stop);
        self.endpoint.stop();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("a thread of the router panicked");
            }
        }
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, RouterError> {
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .context(ThreadSnafu { name })
}
