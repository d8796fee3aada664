//! End of attempts: frees slots, settles charges and adapts server limits.

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

/// Weight of a new cost in the exponential moving average of all costs.
const MEAN_COST_WEIGHT: f64 = 0.05;

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
            self.mean_cost += MEAN_COST_WEIGHT * (used as f64 - self.mean_cost);
        }
        if attempt.loan.is_none() {
            self.record_ending(&attempt.server, finished, now);
        }
        self.free_slot(finished.attempt, &attempt, Some(*finished), now, out);
    }

    /// Ends an attempt that was not sent to its server; returns its registration.
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

    /// Ends an attempt that its router no longer lists.
    pub(super) fn expire(&mut self, id: AttemptId, now: Mono, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.totals.expired += 1;
        // An attempt that was never listed is taken not to have run.
        let used = if attempt.listed { attempt.used } else { 0 };
        self.settle(&attempt, used);
        self.free_slot(id, &attempt, None, now, out);
    }

    /// Adapts a server's limit and availability to the outcome of an attempt.
    pub(super) fn record_ending(&mut self, server: &str, finished: &Finished, now: Mono) {
        let has_targets = self.pool.kind == PoolKind::Engine;
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
                if has_targets && (late || slow) {
                    server.limit.record_miss(now);
                } else {
                    server.limit.record_success(server.busy());
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
            self.update_waiting(&entry.registration.account);
        }
    }

    /// Removes expired routers, and orphans older than the pool's longest run time.
    pub(super) fn sweep(&mut self, now: Mono, out: &mut Vec<Action>) {
        for router in self.routers.remove_expired(now) {
            self.router_down(&router, now, out);
        }
        let longest = self.pool.max_run_time;
        let is_past_longest_run = |at: Mono| now.saturating_sub(at) >= longest;
        let attempts = self.attempts.iter();
        let expired: Vec<_> = attempts
            .filter(|(_, a)| a.orphaned && is_past_longest_run(a.granted))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_orphan(id, now);
        }
        let loans = self.lending.lent.iter();
        let expired: Vec<_> = loans
            .filter(|(_, l)| l.orphaned && is_past_longest_run(l.at))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_loan(id, now);
        }
        self.ledger.forget_silent_writers(now);
    }

    /// Keeps a lost router's slot taken; a borrowed slot is returned to the lender as orphaned.
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
        // The actual usage will never be reported, so the charge stands.
        self.ledger.settle(&attempt.account, attempt.charged);
        let slot = SlotId::Attempt(id);
        self.servers.release(&attempt.server, slot, now);
    }

    /// Corrects an attempt's charge to its actual usage.
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
        let message = Body::LoanReturn(LoanReturn {
            id: loan.id,
            finished,
            orphaned,
        });
        match &loan.zone {
            Some(zone) => {
                if let Some(holder) = self.lending.holder(zone) {
                    self.send(holder, message, out);
                }
            }
            // An earlier dispatcher granted the attempt, so the lender is unknown: notify all
            // zones.
            None => {
                for holder in self.lending.holders() {
                    self.send(holder, message.clone(), out);
                }
            }
        }
    }
}
