//! The ingress side: what waits and runs at one router, for all pools.
//!
//! A requester holds the queue; it never decides the order. It registers each waiting request with
//! the dispatcher that its zone currently has for the pool, and starts a request only on a grant.
//! The grant's lease is judged by the requester's own clock, from the moment at which *it* sent the
//! renewal that the grant rests on: a router that was paused finds its grants too old and
//! declines them, whatever the dispatcher believes.
//!
//! Everything that it tells a dispatcher is soft: after a change of holder, or when the dispatcher
//! finds that its picture differs, one [`Sync`] states all that waits and runs.

mod lane;
mod queue;

use std::collections::BTreeMap;
use std::sync::Arc;

use primrose_core::clock::Mono;
use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::AttemptId;
use primrose_core::id::Member;
use primrose_core::id::PoolId;
use primrose_core::id::RequestId;
use primrose_core::id::RouteId;
use primrose_core::id::ServerId;
use primrose_core::outcome::ErrorCode;
use primrose_core::table::Table;

use crate::message::Body;
use crate::message::Finished;
use crate::message::Message;
use crate::message::PrefixHash;

use lane::Lane;

#[cfg(doc)]
use crate::message::Sync;

/// A request that is to run on some server of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingRequest {
    /// The request.
    pub request: RequestId,
    /// Number that the next attempt will have; 1 for a new request.
    pub number: u32,
    /// Client account.
    pub account: AccountId,
    /// Route.
    pub route: RouteId,
    /// Pool.
    pub pool: PoolId,
    /// Estimated cost in units, by the caller's hint or the route.
    pub cost: Service,
    /// Size of the body that the router holds.
    pub bytes: usize,
    /// The request may crash its server.
    pub suspect: bool,
    /// Hashes of the prompt's beginning, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// When the wait ends.
    pub deadline: Mono,
}

impl PendingRequest {
    /// Returns the attempt that the next grant is for.
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.number,
        }
    }
}

/// Something that a requester is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// A table is in force.
    Table(Arc<Table>),
    /// The zone's dispatcher for a pool is at this router now; nothing if none is reachable.
    Holder {
        /// Pool.
        pool: PoolId,
        /// Router that has the dispatcher.
        holder: Option<Member>,
    },
    /// A request arrived, or is to be tried again.
    Enqueue(PendingRequest),
    /// The caller of a waiting request went away.
    Cancel(RequestId),
    /// A running attempt has used this much so far.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Units used since it began.
        used: Service,
    },
    /// A running attempt ended.
    Ended(Finished),
    /// A waiting request has become suspect: it is to run alone on the server set apart.
    Suspect(RequestId),
    /// A message for [`Duty::Requester`](crate::message::Duty::Requester) came.
    Message {
        /// Sender.
        from: Member,
        /// Message.
        message: Message,
    },
    /// The router shuts down: new requests are refused, waiting ones are still served.
    Drain,
    /// Ends every wait, as the last step of a shutdown.
    Abandon,
    /// Time has passed; wanted at least every [`TICK_EVERY`](crate::timing::TICK_EVERY).
    Tick,
}

/// Something that a requester wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message; to this router itself too.
    Send {
        /// Receiver.
        to: Member,
        /// Message.
        message: Message,
    },
    /// Connect to the server and run the request; answer with [`Event::Ended`] in any case.
    Run(Run),
    /// Tell the caller that the request did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        code: ErrorCode,
    },
}

/// Leave to run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Pool.
    pub pool: PoolId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Backend server; may be in another zone.
    pub server: ServerId,
}

/// Waiting requests of one account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountQueue {
    /// Pool.
    pub pool: PoolId,
    /// Client account.
    pub account: AccountId,
    /// Requests that wait.
    pub requests: usize,
}

/// The ingress side of one router.
#[derive(Debug)]
pub struct Requester {
    table: Arc<Table>,
    lanes: BTreeMap<PoolId, Lane>,
    /// Pool of every request that waits or runs.
    pools: BTreeMap<RequestId, PoolId>,
    draining: bool,
}

impl Requester {
    /// Makes a requester without requests.
    pub fn new(table: Arc<Table>) -> Self {
        Self {
            table,
            lanes: BTreeMap::new(),
            pools: BTreeMap::new(),
            draining: false,
        }
    }

    /// Takes an event; returns what to do, in order.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Table(table) => self.set_table(table, &mut out),
            Event::Holder { pool, holder } => {
                self.lane(&pool).set_holder(holder, now, &mut out);
            }
            Event::Enqueue(work) => self.enqueue(work, now, &mut out),
            Event::Cancel(request) => self.cancel(request, &mut out),
            Event::Progress { attempt, used } => self.progress(attempt, used),
            Event::Ended(finished) => self.ended(finished, &mut out),
            Event::Suspect(request) => self.suspect(request, now, &mut out),
            Event::Message { from, message } => self.message(&from, message, now, &mut out),
            Event::Drain => self.draining = true,
            Event::Abandon => self.abandon(&mut out),
            Event::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// Lists what waits, by pool and account.
    pub fn queued(&self) -> Vec<AccountQueue> {
        let lanes = self.lanes.iter();
        let rows = lanes.flat_map(|(pool, lane)| {
            lane.accounts().map(|(account, requests)| AccountQueue {
                pool: pool.clone(),
                account: account.clone(),
                requests,
            })
        });
        rows.collect()
    }

    /// Counts the attempts that run.
    pub fn running(&self) -> usize {
        self.lanes.values().map(Lane::running).sum()
    }

    fn lane(&mut self, pool: &str) -> &mut Lane {
        self.lanes
            .entry(pool.to_owned())
            .or_insert_with(|| Lane::new(pool.to_owned()))
    }

    fn set_table(&mut self, table: Arc<Table>, out: &mut Vec<Action>) {
        self.table = table;
        for (pool, lane) in &mut self.lanes {
            if !self.table.pools.contains_key(pool) {
                lane.refuse_all(ErrorCode::NoRoute, out);
            }
        }
        self.forget_refused(out);
    }

    fn enqueue(&mut self, work: PendingRequest, now: Mono, out: &mut Vec<Action>) {
        let request = work.request;
        let Some(pool) = self.table.pools.get(&work.pool) else {
            let code = ErrorCode::NoRoute;
            out.push(Action::Refuse { request, code });
            return;
        };
        let bounds = pool.queue;
        let draining = self.draining;
        let lane = self.lane(&work.pool);
        // What was let in once stays in: a further attempt is not measured against the bounds.
        let first = work.number <= 1;
        if first && draining {
            let code = ErrorCode::ShuttingDown;
            out.push(Action::Refuse { request, code });
        } else if work.deadline <= now {
            let code = ErrorCode::Deadline;
            out.push(Action::Refuse { request, code });
        } else if first && !lane.has_room(&work, &bounds) {
            let code = ErrorCode::QueueFull;
            out.push(Action::Refuse { request, code });
        } else {
            let pool = work.pool.clone();
            lane.enqueue(work, now, out);
            self.pools.insert(request, pool);
        }
    }

    fn cancel(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(lane) = self.lane_of(request) else {
            return;
        };
        if lane.cancel(request, out) {
            self.pools.remove(&request);
        }
    }

    fn progress(&mut self, attempt: AttemptId, used: Service) {
        if let Some(lane) = self.lane_of(attempt.request) {
            lane.progress(attempt, used);
        }
    }

    fn ended(&mut self, finished: Finished, out: &mut Vec<Action>) {
        let request = finished.attempt.request;
        let Some(lane) = self.lane_of(request) else {
            return;
        };
        if lane.ended(finished, out) {
            self.pools.remove(&request);
        }
    }

    fn suspect(&mut self, request: RequestId, now: Mono, out: &mut Vec<Action>) {
        if let Some(lane) = self.lane_of(request) {
            lane.suspect(request, now, out);
        }
    }

    fn message(&mut self, from: &Member, message: Message, now: Mono, out: &mut Vec<Action>) {
        let lane = self.lane(&message.pool);
        match message.body {
            Body::Grant(grant) => lane.grant(from, grant, now, out),
            Body::Resync => lane.resync(from, now, out),
            other => log::warn!("requester got a message that is not for it: {other:?}"),
        }
    }

    fn abandon(&mut self, out: &mut Vec<Action>) {
        self.draining = true;
        for lane in self.lanes.values_mut() {
            lane.refuse_all(ErrorCode::ShuttingDown, out);
        }
        self.forget_refused(out);
    }

    fn tick(&mut self, now: Mono, out: &mut Vec<Action>) {
        for lane in self.lanes.values_mut() {
            lane.tick(now, out);
        }
        self.forget_refused(out);
    }

    fn lane_of(&mut self, request: RequestId) -> Option<&mut Lane> {
        let pool = self.pools.get(&request)?;
        self.lanes.get_mut(pool)
    }

    fn forget_refused(&mut self, out: &[Action]) {
        for action in out {
            if let Action::Refuse { request, .. } = action {
                self.pools.remove(request);
            }
        }
    }
}
