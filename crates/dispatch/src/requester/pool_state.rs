//! Waiting requests and running attempts of one pool at one router.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use primrose_core::clock::Mono;
use primrose_core::cost::Service;
use primrose_core::id::AccountId;
use primrose_core::id::AttemptId;
use primrose_core::id::Member;
use primrose_core::id::PoolId;
use primrose_core::id::RequestId;
use primrose_core::outcome::ErrorCode;
use primrose_core::table::QueueBounds;

use crate::message;
use crate::message::Body;
use crate::message::Decline;
use crate::message::Finished;
use crate::message::Grant;
use crate::message::Message;
use crate::message::Progress;
use crate::message::Registration;
use crate::message::Renew;
use crate::message::RenewalNumber;
use crate::message::Running;
use crate::message::Seen;
use crate::message::Sync;
use crate::message::Withdraw;
use crate::requester::queue::Queue;
use crate::requester::Action;
use crate::requester::PendingRequest;
use crate::requester::Run;
use crate::timing::GRANT_LEASE;
use crate::timing::RENEWAL_INTERVAL;

/// Number of renewals whose sending time is kept.
const MAX_SENT_RENEWALS: usize = 16;

/// Maximum number of waiting requests in one [`Sync`]; the others follow in single messages.
const MAX_SYNC_REQUESTS: usize = 256;

#[derive(Debug, Clone, Copy)]
struct SentRenewal {
    renewal: RenewalNumber,
    at: Mono,
}

/// State of one pool at one router.
#[derive(Debug)]
pub(crate) struct PoolState {
    pool: PoolId,
    holder: Option<Member>,
    queue: Queue,
    running: BTreeMap<AttemptId, Running>,
    seen: Seen,
    last_renewal: RenewalNumber,
    sent_renewals: VecDeque<SentRenewal>,
}

impl PoolState {
    pub(crate) fn new(pool: PoolId) -> Self {
        Self {
            pool,
            holder: None,
            queue: Queue::default(),
            running: BTreeMap::new(),
            seen: Seen::default(),
            last_renewal: 0,
            sent_renewals: VecDeque::new(),
        }
    }

    pub(crate) fn accounts(&self) -> impl Iterator<Item = (&AccountId, usize)> {
        self.queue.accounts()
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn has_room(&self, pending: &PendingRequest, bounds: &QueueBounds) -> bool {
        self.queue.has_room(pending, bounds)
    }

    pub(crate) fn set_holder(&mut self, holder: Option<Member>, now: Mono, out: &mut Vec<Action>) {
        if self.holder == holder {
            return;
        }
        self.holder = holder;
        self.seen = Seen::default();
        self.sync(now, out);
    }

    pub(crate) fn enqueue(&mut self, pending: PendingRequest, now: Mono, out: &mut Vec<Action>) {
        let registration = registration(&pending, now, now);
        self.queue.push(pending, now);
        self.send(Body::Register(registration), out);
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub(crate) fn cancel(&mut self, request: RequestId, out: &mut Vec<Action>) -> bool {
        if self.queue.remove(request).is_none() {
            return false;
        }
        self.send(Body::Withdraw(Withdraw { request }), out);
        true
    }

    /// Registers a waiting request again, as suspect.
    pub(crate) fn suspect(&mut self, request: RequestId, now: Mono, out: &mut Vec<Action>) {
        let Some(pending) = self
            .queue
            .get(request)
            .filter(|pending| !pending.suspect)
            .cloned()
        else {
            return;
        };
        self.cancel(request, out);
        let pending = PendingRequest {
            suspect: true,
            ..pending
        };
        self.enqueue(pending, now, out);
    }

    pub(crate) fn progress(&mut self, attempt: AttemptId, used: Service) {
        if let Some(running) = self.running.get_mut(&attempt) {
            running.used = running.used.max(used);
        }
    }

    /// Removes an ended attempt; returns whether it was running and no retry of its request waits.
    pub(crate) fn ended(&mut self, finished: Finished, out: &mut Vec<Action>) -> bool {
        if self.running.remove(&finished.attempt).is_none() {
            return false;
        }
        self.send(Body::Finished(finished), out);
        // A retry of the request may be waiting already.
        self.queue.get(finished.attempt.request).is_none()
    }

    pub(crate) fn grant(&mut self, from: &Member, grant: Grant, now: Mono, out: &mut Vec<Action>) {
        if self.running.contains_key(&grant.attempt) {
            return;
        }
        if self.holder.as_ref() != Some(from) {
            let decline = decline(&grant, false);
            self.send_to(from.clone(), Body::Decline(decline), out);
            return;
        }
        let newer = self.update_seen(&grant);
        let waits = self.is_waiting(grant.attempt);
        if !waits || !newer || !self.lease_is_valid(grant.beat, now) {
            self.send(Body::Decline(decline(&grant, waits)), out);
            return;
        }
        self.start(grant, out);
    }

    /// Sends a [`Sync`], if the request comes from the current dispatcher.
    pub(crate) fn resync(&mut self, from: &Member, now: Mono, out: &mut Vec<Action>) {
        if self.holder.as_ref() == Some(from) {
            self.sync(now, out);
        }
    }

    pub(crate) fn refuse_all(&mut self, code: ErrorCode, out: &mut Vec<Action>) {
        let waiting: Vec<_> = self.queue.iter().map(|w| w.request).collect();
        for request in waiting {
            self.cancel(request, out);
            out.push(Action::Refuse { request, code });
        }
    }

    pub(crate) fn tick(&mut self, now: Mono, out: &mut Vec<Action>) {
        while let Some(pending) = self.queue.pop_expired(now) {
            let request = pending.request;
            let code = ErrorCode::Deadline;
            self.send(Body::Withdraw(Withdraw { request }), out);
            out.push(Action::Refuse { request, code });
        }
        let last = self.sent_renewals.back();
        if last.is_none_or(|s| now.saturating_sub(s.at) >= RENEWAL_INTERVAL) {
            self.renew(now, out);
        }
    }

    fn start(&mut self, grant: Grant, out: &mut Vec<Action>) {
        let Some(pending) = self.queue.remove(grant.attempt.request) else {
            return;
        };
        out.push(Action::Run(Run {
            pool: self.pool.clone(),
            attempt: grant.attempt,
            server: grant.server.clone(),
        }));
        let running = Running {
            attempt: grant.attempt,
            account: pending.account,
            route: pending.route,
            server: grant.server,
            loan: grant.loan,
            charged: grant.charged,
            used: 0,
            suspect: pending.suspect,
        };
        self.running.insert(grant.attempt, running);
    }

    /// Updates the latest grant received; returns whether `grant` is newer than all before.
    fn update_seen(&mut self, grant: &Grant) -> bool {
        if self.seen.epoch != grant.epoch {
            self.seen = Seen {
                epoch: grant.epoch,
                sequence: 0,
            };
        }
        let newer = grant.sequence > self.seen.sequence;
        self.seen.sequence = self.seen.sequence.max(grant.sequence);
        newer
    }

    fn is_waiting(&self, attempt: AttemptId) -> bool {
        let pending = self.queue.get(attempt.request);
        pending.is_some_and(|w| w.attempt() == attempt)
    }

    fn lease_is_valid(&self, renewal: RenewalNumber, now: Mono) -> bool {
        let sent = self.sent_renewals.iter().find(|s| s.renewal == renewal);
        sent.is_some_and(|s| now.saturating_sub(s.at) < GRANT_LEASE)
    }

    fn next_renewal(&mut self, now: Mono) -> RenewalNumber {
        self.last_renewal += 1;
        let renewal = self.last_renewal;
        self.sent_renewals
            .push_back(SentRenewal { renewal, at: now });
        if self.sent_renewals.len() > MAX_SENT_RENEWALS {
            self.sent_renewals.pop_front();
        }
        renewal
    }

    fn sync(&mut self, now: Mono, out: &mut Vec<Action>) {
        if self.holder.is_none() {
            return;
        }
        let mut waiting: Vec<_> = {
            let entries = self.queue.iter_since();
            entries
                .map(|(w, since)| registration(w, since, now))
                .collect()
        };
        // A message must fit into one frame of a link.
        let remaining = waiting.split_off(waiting.len().min(MAX_SYNC_REQUESTS));
        let sync = Sync {
            beat: self.next_renewal(now),
            seen: self.seen,
            waiting,
            running: self.running.values().cloned().collect(),
        };
        self.send(Body::Sync(sync), out);
        for registration in remaining {
            self.send(Body::Register(registration), out);
        }
    }

    fn renew(&mut self, now: Mono, out: &mut Vec<Action>) {
        if self.holder.is_none() {
            return;
        }
        let renew = Renew {
            beat: self.next_renewal(now),
            seen: self.seen,
            waiting: self.queue.checksum(),
            running: self.running.keys().copied().collect(),
            progress: self.take_progress(),
        };
        self.send(Body::Renew(renew), out);
    }

    /// Returns the attempts that have used more than was charged or reported, and marks the excess
    /// as reported.
    fn take_progress(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        for running in self.running.values_mut() {
            if running.used > running.charged {
                running.charged = running.used;
                progress.push(Progress {
                    attempt: running.attempt,
                    used: running.used,
                });
            }
        }
        progress
    }

    fn send(&self, body: Body, out: &mut Vec<Action>) {
        if let Some(holder) = self.holder.clone() {
            self.send_to(holder, body, out);
        }
    }

    fn send_to(&self, to: Member, body: Body, out: &mut Vec<Action>) {
        let pool = self.pool.clone();
        let message = Message { pool, body };
        out.push(Action::Send { to, message });
    }
}

fn decline(grant: &Grant, waits: bool) -> Decline {
    Decline {
        attempt: grant.attempt,
        epoch: grant.epoch,
        sequence: grant.sequence,
        waits,
    }
}

fn registration(pending: &PendingRequest, since: Mono, now: Mono) -> Registration {
    Registration {
        request: pending.request,
        number: pending.number,
        account: pending.account.clone(),
        route: pending.route.clone(),
        cost: pending.cost,
        suspect: pending.suspect,
        prefixes: pending.prefixes.clone(),
        waited: message::millis(now.saturating_sub(since)),
        left: message::millis(pending.deadline.saturating_sub(now)),
    }
}
