//! One router process: its threads, its start and its graceful end.
//!
//! [`Router::start`] takes [`Settings`] and the [`Parts`] that touch the outside world, so that the
//! daemon, the quick start and tests run the same code with other clocks and platforms.

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
use primrose_front::PassKey;
use primrose_link::Endpoint;
use primrose_link::LinkConfig;
use primrose_report::calendar::Calendar;
use primrose_report::observation::Observation;
use primrose_settings::Settings;
use rand::Rng;
use snafu::ResultExt;

use crate::broker::RingBroker;
use crate::decide;
use crate::decide::Decider;
use crate::duty::claims;
use crate::duty::claims::Claims;
use crate::duty::hosts::HostLists as Follower;
use crate::duty::loads::Loads;
use crate::duty::operator::Operator;
use crate::duty::orders::Orders;
use crate::duty::page::Pages;
use crate::duty::sweep::Sweep;
use crate::duty::watch::Watch;
use crate::duty::Stop;
use crate::input;
use crate::input::Input;
use crate::message::PeerMessage;
use crate::message::DOCUMENT_KINDS;
use crate::published::Published;
use crate::reporter::ReportInput;
use crate::reporter::Reporter;

pub use primrose_front::CutRequest;

mod counting;
mod error;
mod parts;
mod translate;

pub use error::RouterError;
pub use parts::HostLists;
pub use parts::Parts;
pub use parts::Sharing;

use error::DaySnafu;
use error::FrontSnafu;
use error::LinkSnafu;
use error::OperatorSnafu;
use error::ThreadSnafu;
use translate::front_limits;
use translate::view_settings;

/// Link events that may wait for the deciding thread.
const LINK_RING: usize = 1024;

/// How a shutdown ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shutdown {
    /// Requests that were cut off; empty if all ended by themselves.
    pub cut: Vec<CutRequest>,
}

/// A running router.
pub struct Router {
    me: Member,
    front: Front,
    endpoint: Arc<Endpoint<PeerMessage>>,
    operators: SocketAddr,
    ring: Sender<Input>,
    reporter: Reporter,
    stop: Arc<Stop>,
    /// Threads that end at once when told to. Those that wait at the platform end by themselves
    /// when their call returns, and hold nothing that a shutdown would have to wait for.
    threads: Vec<JoinHandle<()>>,
    drained: Receiver<()>,
    clock: Arc<dyn Clock>,
}

impl Router {
    /// Starts all threads.
    ///
    /// # Errors
    /// [`RouterError`] if an address cannot be listened on or a thread cannot be made; nothing is
    /// left running then.
    pub fn start(settings: &Settings, parts: Parts) -> Result<Self, RouterError> {
        let me = Member {
            host: settings.router.host.clone(),
            incarnation: parts.incarnation,
        };
        let stop = Stop::new();
        let published = Arc::new(Published::default());
        let (ring, inputs) = bounded(input::RING);
        let (claim_ring, claim_asks) = bounded(claims::RING);
        let (link_ring, link_events) = bounded(LINK_RING);
        let (drain, drained) = bounded(1);

        let zone = settings.router.zone.clone();
        let config = LinkConfig::new(me.clone(), zone, settings.listen.peers, parts.keys.clone());
        let endpoint = Arc::new(Endpoint::start(config, link_ring).context(LinkSnafu)?);
        let (reporter, seen) = Reporter::new(Arc::clone(&parts.clock));
        let calendar = Calendar::new(&settings.day.time_zone).context(DaySnafu)?;
        let operator = Operator {
            ring: ring.clone(),
            pages: Pages {
                prefix: settings.platform.prefix.clone(),
                calendar: calendar.clone(),
                clock: Arc::clone(&parts.clock),
                store: Arc::clone(&parts.store),
                published: Arc::clone(&published),
                reporter: reporter.clone(),
            },
            metrics: parts.metrics.clone(),
            drain,
        };
        let listener = operator
            .start(settings.listen.operators, Arc::clone(&stop))
            .context(OperatorSnafu)?;
        let broker = Arc::new(RingBroker {
            published: Arc::clone(&published),
            clock: Arc::clone(&parts.clock),
            decide: ring.clone(),
            claims: claim_ring,
            reporter: reporter.clone(),
        });
        let front = Front::start(
            settings.listen.callers,
            front_limits(settings),
            PassKey::new(parts.keys.signing_key().as_bytes()),
            broker,
            Arc::clone(&parts.clock),
        )
        .context(FrontSnafu)?;

        let view = view_settings(settings, &me, endpoint.local_addr());
        let decider = Decider::new(
            view,
            Arc::clone(&parts.clock),
            Box::new(Arc::clone(&endpoint)),
            Arc::clone(&published),
            parts.sharing,
            rand::rng().random(),
            reporter.clone(),
        );
        let mut router = Self {
            me: me.clone(),
            front,
            endpoint,
            operators: listener.addr,
            ring: ring.clone(),
            reporter,
            stop: Arc::clone(&stop),
            threads: vec![listener.thread],
            drained,
            clock: Arc::clone(&parts.clock),
        };
        let clock = Arc::clone(&parts.clock);
        router.spawn("decide", move || {
            decide::run(decider, &clock, &inputs, &link_events)
        })?;
        let desk = Claims {
            me,
            desk: ClaimWriter::new(&settings.platform.prefix, primrose_claim::Limits::default()),
            store: Arc::clone(&parts.store),
            clock: Arc::clone(&parts.clock),
            inboxes: HashMap::new(),
        };
        router.spawn("claims", move || desk.run(&claim_asks))?;
        router.start_report(settings, &parts, calendar, seen)?;
        router.start_duties(settings, &parts, &published)?;
        log::info!(
            callers:% = router.callers(), peers:% = router.peers(), operators:% = router.operators();
            "router started"
        );
        Ok(router)
    }

    /// Starts the threads that look at the platform and at servers.
    fn start_duties(
        &mut self,
        settings: &Settings,
        parts: &Parts,
        published: &Arc<Published>,
    ) -> Result<(), RouterError> {
        for kind in DOCUMENT_KINDS {
            let watch = Watch {
                kind,
                key: format!("{}/{}", settings.platform.prefix, kind.name()),
                store: Arc::clone(&parts.store),
                published: Arc::clone(published),
                ring: self.ring.clone(),
                reporter: self.reporter.clone(),
                stop: Arc::clone(&self.stop),
            };
            drop(spawn("watch", move || watch.run())?);
        }
        let sweep = Sweep {
            sweeper: Sweeper::new(&settings.platform.prefix, SweepLimits::default()),
            mark: format!("{}/sweep", settings.platform.prefix),
            store: Arc::clone(&parts.store),
            clock: Arc::clone(&parts.clock),
            published: Arc::clone(published),
            stop: Arc::clone(&self.stop),
        };
        drop(spawn("sweep", move || sweep.run())?);
        let loads = Loads {
            published: Arc::clone(published),
            ring: self.ring.clone(),
            stop: Arc::clone(&self.stop),
        };
        self.spawn("loads", move || loads.run())?;
        let orders = Orders::new(settings, parts, published, &self.stop);
        self.spawn("orders", move || orders.run())?;
        let Some(lists) = &parts.hosts else {
            return Ok(());
        };
        let hosts = Follower {
            lists: Arc::clone(lists),
            published: Arc::clone(published),
            ring: self.ring.clone(),
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

    /// This run of the router.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.front.addr()
    }

    /// Where other routers connect.
    pub fn peers(&self) -> SocketAddr {
        self.endpoint.local_addr()
    }

    /// Where operators connect.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// The peer links, for their counts and for fault tests.
    pub fn endpoint(&self) -> &Endpoint<PeerMessage> {
        &self.endpoint
    }

    /// Becomes readable when an operator asks for a shutdown.
    pub fn drained(&self) -> &Receiver<()> {
        &self.drained
    }

    /// Shuts down gracefully: no new work, duties given up, requests in flight finished.
    ///
    /// What is still in flight after the limit, or when `hurry` says so, is cut off and named.
    pub fn shutdown(mut self, limit: Duration, hurry: &dyn Fn() -> bool) -> Shutdown {
        log::info!(in_flight = self.front.in_flight(); "shutting down");
        self.front.drain();
        // The ring is only closed when the deciding thread has ended.
        let _ = self.ring.send(Input::Drain);
        let end = self.clock.now() + limit;
        let ended = self.front.wait_idle(&|| hurry() || self.clock.now() >= end);
        let mut cut = Vec::new();
        if !ended {
            let _ = self.ring.send(Input::Abandon);
            cut = self.front.cut();
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
            self.reporter.see(Observation::Cut { requests });
        }
        self.hand_on();
        self.end();
        Shutdown { cut }
    }

    /// Ends all threads without waiting for requests, as a crash would, but in order.
    pub fn abort(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.stop.stop();
        self.front.stop();
        let _ = self.ring.send(Input::Stop);
        self.reporter.deliver(ReportInput::Stop);
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
