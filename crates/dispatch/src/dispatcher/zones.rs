//! Handling of messages between the dispatchers of the same pool in different zones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use rand::Rng;

use crate::dispatcher::attempt::BorrowedSlot;
use crate::dispatcher::server::SlotId;
use crate::dispatcher::Action;
use crate::dispatcher::Dispatcher;
use crate::lending::Lent;
use crate::message;
use crate::message::Body;
use crate::message::Borrowed;
use crate::message::Demand;
use crate::message::Digest;
use crate::message::Loan;
use crate::message::LoanId;
use crate::message::LoanReturn;
use crate::message::Loans;
use crate::message::Seen;
use crate::message::Snapshot;
use crate::timing::DIGEST_GROUP_ZONES;
use crate::timing::DIGEST_INTERVAL;
use crate::timing::GRANT_LEASE;
use crate::timing::LEASE_MARGIN;

/// Maximum age at which a dispatcher adopts another one's snapshot of the accounts' service.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(5);
/// Minimum age at which a dispatcher lists its loans: before that, routers may not have registered.
const MIN_LOAN_LIST_AGE: Duration = GRANT_LEASE;
/// Maximum fraction by which the period of a digest is shortened, so that zones do not synchronize.
const DIGEST_JITTER: f64 = 0.2;

impl Dispatcher {
    pub(super) fn set_peers(
        &mut self,
        holders: BTreeMap<ZoneId, Option<Member>>,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        let new = self.lending.set_peers(holders);
        self.orphan_unreachable_loans(now);
        if new.is_empty() {
            return;
        }
        if self.ledger.age(now) < MAX_SNAPSHOT_AGE {
            for holder in &new {
                self.send(holder, Body::Join, out);
            }
        }
        // A zone that is reachable again missed the changes in the meantime.
        self.ledger.resend_all();
        self.lending.force_publication();
    }

    pub(super) fn join(&mut self, from: &Member, out: &mut Vec<Action>) {
        let standings = self.ledger.snapshot();
        if !standings.is_empty() {
            self.send(from, Body::Snapshot(Snapshot { standings }), out);
        }
    }

    pub(super) fn snapshot(&mut self, snapshot: &Snapshot, now: Mono) {
        if self.ledger.age(now) < MAX_SNAPSHOT_AGE {
            self.ledger.adopt(&snapshot.standings);
        }
    }

    pub(super) fn digest(&mut self, from: &Member, digest: &Digest, now: Mono) {
        let age = Duration::from_millis(digest.age.into());
        self.ledger.merge(from, age, &digest.rows, now);
        let Some(zone) = self.lending.zone_held_by(from).cloned() else {
            return;
        };
        if self.lending.record_digest(&zone, digest, now) {
            let waiting: BTreeSet<AccountId> =
                digest.waiting.iter().map(|w| w.account.clone()).collect();
            self.ledger.set_waiting_accounts(&zone, &waiting);
            if let Some(loans) = &digest.loans {
                self.reconcile_loans(&zone, loans, now);
            }
        }
    }

    pub(super) fn demand(&mut self, from: &Member, demand: Demand, now: Mono) {
        let Some(zone) = self.lending.zone_held_by(from).cloned() else {
            return;
        };
        for want in &demand.wants {
            self.ledger.set_waiting(&want.account, &zone, true);
        }
        self.lending.record_demand(&zone, demand, now);
    }

    /// Grants a slot that another zone lends, or returns it unused.
    pub(super) fn loan(&mut self, from: &Member, loan: Loan, now: Mono, out: &mut Vec<Action>) {
        let id = loan.id;
        let zone = self.lending.zone_held_by(from).cloned();
        let newer = zone
            .as_ref()
            .is_some_and(|z| self.lending.record_loan(z, id));
        let uses_loan = |b: &Option<BorrowedSlot>| b.as_ref().is_some_and(|b| b.id == id);
        if self.attempts.values().any(|a| uses_loan(&a.loan)) {
            return;
        }
        let request = self.borrowing_request(&loan, now).filter(|_| newer);
        let Some(request) = request else {
            let unused = LoanReturn {
                id,
                finished: None,
                orphaned: false,
            };
            self.send(from, Body::LoanReturn(unused), out);
            return;
        };
        let borrowing = BorrowedSlot { id, zone };
        self.grant_borrowed(request, loan.server, borrowing, now, out);
    }

    pub(super) fn loan_return(&mut self, loan_return: &LoanReturn, now: Mono) {
        let Some(lent) = self.lending.lent.get_mut(&loan_return.id) else {
            return;
        };
        let server = lent.server.clone();
        if loan_return.orphaned {
            lent.orphaned = true;
            lent.router_lost = true;
            let slot = SlotId::Loan(loan_return.id);
            self.servers.set_orphaned(&server, slot, true, now);
            return;
        }
        match &loan_return.finished {
            Some(finished) => self.record_ending(&server, finished, now),
            None => self.totals.unused += 1,
        }
        self.end_loan(loan_return.id, now);
    }

    /// Keeps the loans that a zone lists, and reclaims those that it does not.
    fn reconcile_loans(&mut self, zone: &str, loans: &Loans, now: Mono) {
        let listed: BTreeSet<LoanId> = loans.loans.iter().map(|l| l.id).collect();
        for borrowed in &loans.loans {
            self.adopt_loan(zone, borrowed, now);
        }
        let epoch = self.epoch;
        let is_reclaimable = |id: &LoanId, lent: &Lent| {
            let seen = loans.seen.epoch == epoch && id.epoch == epoch;
            let received = seen && id.sequence <= loans.seen.sequence;
            received || now >= lent.at + GRANT_LEASE + LEASE_MARGIN
        };
        let lent = self.lending.lent.iter();
        let unlisted: Vec<_> = lent
            .filter(|(id, l)| {
                l.zone == zone && !l.router_lost && !listed.contains(id) && is_reclaimable(id, l)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in unlisted {
            self.totals.expired += 1;
            self.end_loan(id, now);
        }
    }

    pub(super) fn end_loan(&mut self, id: LoanId, now: Mono) {
        if let Some(lent) = self.lending.lent.remove(&id) {
            self.servers.release(&lent.server, SlotId::Loan(id), now);
            if lent.suspect {
                self.suspect_ended(now);
            }
        }
    }

    /// Returns the loans from a zone that are in use; `None` while routers may not have registered.
    fn loans_of(&self, zone: &str, seen: Seen, now: Mono) -> Option<Loans> {
        if self.ledger.age(now) < MIN_LOAN_LIST_AGE {
            return None;
        }
        let mut loans = Vec::new();
        for attempt in self.attempts.values() {
            let Some(loan) = &attempt.loan else {
                continue;
            };
            if loan.zone.as_ref().is_none_or(|z| z == zone) {
                loans.push(Borrowed {
                    id: loan.id,
                    server: attempt.server.clone(),
                });
            }
        }
        Some(Loans { seen, loans })
    }

    pub(super) fn send_digest(&mut self, now: Mono, out: &mut Vec<Action>) {
        let holders = self.lending.holders().count();
        let groups = holders.div_ceil(DIGEST_GROUP_ZONES).max(1);
        let period = DIGEST_INTERVAL.mul_f64(groups as f64);
        let jitter = self.rng.random_range(0.0..DIGEST_JITTER);
        self.next_digest = now + period.mul_f64(1.0 - jitter);
        if holders == 0 {
            return;
        }
        self.digests += 1;
        let digest = Digest {
            sequence: self.digests,
            age: message::millis(self.ledger.age(now)),
            rows: self.ledger.digest(),
            waiting: self.waiting.oldest_waits(now),
            hosts: self.servers.has_live_server(),
            loans: None,
        };
        for (zone, peer) in &self.lending.peers {
            if let Some(holder) = &peer.holder {
                let loans = self.loans_of(zone, peer.seen, now);
                let digest = Digest {
                    loans,
                    ..digest.clone()
                };
                self.send(holder, Body::Digest(digest), out);
            }
        }
    }

    pub(super) fn publish_demand(&mut self, now: Mono, out: &mut Vec<Action>) {
        let unmet_demand = self.unmet_demand(now);
        let Some(sequence) = self.lending.next_publication(&unmet_demand, now) else {
            return;
        };
        for (holder, seen) in self.lending.demand_receivers(sequence) {
            let demand = Demand {
                sequence,
                seen,
                wants: unmet_demand.wants.clone(),
                suspects: unmet_demand.suspects,
            };
            self.send(&holder, Body::Demand(demand), out);
        }
    }

    /// Marks a known loan as no longer orphaned, or restores one that an earlier dispatcher of this
    /// zone made.
    fn adopt_loan(&mut self, zone: &str, borrowed: &Borrowed, now: Mono) {
        if let Some(lent) = self.lending.lent.get_mut(&borrowed.id) {
            lent.orphaned = false;
            lent.router_lost = false;
            let slot = SlotId::Loan(borrowed.id);
            self.servers.set_orphaned(&lent.server, slot, false, now);
            return;
        }
        // A loan whose lender is unknown is listed to all zones, so it may be another zone's.
        if self.servers.get(&borrowed.server).is_none() {
            return;
        }
        let slot = SlotId::Loan(borrowed.id);
        self.servers.take(&borrowed.server, slot, now);
        let lent = Lent {
            zone: zone.to_owned(),
            server: borrowed.server.clone(),
            account: AccountId::new(),
            at: now,
            orphaned: false,
            router_lost: false,
            suspect: false,
        };
        self.lending.lent.insert(borrowed.id, lent);
    }

    /// Marks loans to unreachable zones as orphaned, and clears the waiting accounts of those
    /// zones.
    fn orphan_unreachable_loans(&mut self, now: Mono) {
        let is_reachable = |zone: &str| self.lending.holder(zone).is_some();
        let zones: Vec<_> = self.lending.peers.keys().cloned().collect();
        let unreachable: BTreeSet<_> = zones.iter().filter(|z| !is_reachable(z)).cloned().collect();
        for (id, lent) in &mut self.lending.lent {
            if unreachable.contains(&lent.zone) && !lent.orphaned {
                lent.orphaned = true;
                let slot = SlotId::Loan(*id);
                self.servers.set_orphaned(&lent.server, slot, true, now);
            }
        }
        for zone in &unreachable {
            self.ledger.set_waiting_accounts(zone, &BTreeSet::new());
        }
    }
}
