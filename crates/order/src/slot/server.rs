//! Handling of replies of the server: its state, and the results of orders.

use primrose_core::clock::Mono;

use super::Context;
use super::Phase;
use super::ServerReconciler;
use crate::desired::Difference;
use crate::desired::Observed;
use crate::message::SendResult;
use crate::message::Unreachable;
use crate::permit::Permit;
use crate::record::PermitLoad;

/// Sends of one order after which its server is left alone until a later observation.
const MAX_SEND_ATTEMPTS: u32 = 3;

impl ServerReconciler {
    /// Handles the observed state of a server.
    pub(crate) fn on_observed(
        &mut self,
        result: Result<Observed, Unreachable>,
        context: &mut Context<'_>,
    ) {
        self.in_flight = false;
        if let (Phase::AcquiringPermit, Some(permit)) = (&self.phase, &mut self.permit) {
            permit.on_observed(&result, context.now, context.config);
            return;
        }
        let observed = match result {
            Ok(observed) => observed,
            Err(error) => {
                log::debug!("failed to observe {}: {error}", self.target.server);
                self.on_unreachable(context);
                return;
            }
        };
        let difference = self.target.desired.difference(&observed);
        if difference == Difference::None {
            self.on_converged(context);
            return;
        }
        match self.phase.clone() {
            Phase::Idle { .. } if difference == Difference::Busy => {
                let observe_at = context.now + context.config.observe_interval;
                self.phase = Phase::Idle { observe_at };
            }
            Phase::Idle { .. } => {
                self.needs_load = matches!(difference, Difference::Load(_));
                self.phase = Phase::ReadingKey {
                    retry_at: context.now,
                };
            }
            Phase::AwaitingEffect {
                resend_at,
                give_up_at,
                ..
            } => {
                self.check_effect(&difference, resend_at, give_up_at, context);
            }
            _ => self.act_on(difference, context),
        }
    }

    /// Releases the key, if held: the server is in its desired state.
    fn on_converged(&mut self, context: &mut Context<'_>) {
        self.backoff.reset();
        self.may_be_loading = false;
        let observe_at = context.now + context.config.observe_interval;
        if self.held_key.is_some() {
            self.start_release(context.now, observe_at);
        } else {
            self.phase = Phase::Idle { observe_at };
        }
    }

    fn on_unreachable(&mut self, context: &mut Context<'_>) {
        let delay = self.backoff.next_delay(context.rng);
        match &mut self.phase {
            Phase::Idle { observe_at } => {
                *observe_at = context.now + context.config.observe_interval + delay
            }
            Phase::AwaitingEffect {
                observe_at,
                give_up_at,
                ..
            } if context.now < *give_up_at => {
                *observe_at = context.now + context.config.settle_interval + delay;
            }
            _ => {
                let observe_at = context.now + context.config.observe_interval + delay;
                self.start_release(context.now, observe_at);
            }
        }
    }

    /// Starts to resolve a difference while holding the key.
    fn act_on(&mut self, difference: Difference, context: &mut Context<'_>) {
        let ready = self.permit.as_ref().is_some_and(Permit::is_ready);
        self.phase = match difference {
            Difference::Load(order) if ready => Phase::Sending(order),
            Difference::Load(_) => {
                self.permit = Some(Permit::new(
                    self.keys.clone(),
                    PermitLoad {
                        server: self.target.server.clone(),
                        addr: self.target.addr,
                    },
                ));
                Phase::AcquiringPermit
            }
            Difference::Role(order) => Phase::Sending(order),
            Difference::Busy | Difference::None => self.await_effect(context),
        };
    }

    fn await_effect(&self, context: &Context<'_>) -> Phase {
        let (now, config) = (context.now, context.config);
        Phase::AwaitingEffect {
            observe_at: now + config.settle_interval,
            resend_at: now + config.accept_timeout,
            give_up_at: now + config.settle_timeout,
        }
    }

    /// Continues to wait for the effect of an order, sends it again, or gives up until a later
    /// observation.
    fn check_effect(
        &mut self,
        difference: &Difference,
        resend_at: Mono,
        give_up_at: Mono,
        context: &mut Context<'_>,
    ) {
        let now = context.now;
        let busy = *difference == Difference::Busy;
        let still_waiting = if busy {
            now < give_up_at
        } else {
            now < resend_at
        };
        if still_waiting {
            let observe_at = now + context.config.settle_interval;
            self.phase = Phase::AwaitingEffect {
                observe_at,
                resend_at,
                give_up_at,
            };
        } else if !busy && self.send_attempts < MAX_SEND_ATTEMPTS {
            self.phase = Phase::Observing { at: now };
        } else {
            log::warn!("{} does not carry out its order", self.target.server);
            let delay = self.backoff.next_delay(context.rng);
            self.start_release(now, now + context.config.observe_interval + delay);
        }
    }

    /// Handles the result of sending an order.
    pub(crate) fn on_sent(&mut self, result: SendResult, context: &mut Context<'_>) {
        self.in_flight = false;
        let Phase::Sending(_) = self.phase else {
            return;
        };
        match result {
            SendResult::Accepted | SendResult::Lost => {
                self.reply_lost |= result == SendResult::Lost;
                self.send_attempts += 1;
                self.phase = self.await_effect(context);
            }
            SendResult::Stale(observed) => {
                self.may_be_loading = false;
                self.phase = Phase::RaisingFence(observed.fence);
            }
            // The deadline may have passed, so the server is observed before the next attempt.
            SendResult::NotSent | SendResult::Refused => {
                self.may_be_loading = false;
                self.send_attempts += 1;
                let delay = self.backoff.next_delay(context.rng);
                if self.send_attempts < MAX_SEND_ATTEMPTS {
                    let at = context.now + delay;
                    self.phase = Phase::Observing { at };
                } else {
                    let observe_at = context.now + context.config.observe_interval + delay;
                    self.start_release(context.now, observe_at);
                }
            }
        }
    }
}
