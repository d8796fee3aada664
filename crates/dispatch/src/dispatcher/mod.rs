//! Grants the slots of one pool in one zone to waiting requests.
//!
//! No safety property depends on there being a single dispatcher: two at the same time only admit
//! too many requests, within a bound. All state is soft. A new dispatcher first collects the
//! routers' running attempts and waiting requests for a short time, and takes into account the
//! requests that servers report beyond those.
//!
//! A slot becomes free when its attempt is reported finished or declined, or when its router renews
//! without listing the attempt after having received the grant or after the grant's lease has
//! expired. The slot of a lost router stays taken until the server's load reports show it to be
//! free, or until the pool's longest run time has passed.

mod attempt;
mod orphans;
mod release;
mod requester_messages;
mod routers;
mod schedule;
mod server;
mod servers;
mod waiting;
mod zones;

use std::collections::BTreeMap;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::host::HostState;
use primrose_core::id::AccountId;
use primrose_core::id::AttemptId;
use primrose_core::id::Member;
use primrose_core::id::ServerId;
use primrose_core::id::ZoneId;
use primrose_core::table::Pool;
use primrose_share::Estimator;
use primrose_share::Ledger;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

use crate::lending::Lending;
use crate::message::Body;
use crate::message::Epoch;
use crate::message::Message;
use crate::message::Sequence;
use crate::policy::FleetFair;
use crate::policy::Policy;
use crate::status::AccountStatus;
use crate::status::ServerStatus;
use crate::status::Status;
use crate::status::Totals;
use crate::timing::SETTLE_TIME;

use attempt::Attempt;
use routers::Routers;
use server::SlotId;
use servers::Servers;
use waiting::Waiting;

/// Interval between checks for expired routers and orphans.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Backend server whose slots a dispatcher holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// A leaving server gets no new requests.
    pub state: HostState,
    /// Whether the server's own zone has no routers and this zone has adopted it.
    pub adopted: bool,
    /// Upper bound of the limit, in addition to the pool's bounds.
    pub cap: Option<u32>,
}

/// Load that a backend server reports; may be out of date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// The server.
    pub server: ServerId,
    /// Number of requests that the server runs or has queued.
    pub running: u32,
}

/// Input of a dispatcher.
#[derive(Debug, Clone)]
pub enum Event {
    /// A message for [`Recipient::Dispatcher`](crate::message::Recipient::Dispatcher) was received.
    Message {
        /// Sender.
        from: Member,
        /// Message.
        message: Message,
    },
    /// The pool's settings in a new table.
    Pool(Pool),
    /// All servers of the pool in this zone, including adopted ones.
    Servers(Vec<ServerEntry>),
    /// A server reported its load.
    Load(LoadReport),
    /// Routers that hold the pool's dispatcher in the other zones; `None` for an unreachable zone.
    Peers(BTreeMap<ZoneId, Option<Member>>),
    /// A router of this zone was lost.
    RouterDown(Member),
    /// Time has passed; due at least every [`TICK_INTERVAL`](crate::timing::TICK_INTERVAL).
    Tick,
}

/// Output of a dispatcher, to be carried out by the router.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message, possibly to this router itself.
    Send {
        /// Receiver.
        to: Member,
        /// Message.
        message: Message,
    },
}

/// Grants one pool's slots in one zone.
#[derive(Debug)]
pub struct Dispatcher {
    zone: ZoneId,
    pool: Pool,
    policy: Box<dyn Policy>,
    rng: StdRng,
    epoch: Epoch,
    /// Sequence number of the latest grant or loan.
    sequence: Sequence,
    ledger: Ledger,
    estimator: Estimator,
    /// Moving average of the cost of all requests, in units.
    mean_cost: f64,
    servers: Servers,
    waiting: Waiting,
    routers: Routers,
    attempts: BTreeMap<AttemptId, Attempt>,
    lending: Lending,
    settle_until: Mono,
    /// Time before which no suspect is started.
    suspects_paused_until: Mono,
    next_sweep: Mono,
    next_digest: Mono,
    digests: Sequence,
    totals: Totals,
}

impl Dispatcher {
    /// Creates the dispatcher of a pool in a zone, with the [`FleetFair`] policy.
    ///
    /// `seed` must differ between two incarnations of a dispatcher.
    pub fn new(me: Member, zone: ZoneId, pool: Pool, seed: u64, now: Mono) -> Self {
        Self::with_policy(me, zone, pool, seed, now, Box::new(FleetFair::default()))
    }

    /// Creates a dispatcher with another scheduling policy.
    pub fn with_policy(
        me: Member,
        zone: ZoneId,
        pool: Pool,
        seed: u64,
        now: Mono,
        policy: Box<dyn Policy>,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let epoch = rng.random_range(1..=Epoch::MAX);
        let mut ledger = Ledger::new(me, now);
        ledger.set_weights(&pool.weights, pool.default_weight);
        Self {
            zone,
            policy,
            rng,
            epoch,
            sequence: 0,
            ledger,
            estimator: Estimator::new(),
            mean_cost: 1.0,
            servers: Servers::new(pool.slots),
            waiting: Waiting::default(),
            routers: Routers::default(),
            attempts: BTreeMap::new(),
            lending: Lending::default(),
            settle_until: now + SETTLE_TIME,
            suspects_paused_until: now,
            next_sweep: now,
            next_digest: now,
            digests: 0,
            totals: Totals::default(),
            pool,
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Message { from, message } => self.message(&from, message.body, now, &mut out),
            Event::Pool(pool) => self.set_pool(pool),
            Event::Servers(entries) => self.servers.update(&entries, now),
            Event::Load(report) => self.load(&report, now),
            Event::Peers(holders) => self.set_peers(holders, now, &mut out),
            Event::RouterDown(router) => self.router_down(&router, now, &mut out),
            Event::Tick => self.tick(now, &mut out),
        }
        self.schedule(now, &mut out);
        out
    }

    /// Returns whether any request waits that this dispatcher could give a slot, here or in another
    /// zone.
    pub fn has_demand(&self) -> bool {
        self.waiting.accounts().next().is_some()
            || self.waiting.suspects() > 0
            || self.lending.has_remote_demand()
    }

    /// Returns the state to show to operators.
    pub fn status(&self, now: Mono) -> Status {
        Status {
            pool: self.pool.name.clone(),
            zone: self.zone.clone(),
            settling: now < self.settle_until,
            servers: self.server_status(now),
            accounts: self.account_status(),
            borrowed: self.attempts.values().filter(|a| a.loan.is_some()).count(),
            routers: self.routers.members().count(),
            suspects: self.waiting.suspects(),
            totals: self.totals,
        }
    }

    /// Returns the ledger of service per account.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    fn message(&mut self, from: &Member, body: Body, now: Mono, out: &mut Vec<Action>) {
        match body {
            Body::Register(registration) => self.register(from, registration, now),
            Body::Sync(sync) => self.sync(from, sync, now, out),
            Body::Renew(renew) => self.renew(from, &renew, now, out),
            Body::Decline(decline) => self.decline(decline, now, out),
            Body::Withdraw(withdraw) => self.withdraw(withdraw),
            Body::Finished(finished) => self.finished(&finished, now, out),
            Body::Join => self.join(from, out),
            Body::Snapshot(snapshot) => self.snapshot(&snapshot, now),
            Body::Digest(digest) => self.digest(from, &digest, now),
            Body::Demand(demand) => self.demand(from, demand, now),
            Body::Loan(loan) => self.loan(from, loan, now, out),
            Body::LoanReturn(loan_return) => self.loan_return(&loan_return, now),
            other => log::warn!("dispatcher received a message for a requester: {other:?}"),
        }
    }

    fn set_pool(&mut self, pool: Pool) {
        self.servers.set_bounds(pool.slots);
        self.ledger.set_weights(&pool.weights, pool.default_weight);
        self.pool = pool;
    }

    fn tick(&mut self, now: Mono, out: &mut Vec<Action>) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now, out);
        }
        if now >= self.next_digest {
            self.send_digest(now, out);
        }
    }

    fn next_sequence(&mut self) -> Sequence {
        self.sequence += 1;
        self.sequence
    }

    /// Updates in the ledger whether an account waits in this zone.
    fn update_waiting(&mut self, account: &str) {
        let waiting = self.waiting.has_account(account);
        self.ledger.set_waiting(account, &self.zone, waiting);
    }

    fn send(&self, to: &Member, body: Body, out: &mut Vec<Action>) {
        let pool = self.pool.name.clone();
        let message = Message { pool, body };
        let to = to.clone();
        out.push(Action::Send { to, message });
    }

    fn server_status(&self, now: Mono) -> Vec<ServerStatus> {
        let rows = self.servers.iter().map(|(id, server)| {
            let lent = server.slots().filter(|s| matches!(s, SlotId::Loan(_)));
            ServerStatus {
                server: id.clone(),
                state: server.state,
                busy: server.busy(),
                lent: u32::try_from(lent.count()).unwrap_or(u32::MAX),
                limit: server.limit(now),
                free: server.free(now),
                apart: self.servers.isolation_server() == Some(id),
            }
        });
        rows.collect()
    }

    fn account_status(&self) -> Vec<AccountStatus> {
        let waiting: BTreeMap<_, _> = self.waiting.accounts().collect();
        let mut running: BTreeMap<&AccountId, usize> = BTreeMap::new();
        for attempt in self.attempts.values() {
            *running.entry(&attempt.account).or_default() += 1;
        }
        let floor = self.ledger.floor();
        let rows = self.ledger.accounts().map(|account| AccountStatus {
            account: account.clone(),
            weight: self.ledger.weight(account),
            waiting: waiting.get(account).copied().unwrap_or(0),
            running: running.get(account).copied().unwrap_or(0),
            above: self.ledger.service(account).saturating_sub(floor),
        });
        rows.collect()
    }
}
