//! The ingress side: waiting requests and running attempts of one router, for all pools.
//!
//! A requester holds the queue but does not decide the order. It registers each waiting request
//! with its zone's current dispatcher for the pool, and starts a request only on a grant. The
//! requester checks the grant's lease against its own clock, from the time at which it sent the
//! renewal that the grant refers to. A router that was paused therefore finds its grants expired
//! and declines them, whatever the dispatcher assumes.
//!
//! The dispatcher's copy of this state is soft: after a change of holder, or when the dispatcher
//! finds that its copy differs, one [`Sync`] restores all running attempts and waiting requests. If
//! too many wait for one message, the others are registered singly after it.

mod pool_state;
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

use pool_state::PoolState;

#[cfg(doc)]
use crate::message::Sync;

/// Request that waits to run on any server of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingRequest {
    /// The request.
    pub request: RequestId,
    /// Number of the next attempt; 1 for a new request.
    pub number: u32,
    /// Client account.
    pub account: AccountId,
    /// Route.
    pub route: RouteId,
    /// Pool.
    pub pool: PoolId,
    /// Estimated cost in units, from the caller's hint or the route.
    pub cost: Service,
    /// Size of the request body that the router buffers.
    pub bytes: usize,
    /// Whether the request may crash its server.
    pub suspect: bool,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// Time at which the request is refused if it still waits.
    pub deadline: Mono,
}

impl PendingRequest {
    /// Returns the id of the attempt that the next grant will start.
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.number,
        }
    }
}

/// Input of a requester.
#[derive(Debug, Clone)]
pub enum Event {
    /// A new table is in force.
    Table(Arc<Table>),
    /// The zone's dispatcher for a pool has moved.
    Holder {
        /// Pool.
        pool: PoolId,
        /// Router that holds the dispatcher; `None` if none is reachable.
        holder: Option<Member>,
    },
    /// A request arrived, or is to be retried.
    Enqueue(PendingRequest),
    /// The caller of a waiting request disconnected.
    Cancel(RequestId),
    /// A running attempt made progress.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Units used since the attempt began.
        used: Service,
    },
    /// A running attempt ended.
    Ended(Finished),
    /// A waiting request has become suspect and must run alone on the isolation server.
    Suspect(RequestId),
    /// A message for [`Recipient::Requester`](crate::message::Recipient::Requester) was received.
    Message {
        /// Sender.
        from: Member,
        /// Message.
        message: Message,
    },
    /// The router begins to shut down: new requests are refused, waiting ones are still served.
    Drain,
    /// Refuses all waiting requests, as the last step of a shutdown.
    Abandon,
    /// Time has passed; due at least every [`TICK_INTERVAL`](crate::timing::TICK_INTERVAL).
    Tick,
}

/// Output of a requester, to be carried out by the router.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message, possibly to this router itself.
    Send {
        /// Receiver.
        to: Member,
        /// Message.
        message: Message,
    },
    /// Connect to the server and run the attempt, followed by [`Event::Ended`] in every case.
    Run(Run),
    /// Respond to the caller that the request did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason.
        code: ErrorCode,
    },
}

/// Attempt to start on a granted slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Pool.
    pub pool: PoolId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Backend server; may be in another zone.
    pub server: ServerId,
}

/// Number of one account's waiting requests in a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountQueue {
    /// Pool.
    pub pool: PoolId,
    /// Client account.
    pub account: AccountId,
    /// Number of waiting requests.
    pub requests: usize,
}

/// Waiting requests and running attempts of one router.
#[derive(Debug)]
pub struct Requester {
    table: Arc<Table>,
    pool_states: BTreeMap<PoolId, PoolState>,
    /// Pool of each waiting or running request.
    pools: BTreeMap<RequestId, PoolId>,
    draining: bool,
}

impl Requester {
    /// Creates a requester without requests.
    pub fn new(table: Arc<Table>) -> Self {
        Self {
            table,
            pool_states: BTreeMap::new(),
            pools: BTreeMap::new(),
            draining: false,
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Table(table) => self.set_table(table, &mut out),
            Event::Holder { pool, holder } => {
                self.pool_state(&pool).set_holder(holder, now, &mut out);
            }
            Event::Enqueue(pending) => self.enqueue(pending, now, &mut out),
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

    /// Lists the waiting requests by pool and account.
    pub fn queued(&self) -> Vec<AccountQueue> {
        let pool_states = self.pool_states.iter();
        let rows = pool_states.flat_map(|(pool, pool_state)| {
            pool_state
                .accounts()
                .map(|(account, requests)| AccountQueue {
                    pool: pool.clone(),
                    account: account.clone(),
                    requests,
                })
        });
        rows.collect()
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        self.pool_states.values().map(PoolState::running).sum()
    }

    fn pool_state(&mut self, pool: &str) -> &mut PoolState {
        self.pool_states
            .entry(pool.to_owned())
            .or_insert_with(|| PoolState::new(pool.to_owned()))
    }

    fn set_table(&mut self, table: Arc<Table>, out: &mut Vec<Action>) {
        self.table = table;
        for (pool, pool_state) in &mut self.pool_states {
            if !self.table.pools.contains_key(pool) {
                pool_state.refuse_all(ErrorCode::NoRoute, out);
            }
        }
        self.remove_refused(out);
    }

    fn enqueue(&mut self, pending: PendingRequest, now: Mono, out: &mut Vec<Action>) {
        let request = pending.request;
        let Some(pool) = self.table.pools.get(&pending.pool) else {
            let code = ErrorCode::NoRoute;
            out.push(Action::Refuse { request, code });
            return;
        };
        let bounds = pool.queue;
        let draining = self.draining;
        let pool_state = self.pool_state(&pending.pool);
        // A request is admitted once: retries are not checked against the queue's bounds.
        let first_attempt = pending.number <= 1;
        if first_attempt && draining {
            let code = ErrorCode::ShuttingDown;
            out.push(Action::Refuse { request, code });
        } else if pending.deadline <= now {
            let code = ErrorCode::Deadline;
            out.push(Action::Refuse { request, code });
        } else if first_attempt && !pool_state.has_room(&pending, &bounds) {
            let code = ErrorCode::QueueFull;
            out.push(Action::Refuse { request, code });
        } else {
            let pool = pending.pool.clone();
            pool_state.enqueue(pending, now, out);
            self.pools.insert(request, pool);
        }
    }

    fn cancel(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(pool_state) = self.pool_state_of(request) else {
            return;
        };
        if pool_state.cancel(request, out) {
            self.pools.remove(&request);
        }
    }

    fn progress(&mut self, attempt: AttemptId, used: Service) {
        if let Some(pool_state) = self.pool_state_of(attempt.request) {
            pool_state.progress(attempt, used);
        }
    }

    fn ended(&mut self, finished: Finished, out: &mut Vec<Action>) {
        let request = finished.attempt.request;
        let Some(pool_state) = self.pool_state_of(request) else {
            return;
        };
        if pool_state.ended(finished, out) {
            self.pools.remove(&request);
        }
    }

    fn suspect(&mut self, request: RequestId, now: Mono, out: &mut Vec<Action>) {
        if let Some(pool_state) = self.pool_state_of(request) {
            pool_state.suspect(request, now, out);
        }
    }

    fn message(&mut self, from: &Member, message: Message, now: Mono, out: &mut Vec<Action>) {
        let pool_state = self.pool_state(&message.pool);
        match message.body {
            Body::Grant(grant) => pool_state.grant(from, grant, now, out),
            Body::Resync => pool_state.resync(from, now, out),
            other => log::warn!("requester received a message for a dispatcher: {other:?}"),
        }
    }

    fn abandon(&mut self, out: &mut Vec<Action>) {
        self.draining = true;
        for pool_state in self.pool_states.values_mut() {
            pool_state.refuse_all(ErrorCode::ShuttingDown, out);
        }
        self.remove_refused(out);
    }

    fn tick(&mut self, now: Mono, out: &mut Vec<Action>) {
        for pool_state in self.pool_states.values_mut() {
            pool_state.tick(now, out);
        }
        self.remove_refused(out);
    }

    fn pool_state_of(&mut self, request: RequestId) -> Option<&mut PoolState> {
        let pool = self.pools.get(&request)?;
        self.pool_states.get_mut(pool)
    }

    fn remove_refused(&mut self, out: &[Action]) {
        for action in out {
            if let Action::Refuse { request, .. } = action {
                self.pools.remove(request);
            }
        }
    }
}
