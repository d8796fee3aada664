//! Scheduling: assigns free slots to local requests and to other zones.

use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::cost::Service;
use primrose_core::id::RequestId;
use primrose_core::id::ServerId;

use crate::dispatcher::attempt::Attempt;
use crate::dispatcher::attempt::BorrowedSlot;
use crate::dispatcher::server::SlotId;
use crate::dispatcher::waiting::Entry;
use crate::dispatcher::waiting::NextRequest;
use crate::dispatcher::Action;
use crate::dispatcher::Dispatcher;
use crate::lending::Lent;
use crate::lending::RemoteCandidate;
use crate::lending::UnmetDemand;
use crate::message::Body;
use crate::message::Grant;
use crate::message::Loan;
use crate::message::LoanId;

/// How long a pool's only server runs other requests between two suspects.
const SUSPECT_PAUSE: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Assigns free slots until no slot is free or no request waits.
    pub(super) fn schedule(&mut self, now: Mono, out: &mut Vec<Action>) {
        if now < self.settle_until {
            return;
        }
        self.schedule_suspects(now, out);
        while self.servers.has_free(now) {
            let local = self.next_request(false, now);
            let cost = self.mean_cost as Service;
            let policy = self.policy.as_ref();
            let remote = self
                .lending
                .best_remote(self.epoch, &self.ledger, policy, cost, now);
            match (local, remote) {
                (Some(local), Some(remote)) if self.prefers_remote(&local, &remote) => {
                    self.lend(remote, now, out);
                }
                (Some(local), _) => {
                    if !self.lend_to_older(&local, now, out) {
                        self.grant_local(local.request, now, out);
                    }
                }
                (None, Some(remote)) => self.lend(remote, now, out),
                (None, None) => break,
            }
        }
        self.publish_demand(now, out);
    }

    /// Returns the local request to serve next.
    pub(super) fn next_request(&self, suspect: bool, now: Mono) -> Option<NextRequest> {
        let is_eligible = |entry: &Entry| self.is_eligible(entry, now);
        let policy = self.policy.as_ref();
        self.waiting
            .next_request(suspect, policy, &self.ledger, &is_eligible)
    }

    /// Returns the local request to run on a borrowed slot.
    pub(super) fn borrowing_request(&self, loan: &Loan, now: Mono) -> Option<RequestId> {
        let is_eligible = |entry: &Entry| self.is_eligible(entry, now);
        let account = loan.account.as_ref();
        let named = account.and_then(|account| self.waiting.oldest(account, &is_eligible));
        named.or_else(|| {
            self.next_request(loan.suspect, now)
                .map(|next| next.request)
        })
    }

    /// Lends a slot that is due to an account to the zone where a request of that account has
    /// waited much longer than any here; returns whether it did.
    ///
    /// The counters determine which account is served next, not which of its requests. Without this
    /// rule, an account that is served in one zone could starve its own requests in another.
    fn lend_to_older(&mut self, local: &NextRequest, now: Mono, out: &mut Vec<Action>) -> bool {
        let older = self
            .lending
            .zone_with_older(&local.account, local.since, now);
        let Some(zone) = older.cloned() else {
            return false;
        };
        let Some(server) = self.servers.pick(&[], now) else {
            return false;
        };
        let account = local.account.clone();
        self.lend_server(zone, account, server, false, now, out);
        true
    }

    /// Grants a waiting request a slot lent by another zone.
    pub(super) fn grant_borrowed(
        &mut self,
        request: RequestId,
        server: ServerId,
        loan: BorrowedSlot,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        self.totals.borrowed += 1;
        self.grant(request, server, Some(loan), now, out);
    }

    /// Returns whether this zone provides the isolation server for suspects.
    ///
    /// This is the first zone by name among those that are reachable and have a server. So the
    /// fleet risks one server of the pool at a time, or one on each side of a network partition.
    pub(super) fn hosts_suspects(&self) -> bool {
        let mut peers = self.lending.peers.iter();
        let first = peers.all(|(zone, peer)| {
            let reachable = peer.holder.is_some();
            !reachable || self.zone < *zone || peer.hosts_suspects == Some(false)
        });
        first && self.servers.has_live_server()
    }

    /// Records the end of a suspect: on a pool's only server, other requests run before the next
    /// one.
    pub(super) fn suspect_ended(&mut self, now: Mono) {
        if self.servers.live_count() <= 1 {
            self.suspects_paused_until = now + SUSPECT_PAUSE;
        }
    }

    fn schedule_suspects(&mut self, now: Mono, out: &mut Vec<Action>) {
        let running = self.runs_suspect();
        if !self.hosts_suspects() {
            self.servers.update_isolation_server(false, running, now);
            return;
        }
        let remote = self.lending.suspect_zone(now).cloned();
        let local = self.next_request(true, now);
        let waiting = (local.is_some() || remote.is_some()) && now >= self.suspects_paused_until;
        self.servers.update_isolation_server(waiting, running, now);
        let Some(server) = self.servers.idle_isolation_server(now) else {
            return;
        };
        if let Some(next) = local {
            self.grant(next.request, server, None, now, out);
        } else if let Some(zone) = remote {
            let account = String::new();
            self.lend_server(zone, account, server, true, now, out);
        }
    }

    /// Returns whether a suspect runs on a server of this zone.
    fn runs_suspect(&self) -> bool {
        let mut own = self.attempts.values();
        let mut lent = self.lending.lent.values();
        own.any(|a| a.suspect && a.loan.is_none()) || lent.any(|l| l.suspect)
    }

    fn is_eligible(&self, entry: &Entry, now: Mono) -> bool {
        entry.deadline > now && self.routers.current_renewal(&entry.router, now).is_some()
    }

    fn prefers_remote(&self, local: &NextRequest, remote: &RemoteCandidate) -> bool {
        let threshold = self.policy.threshold();
        threshold.is_some_and(|t| remote.rank.saturating_add(t) < local.rank)
    }

    fn grant_local(&mut self, request: RequestId, now: Mono, out: &mut Vec<Action>) {
        let Some(entry) = self.waiting.get(request) else {
            return;
        };
        let prefixes = &entry.registration.prefixes;
        let Some(server) = self.servers.pick(prefixes, now) else {
            return;
        };
        self.grant(request, server, None, now, out);
    }

    fn grant(
        &mut self,
        request: RequestId,
        server: ServerId,
        loan: Option<BorrowedSlot>,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.waiting.remove(request) else {
            return;
        };
        let Some(beat) = self.routers.current_renewal(&entry.router, now) else {
            return;
        };
        let registration = &entry.registration;
        let id = registration.attempt();
        let account = registration.account.clone();
        let route = registration.route.clone();
        let charged = self.estimator.estimate(&account, &route, registration.cost);
        let sequence = self.next_sequence();
        self.totals.granted += 1;
        self.ledger.charge(&account, charged);
        if loan.is_none() {
            self.servers.take(&server, SlotId::Attempt(id), now);
            if let Some(server) = self.servers.get_mut(&server) {
                server.affinity.record(&registration.prefixes);
            }
        }
        let grant = Grant {
            epoch: self.epoch,
            sequence,
            beat,
            attempt: id,
            server: server.clone(),
            loan: loan.as_ref().map(|l| l.id),
            charged,
        };
        self.send(&entry.router, Body::Grant(grant), out);
        let attempt = Attempt {
            router: entry.router.clone(),
            account: account.clone(),
            route,
            server,
            loan,
            charged,
            used: 0,
            sequence,
            granted: now,
            listed: false,
            orphaned: false,
            suspect: registration.suspect,
            entry: Some(entry),
        };
        self.attempts.insert(id, attempt);
        self.update_waiting(&account);
    }

    fn lend(&mut self, remote: RemoteCandidate, now: Mono, out: &mut Vec<Action>) {
        if let Some(server) = self.servers.pick(&[], now) {
            self.lend_server(remote.zone, remote.account, server, false, now, out);
        }
    }

    fn lend_server(
        &mut self,
        zone: String,
        account: String,
        server: ServerId,
        suspect: bool,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        let Some(holder) = self.lending.holder(&zone).cloned() else {
            return;
        };
        let id = LoanId {
            epoch: self.epoch,
            sequence: self.next_sequence(),
        };
        self.totals.lent += 1;
        self.servers.take(&server, SlotId::Loan(id), now);
        let loan = Loan {
            id,
            server: server.clone(),
            account: (!suspect).then(|| account.clone()),
            suspect,
        };
        self.send(&holder, Body::Loan(loan), out);
        let lent = Lent {
            zone,
            server,
            account,
            at: now,
            orphaned: false,
            router_lost: false,
            suspect,
        };
        self.lending.lent.insert(id, lent);
    }

    /// Returns the demand that this zone cannot serve now.
    pub(super) fn unmet_demand(&self, now: Mono) -> UnmetDemand {
        let is_eligible = |entry: &Entry| self.is_eligible(entry, now);
        let wants = if self.servers.has_free(now) {
            Vec::new()
        } else {
            self.waiting.wants(&self.ledger, &is_eligible)
        };
        let suspects = if self.hosts_suspects() {
            0
        } else {
            u32::try_from(self.waiting.suspects()).unwrap_or(u32::MAX)
        };
        UnmetDemand { wants, suspects }
    }
}
