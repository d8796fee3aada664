//! One pool's free slots in one zone, and who gets them.
//!
//! The dispatcher holds no promise of safety: two of them for a while only admit too much, within a
//! bound. All its state is soft. A new one first collects what the routers run and have waiting
//! for a short time, and counts what the servers report beyond that.
//!
//! A slot is free again when its attempt is reported finished or declined, or when its router has
//! seen the grant and renews without listing the attempt, or when the grant's lease is over and the
//! router renews without it. The slot of a router that is gone stays counted until the server's own
//! report shows it free, or the pool's longest run is over.

mod attempt;
mod intake;
mod orphans;
mod release;
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

/// How often silent routers and long runs are looked for.
const SWEEP_EVERY: Duration = Duration::from_millis(250);

/// A backend server whose slots this dispatcher holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// A leaving server gets nothing new.
    pub state: HostState,
    /// The server's zone has no routers, and this zone has taken it over.
    pub adopted: bool,
    /// Slots that the limit may not exceed, below the pool's bounds.
    pub cap: Option<u32>,
}

/// What a backend server says about itself; lags behind the truth.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// The server.
    pub server: ServerId,
    /// Requests that it runs or has queued.
    pub running: u32,
}

/// Something that a dispatcher is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// A message for [`Duty::Dispatcher`](crate::message::Duty::Dispatcher) came.
    Message {
        /// Sender.
        from: Member,
        /// Message.
        message: Message,
    },
    /// The pool's row of a new table.
    Pool(Pool),
    /// All servers of the pool in this zone, and those taken over.
    Servers(Vec<ServerEntry>),
    /// A server reported its load.
    Load(LoadReport),
    /// Routers that hold the pool's dispatcher in the other zones; nothing for a zone that is cut
    /// off.
    Peers(BTreeMap<ZoneId, Option<Member>>),
    /// A router of this zone is gone.
    RouterDown(Member),
    /// Time has passed; wanted at least every [`TICK_EVERY`](crate::timing::TICK_EVERY).
    Tick,
}

/// Something that a dispatcher wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message; to this router itself too.
    Send {
        /// Receiver.
        to: Member,
        /// Message.
        message: Message,
    },
}

/// Hands out one pool's slots in one zone.
#[derive(Debug)]
pub struct Dispatcher {
    zone: ZoneId,
    pool: Pool,
    policy: Box<dyn Policy>,
    rng: StdRng,
    epoch: Epoch,
    /// Counts grants and loans.
    sequence: Sequence,
    ledger: Ledger,
    estimator: Estimator,
    /// Average cost of all requests, in units.
    mean_cost: f64,
    servers: Servers,
    waiting: Waiting,
    routers: Routers,
    attempts: BTreeMap<AttemptId, Attempt>,
    lending: Lending,
    settle_until: Mono,
    /// No suspect is started before.
    suspects_from: Mono,
    next_sweep: Mono,
    next_digest: Mono,
    digests: Sequence,
    totals: Totals,
}

impl Dispatcher {
    /// Makes the dispatcher of a pool in a zone, with the fleet's fair order.
    ///
    /// `seed` must differ between two lives of a dispatcher.
    pub fn new(me: Member, zone: ZoneId, pool: Pool, seed: u64, now: Mono) -> Self {
        Self::with_policy(me, zone, pool, seed, now, Box::new(FleetFair::default()))
    }

    /// Makes a dispatcher with another order.
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
            suspects_from: now,
            next_sweep: now,
            next_digest: now,
            digests: 0,
            totals: Totals::default(),
            pool,
        }
    }

    /// Takes an event; returns what to do, in order.
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

    /// Whether anything waits that this dispatcher could give a slot to: here or in another zone.
    pub fn has_demand(&self) -> bool {
        self.waiting.accounts().next().is_some()
            || self.waiting.suspects() > 0
            || self.lending.is_asked()
    }

    /// Shows the state to operators.
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

    /// Returns the ledger.
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
            Body::Join => self.joined(from, out),
            Body::Snapshot(snapshot) => self.snapshot(&snapshot, now),
            Body::Digest(digest) => self.digest(from, &digest, now),
            Body::Demand(demand) => self.demand(from, demand, now),
            Body::Loan(loan) => self.loan(from, loan, now, out),
            Body::LoanReturn(over) => self.loan_return(&over, now),
            other => log::warn!("dispatcher got a message that is not for it: {other:?}"),
        }
    }

    fn set_pool(&mut self, pool: Pool) {
        self.servers.set_bounds(pool.slots);
        self.ledger.set_weights(&pool.weights, pool.default_weight);
        self.pool = pool;
    }

    fn tick(&mut self, now: Mono, out: &mut Vec<Action>) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_EVERY;
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

    /// Tells the ledger whether an account still waits here.
    fn note_waiting(&mut self, account: &str) {
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
                apart: self.servers.apart() == Some(id),
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
