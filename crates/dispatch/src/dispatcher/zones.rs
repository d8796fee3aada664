//! Messages between the dispatchers of the same pool in different zones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use primrose_core::clock::Mono;
use primrose_core::id::AccountId;
use primrose_core::id::Member;
use primrose_core::id::ZoneId;
use rand::Rng;

use crate::dispatcher::attempt::Borrowing;
use crate::dispatcher::server::SlotId;
use crate::dispatcher::Action;
use crate::dispatcher::Dispatcher;
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
use crate::spill::Lent;
use crate::timing::DIGEST_EVERY;
use crate::timing::DIGEST_PEERS;
use crate::timing::LEASE_MARGIN;
use crate::timing::START_LEASE;

/// A dispatcher younger than this starts from another's standings.
const JOIN_WITHIN: Duration = Duration::from_secs(5);
/// A dispatcher younger than this does not list loans: routers may not have registered yet.
const LOANS_AFTER: Duration = START_LEASE;
/// Digests are moved by up to this part of their period, so that zones do not fall into step.
const DIGEST_JITTER: f64 = 0.2;

impl Dispatcher {
    pub(super) fn set_peers(
        &mut self,
        holders: BTreeMap<ZoneId, Option<Member>>,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        let new = self.spill.set_peers(holders);
        self.note_cut_zones(now);
        if new.is_empty() {
            return;
        }
        if self.ledger.age(now) < JOIN_WITHIN {
            for holder in &new {
                self.send(holder, Body::Join, out);
            }
        }
        // A zone that can be reached again missed what changed meanwhile.
        self.ledger.resend_all();
        self.spill.tell_anew();
    }

    pub(super) fn joined(&mut self, from: &Member, out: &mut Vec<Action>) {
        let standings = self.ledger.snapshot();
        if !standings.is_empty() {
            self.send(from, Body::Snapshot(Snapshot { standings }), out);
        }
    }

    pub(super) fn snapshot(&mut self, snapshot: &Snapshot, now: Mono) {
        if self.ledger.age(now) < JOIN_WITHIN {
            self.ledger.adopt(&snapshot.standings);
        }
    }

    pub(super) fn digest(&mut self, from: &Member, digest: &Digest, now: Mono) {
        let age = Duration::from_millis(digest.age.into());
        self.ledger.merge(from, age, &digest.rows, now);
        let Some(zone) = self.spill.zone_of(from).cloned() else {
            return;
        };
        if self.spill.note_digest(&zone, digest, now) {
            let waiting: BTreeSet<AccountId> =
                digest.waiting.iter().map(|w| w.account.clone()).collect();
            self.ledger.set_waiting_accounts(&zone, &waiting);
            if let Some(loans) = &digest.loans {
                self.keep_loans(&zone, loans, now);
            }
        }
    }

    pub(super) fn demand(&mut self, from: &Member, demand: Demand, now: Mono) {
        let Some(zone) = self.spill.zone_of(from).cloned() else {
            return;
        };
        for want in &demand.wants {
            self.ledger.set_waiting(&want.account, &zone, true);
        }
        self.spill.note_demand(&zone, demand, now);
    }

    /// Uses a slot that another zone lends, or gives it back.
    pub(super) fn loan(&mut self, from: &Member, loan: Loan, now: Mono, out: &mut Vec<Action>) {
        let id = loan.id;
        let zone = self.spill.zone_of(from).cloned();
        let fresh = zone.as_ref().is_some_and(|z| self.spill.note_loan(z, id));
        let used = |b: &Option<Borrowing>| b.as_ref().is_some_and(|b| b.id == id);
        if self.attempts.values().any(|a| used(&a.loan)) {
            return;
        }
        let request = self.borrowing_request(&loan, now).filter(|_| fresh);
        let Some(request) = request else {
            let unused = LoanReturn {
                id,
                finished: None,
                orphaned: false,
            };
            self.send(from, Body::LoanReturn(unused), out);
            return;
        };
        let borrowing = Borrowing { id, zone };
        self.grant_borrowed(request, loan.server, borrowing, now, out);
    }

    pub(super) fn loan_return(&mut self, over: &LoanReturn, now: Mono) {
        let Some(lent) = self.spill.lent.get_mut(&over.id) else {
            return;
        };
        let server = lent.server.clone();
        if over.orphaned {
            lent.orphaned = true;
            lent.lost = true;
            let slot = SlotId::Loan(over.id);
            self.servers.set_orphaned(&server, slot, true, now);
            return;
        }
        match &over.finished {
            Some(finished) => self.judge(&server, finished, now),
            None => self.totals.unused += 1,
        }
        self.end_loan(over.id, now);
    }

    /// Keeps the loans that a zone lists, and takes back those that it does not.
    fn keep_loans(&mut self, zone: &str, loans: &Loans, now: Mono) {
        let listed: BTreeSet<LoanId> = loans.loans.iter().map(|l| l.id).collect();
        for borrowed in &loans.loans {
            self.keep_loan(zone, borrowed, now);
        }
        let epoch = self.epoch;
        let over = |id: &LoanId, lent: &Lent| {
            let seen = loans.seen.epoch == epoch && id.epoch == epoch;
            let received = seen && id.sequence <= loans.seen.sequence;
            received || now >= lent.at + START_LEASE + LEASE_MARGIN
        };
        let lent = self.spill.lent.iter();
        let gone: Vec<_> = lent
            .filter(|(id, l)| l.zone == zone && !l.lost && !listed.contains(id) && over(id, l))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.totals.expired += 1;
            self.end_loan(id, now);
        }
    }

    pub(super) fn end_loan(&mut self, id: LoanId, now: Mono) {
        if let Some(lent) = self.spill.lent.remove(&id) {
            self.servers.release(&lent.server, SlotId::Loan(id), now);
            if lent.suspect {
                self.suspect_ended(now);
            }
        }
    }

    /// Lists the loans of a zone that are in use; nothing while routers may not have registered.
    fn loans_of(&self, zone: &str, seen: Seen, now: Mono) -> Option<Loans> {
        if self.ledger.age(now) < LOANS_AFTER {
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
        let holders = self.spill.holders().count();
        let groups = holders.div_ceil(DIGEST_PEERS).max(1);
        let period = DIGEST_EVERY.mul_f64(groups as f64);
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
            waiting: self.waiting.waits(now),
            hosts: self.servers.has_live(),
            loans: None,
        };
        for (zone, peer) in &self.spill.peers {
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

    pub(super) fn tell_demand(&mut self, now: Mono, out: &mut Vec<Action>) {
        let level = self.level(now);
        let Some(sequence) = self.spill.tell(&level, now) else {
            return;
        };
        for (holder, seen) in self.spill.told_zones(sequence) {
            let demand = Demand {
                sequence,
                seen,
                wants: level.wants.clone(),
                suspects: level.suspects,
            };
            self.send(&holder, Body::Demand(demand), out);
        }
    }

    /// Counts a loan that an earlier dispatcher of this zone made.
    fn keep_loan(&mut self, zone: &str, borrowed: &Borrowed, now: Mono) {
        if let Some(lent) = self.spill.lent.get_mut(&borrowed.id) {
            lent.orphaned = false;
            lent.lost = false;
            let slot = SlotId::Loan(borrowed.id);
            self.servers.set_orphaned(&lent.server, slot, false, now);
            return;
        }
        // Renewals of loans whose lender is unknown go to all zones.
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
            lost: false,
            suspect: false,
        };
        self.spill.lent.insert(borrowed.id, lent);
    }

    /// Marks loans to zones that cannot be reached, and forgets who waits there.
    fn note_cut_zones(&mut self, now: Mono) {
        let reachable = |zone: &str| self.spill.holder(zone).is_some();
        let zones: Vec<_> = self.spill.peers.keys().cloned().collect();
        let cut: BTreeSet<_> = zones.iter().filter(|z| !reachable(z)).cloned().collect();
        for (id, lent) in &mut self.spill.lent {
            if cut.contains(&lent.zone) && !lent.orphaned {
                lent.orphaned = true;
                let slot = SlotId::Loan(*id);
                self.servers.set_orphaned(&lent.server, slot, true, now);
            }
        }
        for zone in &cut {
            self.ledger.set_waiting_accounts(zone, &BTreeSet::new());
        }
    }
}
