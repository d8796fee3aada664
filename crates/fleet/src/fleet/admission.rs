//! Admission of requests: how long a request may wait at the server that was chosen for it.

use std::time::Duration;

use primrose_core::clock::Mono;

use super::placement::RETRY_AFTER_RANGE;
use super::roles::Role;
use super::Fleet;
use super::PlacementRequest;
use super::Refusal;
use super::RefusalReason;
use crate::demand::AccountShare;
use crate::demand::ShareUsage;
use crate::entry::short_id;
use crate::place::Choice;

/// Fraction of the objective that a request of an account within its quota may wait. The rest is
/// a margin for requests that other gateways have sent to the server but not published yet.
const WAIT_FRACTION_WITHIN_QUOTA: f64 = 0.85;
/// Fraction of the objective that a request of an account over its quota but within its fair share
/// may wait; the rest is left to accounts within their quotas.
const WAIT_FRACTION_WITHIN_FAIR_SHARE: f64 = 0.6;
/// Excess over the fair share, as a fraction of it, from which on an account's requests are refused
/// at once. Up to there the allowed wait decreases linearly to nothing. With a single step, all
/// accounts over their fair share would get capacity in proportion to their demand; with a lower
/// bound of the wait, an account with many requests would always find a server with a short queue.
/// While the others get all they ask for, the fair share of the largest account is what they leave, so
/// that its excess stays near zero and spare capacity is used.
const MAX_EXCESS: f64 = 0.5;
/// Fraction of the objective that a request of an account within its quota may wait for those ahead of it
/// if its own prompt takes most of the objective. It does not apply to a request whose prompt alone takes
/// longer than the allowed wait at a server of usual speed: refused, it would not be served sooner.
const QUEUE_FRACTION_LARGE: f64 = 0.2;
/// Fraction of the whole objective that a request may wait if its objective has already passed.
/// When many callers retry late, a longer wait fills the servers with late requests until all are
/// late.
const WAIT_FRACTION_LATE: f64 = 0.6;
/// Fraction of the time to its deadline that a request may wait if its objective has already
/// passed.
const REMAINING_TIME_FRACTION: f64 = 0.4;
/// Fraction of the time to its deadline that a plain call may wait: a late response is still
/// useful.
const CALL_WAIT_FRACTION: f64 = 0.5;
/// Longest time after which a stream that a caller resumes may go on, besides its own reading. Callers
/// give a stream up after two seconds without an event.
const MAX_CONTINUATION_WAIT: Duration = Duration::from_millis(1_500);

impl Fleet {
    /// Returns the refusal of a new request that would wait too long.
    pub(super) fn admit(
        &self,
        request: &PlacementRequest,
        choice: Choice,
        share: Option<AccountShare>,
        now: Mono,
    ) -> Option<Refusal> {
        let remaining = request.deadline.saturating_sub(now);
        let elapsed = now.saturating_sub(request.arrived);
        let Some(prompt) = &request.prompt else {
            let allowed = remaining.mul_f64(CALL_WAIT_FRACTION);
            return check_wait(RefusalReason::Overload, choice.wait, allowed);
        };
        let objective = request.route.objective.saturating_sub(elapsed);
        if objective.is_zero() {
            let allowed = request.route.objective.mul_f64(WAIT_FRACTION_LATE);
            let allowed = allowed.min(remaining.mul_f64(REMAINING_TIME_FRACTION));
            return check_wait(RefusalReason::Overload, choice.wait, allowed);
        }
        let share_usage = share.map_or(ShareUsage::WithinQuota, |share| {
            share.usage(prompt.service())
        });
        let (reason, wait_fraction) = match share_usage {
            ShareUsage::WithinQuota => (RefusalReason::Overload, WAIT_FRACTION_WITHIN_QUOTA),
            ShareUsage::WithinFairShare => {
                (RefusalReason::Overload, WAIT_FRACTION_WITHIN_FAIR_SHARE)
            }
            ShareUsage::OverFairShare { excess } => {
                (RefusalReason::OverShare, over_share_wait_fraction(excess))
            }
            ShareUsage::NotConsidered => (RefusalReason::OverShare, 0.0),
        };
        let mut allowed = objective.mul_f64(wait_fraction);
        if share_usage == ShareUsage::WithinQuota {
            let own_wait = choice.wait.saturating_sub(choice.queue_wait);
            let pool = self.pools.get(&request.pool);
            let usual_wait = pool.map(|pool| pool.prefill.predict(choice.uncached_tokens));
            let is_always_late = usual_wait.is_some_and(|wait| wait > allowed);
            let queue_fraction = if is_always_late {
                wait_fraction
            } else {
                QUEUE_FRACTION_LARGE
            };
            allowed = allowed.max(own_wait + objective.mul_f64(queue_fraction));
        }
        check_wait(reason, choice.wait, allowed)
    }

    /// Whether a request is sent although a new one would be refused, because it goes on with a stream:
    /// its account was charged when the stream began, and a refusal loses what the caller already has.
    /// After a crash it is the accounts with the most requests that resume streams.
    pub(super) fn may_resume(
        &mut self,
        request: &PlacementRequest,
        choice: Choice,
        now: Mono,
    ) -> bool {
        let Some(prompt) = request.prompt.filter(|_| request.is_continuation()) else {
            return false;
        };
        let elapsed = now.saturating_sub(request.arrived);
        let remaining = request.deadline.saturating_sub(now);
        let allowed = MAX_CONTINUATION_WAIT.saturating_sub(elapsed);
        let allowed = allowed.min(remaining.mul_f64(REMAINING_TIME_FRACTION));
        if choice.queue_wait > allowed {
            return false;
        }
        let catalog = self.catalog.as_ref();
        let rate = catalog.and_then(|catalog| catalog.tables().limits.token_rate);
        let account = request.account.as_deref().map(short_id);
        match (account, rate) {
            (Some(account), Some(rate)) => {
                let rate = self.remaining_rate(rate, &request.pool);
                self.demand.may_resume(account, prompt.service(), rate, now)
            }
            _ => true,
        }
    }

    /// Records a refusal for lack of capacity that an account within its quota got.
    pub(super) fn record_missed(
        &mut self,
        request: &PlacementRequest,
        share: Option<AccountShare>,
        reason: RefusalReason,
        now: Mono,
    ) {
        let (Some(prompt), Some(share)) = (request.prompt, share) else {
            return;
        };
        let is_full = matches!(
            reason,
            RefusalReason::Overload | RefusalReason::ServerLimits | RefusalReason::NoRoom
        );
        let tokens = prompt.service();
        if is_full && share.usage(tokens) == ShareUsage::WithinQuota {
            self.demand.record_missed(tokens, now);
        }
    }

    /// Returns the usage and the shares of the account of a request with a prompt; none if the
    /// operators configured no token rate.
    pub(super) fn account_share(
        &mut self,
        request: &PlacementRequest,
        now: Mono,
    ) -> Option<AccountShare> {
        request.prompt?;
        let account = short_id(request.account.as_deref()?);
        let catalog = self.catalog.as_ref()?;
        let rate = catalog.tables().limits.token_rate?;
        let rate = self.remaining_rate(rate, &request.pool);
        let are_late = self.role != Role::Mesh;
        Some(self.demand.account_share(account, rate, are_late, now))
    }
}

/// Returns the fraction of the objective that a request of an account over its fair share may wait;
/// it decreases with the excess.
fn over_share_wait_fraction(excess: f64) -> f64 {
    WAIT_FRACTION_WITHIN_FAIR_SHARE * (1.0 - excess / MAX_EXCESS).max(0.0)
}

fn check_wait(reason: RefusalReason, predicted: Duration, allowed: Duration) -> Option<Refusal> {
    if predicted <= allowed {
        return None;
    }
    let excess = predicted.saturating_sub(allowed);
    Some(Refusal {
        reason,
        retry_after: excess.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
        predicted,
        allowed,
        share: None,
        limits: None,
    })
}
