//! Handling of messages from requesters.

use std::collections::BTreeSet;

use primrose_core::clock::Mono;
use primrose_core::cost::Service;
use primrose_core::id::AttemptId;
use primrose_core::id::Member;

use crate::dispatcher::attempt::Attempt;
use crate::dispatcher::attempt::BorrowedSlot;
use crate::dispatcher::server::SlotId;
use crate::dispatcher::Action;
use crate::dispatcher::Dispatcher;
use crate::message::Body;
use crate::message::Checksum;
use crate::message::Decline;
use crate::message::Registration;
use crate::message::Renew;
use crate::message::Running;
use crate::message::Seen;
use crate::message::Sync;
use crate::message::Withdraw;
use crate::timing::GRANT_LEASE;
use crate::timing::LEASE_MARGIN;

impl Dispatcher {
    pub(super) fn register(&mut self, from: &Member, registration: Registration, now: Mono) {
        // Late or duplicated: the attempt has been granted already.
        if self.attempts.contains_key(&registration.attempt()) {
            return;
        }
        self.add_waiting(from, registration, now);
    }

    /// Replaces the state of a router with all its waiting requests and running attempts.
    pub(super) fn sync(&mut self, from: &Member, sync: Sync, now: Mono, out: &mut Vec<Action>) {
        if !self.routers.record_renewal(from, sync.beat, now) {
            return;
        }
        let listed = sync.running.iter().map(|r| r.attempt).collect();
        self.reclaim_unlisted(from, sync.seen, &listed, now, out);
        for running in sync.running {
            self.adopt_running(from, running, now);
        }
        for entry in self.waiting.remove_router(from) {
            self.update_waiting(&entry.registration.account);
        }
        for registration in sync.waiting {
            self.register(from, registration, now);
        }
    }

    pub(super) fn renew(&mut self, from: &Member, renew: &Renew, now: Mono, out: &mut Vec<Action>) {
        if !self.routers.record_renewal(from, renew.beat, now) {
            return;
        }
        for progress in &renew.progress {
            self.progress(progress.attempt, progress.used, now);
        }
        let epoch = self.epoch;
        let attempts = self.attempts.iter().filter(|(_, a)| a.router == *from);
        let received = attempts.filter(|(_, a)| a.received(renew.seen, epoch));
        let received: BTreeSet<_> = received.map(|(id, _)| *id).collect();
        let same_running = received.iter().copied().collect::<Checksum>() == renew.running;
        if same_running {
            for attempt in &received {
                self.mark_listed(*attempt, now);
            }
            self.reclaim_unlisted(from, renew.seen, &received, now, out);
        }
        let same_waiting = self.expected_waiting(from, renew.seen) == renew.waiting;
        if !(same_running && same_waiting) && self.routers.may_request_resync(from, now) {
            self.send(from, Body::Resync, out);
        }
    }

    pub(super) fn decline(&mut self, decline: Decline, now: Mono, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get(&decline.attempt) else {
            return;
        };
        // The decline is for an earlier grant of the attempt, or for another dispatcher's.
        if decline.epoch != self.epoch || decline.sequence != attempt.sequence {
            return;
        }
        self.totals.declined += 1;
        let entry = self.end_unsent(decline.attempt, now, out);
        if let Some(entry) = entry.filter(|_| decline.waits) {
            let account = entry.registration.account.clone();
            self.waiting.restore(entry);
            self.update_waiting(&account);
        }
    }

    pub(super) fn withdraw(&mut self, withdraw: Withdraw) {
        if let Some(entry) = self.waiting.remove(withdraw.request) {
            self.update_waiting(&entry.registration.account);
        }
    }

    /// Records an attempt's progress and charges the usage beyond the estimate.
    fn progress(&mut self, id: AttemptId, used: Service, now: Mono) {
        self.mark_listed(id, now);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.used = attempt.used.max(used);
        if attempt.used > attempt.charged {
            let more = attempt.used - attempt.charged;
            attempt.charged = attempt.used;
            let account = attempt.account.clone();
            self.ledger.charge(&account, more);
        }
    }

    /// Marks an attempt as reported running by its router.
    fn mark_listed(&mut self, id: AttemptId, now: Mono) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.listed = true;
        attempt.entry = None;
        if std::mem::take(&mut attempt.orphaned) {
            let slot = SlotId::Attempt(id);
            self.servers.set_orphaned(&attempt.server, slot, false, now);
        }
    }

    /// Adds a running attempt that another dispatcher granted, or updates one that is known.
    fn adopt_running(&mut self, from: &Member, running: Running, now: Mono) {
        let id = running.attempt;
        if self.attempts.contains_key(&id) {
            self.progress(id, running.used, now);
            return;
        }
        let loan = running.loan.map(|id| BorrowedSlot { id, zone: None });
        if loan.is_none() {
            let slot = SlotId::Attempt(id);
            self.servers.take(&running.server, slot, now);
            if running.suspect {
                self.servers.set_isolation_server(&running.server);
            }
        }
        let attempt = Attempt {
            router: from.clone(),
            account: running.account,
            route: running.route,
            server: running.server,
            loan,
            charged: running.charged,
            used: 0,
            sequence: 0,
            granted: now,
            listed: true,
            orphaned: false,
            suspect: running.suspect,
            entry: None,
        };
        self.attempts.insert(id, attempt);
        self.progress(id, running.used, now);
    }

    /// Reclaims the slots of attempts that the router does not list, unless the grant may still be
    /// in flight.
    fn reclaim_unlisted(
        &mut self,
        from: &Member,
        seen: Seen,
        listed: &BTreeSet<AttemptId>,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        let epoch = self.epoch;
        let is_reclaimable = |a: &Attempt| {
            let expired = now >= a.granted + GRANT_LEASE + LEASE_MARGIN;
            a.received(seen, epoch) || expired
        };
        let attempts = self.attempts.iter();
        let unlisted: Vec<_> = attempts
            .filter(|(id, a)| a.router == *from && !listed.contains(id) && is_reclaimable(a))
            .map(|(id, _)| *id)
            .collect();
        for id in unlisted {
            self.expire(id, now, out);
        }
    }

    /// Computes the checksum of the requests that wait at a router if only the grants up to `seen`
    /// have reached it.
    fn expected_waiting(&self, from: &Member, seen: Seen) -> Checksum {
        let mut checksum = self.waiting.checksum(from);
        for (id, attempt) in &self.attempts {
            let received = attempt.received(seen, self.epoch);
            if attempt.router == *from && !attempt.listed && !received {
                checksum.add(*id);
            }
        }
        checksum
    }

    fn add_waiting(&mut self, from: &Member, registration: Registration, now: Mono) {
        let account = registration.account.clone();
        self.waiting.push(from.clone(), registration, now);
        self.update_waiting(&account);
    }
}
