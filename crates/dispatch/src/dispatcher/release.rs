//! The end of attempts: slots come free, and charges are settled.

use primrose_core::clock::Mono;
use primrose_core::cost::Service;
use primrose_core::id::AttemptId;
use primrose_core::id::Member;
use primrose_core::table::PoolKind;

use crate::dispatcher::attempt::Attempt;
use crate::dispatcher::server::SlotId;
use crate::dispatcher::waiting::Entry;
use crate::dispatcher::Action;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::LoadReport;
use crate::message::Body;
use crate::message::Ending;
use crate::message::Finished;
use crate::message::LoanReturn;

/// Part of the difference to a new cost that the average of all costs takes over.
const MEAN_GAIN: f64 = 0.05;

impl Dispatcher {
    pub(super) fn finished(&mut self, finished: &Finished, now: Mono, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(&finished.attempt) else {
            return;
        };
        self.settle(&attempt, finished.used);
        if finished.ending == Ending::Done {
            let used = finished.used;
            self.estimator
                .settle(&attempt.account, &attempt.route, used);
            self.mean_cost += MEAN_GAIN * (used as f64 - self.mean_cost);
        }
        if attempt.loan.is_none() {
            self.judge(&attempt.server, finished, now);
        }
        self.free_slot(finished.attempt, &attempt, Some(*finished), now, out);
    }

    /// Ends an attempt that was not sent; returns its registration.
    pub(super) fn end_unsent(
        &mut self,
        id: AttemptId,
        now: Mono,
        out: &mut Vec<Action>,
    ) -> Option<Entry> {
        let attempt = self.attempts.remove(&id)?;
        self.settle(&attempt, 0);
        self.free_slot(id, &attempt, None, now, out);
        attempt.entry
    }

    /// Ends an attempt that its router does not list.
    pub(super) fn expire(&mut self, id: AttemptId, now: Mono, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.totals.expired += 1;
        let used = if attempt.listed { attempt.used } else { 0 };
        self.settle(&attempt, used);
        self.free_slot(id, &attempt, None, now, out);
    }

    /// Learns from an attempt's end what its server can bear.
    pub(super) fn judge(&mut self, server: &str, finished: &Finished, now: Mono) {
        let targets = self.pool.kind == PoolKind::Engine;
        let first = self.pool.first_token.as_millis();
        let inter = self.pool.inter_token.as_micros();
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        match finished.ending {
            Ending::Done => {
                server.succeeded();
                let late = finished.first.is_some_and(|ms| u128::from(ms) > first);
                let slow = finished.inter.is_some_and(|us| u128::from(us) > inter);
                if targets && (late || slow) {
                    server.limit.missed(now);
                } else {
                    server.limit.met(server.busy());
                }
            }
            Ending::Lost | Ending::Refused => server.failed(now),
            Ending::Failed | Ending::Cancelled | Ending::Unsent => {}
        }
    }

    pub(super) fn load(&mut self, report: &LoadReport, now: Mono) {
        let Some(server) = self.servers.get_mut(&report.server) else {
            return;
        };
        for slot in server.report(report.running, now) {
            match slot {
                SlotId::Attempt(id) => self.end_orphan(id, now),
                SlotId::Loan(id) => self.end_loan(id, now),
            }
        }
    }

    pub(super) fn router_down(&mut self, router: &Member, now: Mono, out: &mut Vec<Action>) {
        self.routers.remove(router);
        let attempts = self.attempts.iter();
        let orphans: Vec<_> = attempts
            .filter(|(_, a)| a.router == *router)
            .map(|(id, _)| *id)
            .collect();
        for id in orphans {
            self.orphan(id, now, out);
        }
        for entry in self.waiting.remove_router(router) {
            self.note_waiting(&entry.registration.account);
        }
    }

    /// Looks for silent routers, passed deadlines and orphans past the longest run.
    pub(super) fn sweep(&mut self, now: Mono, out: &mut Vec<Action>) {
        for router in self.routers.remove_silent(now) {
            self.router_down(&router, now, out);
        }
        let longest = self.pool.longest_run;
        let over = |at: Mono| now.saturating_sub(at) >= longest;
        let attempts = self.attempts.iter();
        let gone: Vec<_> = attempts
            .filter(|(_, a)| a.orphaned && over(a.granted))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.end_orphan(id, now);
        }
        let loans = self.spill.lent.iter();
        let gone: Vec<_> = loans
            .filter(|(_, l)| l.orphaned && over(l.at))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.end_loan(id, now);
        }
        self.ledger.forget_silent_writers(now);
    }

    /// Keeps the slot of a lost router counted; a lent one is the lender's matter.
    fn orphan(&mut self, id: AttemptId, now: Mono, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.loan.is_none() {
            attempt.orphaned = true;
            let slot = SlotId::Attempt(id);
            self.servers.set_orphaned(&attempt.server, slot, true, now);
            return;
        }
        if let Some(attempt) = self.attempts.remove(&id) {
            self.ledger.settle(&attempt.account, attempt.charged);
            self.return_loan(&attempt, None, true, out);
        }
    }

    fn end_orphan(&mut self, id: AttemptId, now: Mono) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.totals.orphans += 1;
        // Nobody will tell what it used: the charge stands.
        self.ledger.settle(&attempt.account, attempt.charged);
        let slot = SlotId::Attempt(id);
        self.servers.release(&attempt.server, slot, now);
    }

    /// Corrects the charge to what was used.
    fn settle(&mut self, attempt: &Attempt, used: Service) {
        let charged = attempt.charged;
        if used >= charged {
            self.ledger.charge(&attempt.account, used - charged);
        } else {
            self.ledger.refund(&attempt.account, charged - used);
        }
        self.ledger.settle(&attempt.account, used);
    }

    fn free_slot(
        &mut self,
        id: AttemptId,
        attempt: &Attempt,
        finished: Option<Finished>,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        if attempt.loan.is_some() {
            self.return_loan(attempt, finished, false, out);
            return;
        }
        let slot = SlotId::Attempt(id);
        self.servers.release(&attempt.server, slot, now);
        if attempt.suspect {
            self.suspect_ended(now);
        }
    }

    fn return_loan(
        &self,
        attempt: &Attempt,
        finished: Option<Finished>,
        orphaned: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(loan) = &attempt.loan else {
            return;
        };
        let over = Body::LoanReturn(LoanReturn {
            id: loan.id,
            finished,
            orphaned,
        });
        match &loan.zone {
            Some(zone) => {
                if let Some(holder) = self.spill.holder(zone) {
                    self.send(holder, over, out);
                }
            }
            // Granted by an earlier dispatcher: only the lender knows its loan.
            None => {
                for holder in self.spill.holders() {
                    self.send(holder, over.clone(), out);
                }
            }
        }
    }
}
