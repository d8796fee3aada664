//! Answers of the server: what it is, and what became of an order.

use primrose_core::clock::Mono;

use super::Context;
use super::Phase;
use super::Slot;
use crate::desired::Difference;
use crate::desired::Observed;
use crate::mark::PermitLoad;
use crate::message::SendResult;
use crate::message::Unreachable;
use crate::permit::Permit;

/// Most sends of one order before its server is left alone for a time.
const MAX_SENDS: u32 = 3;

impl Slot {
    /// Takes in what a server says of itself.
    pub(crate) fn on_observed(
        &mut self,
        result: Result<Observed, Unreachable>,
        context: &mut Context<'_>,
    ) {
        self.in_flight = false;
        if let (Phase::Permit, Some(permit)) = (&self.phase, &mut self.permit) {
            permit.observed(&result, context.now, context.config);
            return;
        }
        let observed = match result {
            Ok(observed) => observed,
            Err(error) => {
                log::debug!("failed to ask {}: {error}", self.target.server);
                self.unreachable(context);
                return;
            }
        };
        let difference = self.target.desired.difference(&observed);
        if difference == Difference::None {
            self.converged(context);
            return;
        }
        match self.phase.clone() {
            Phase::Idle { .. } if difference == Difference::Busy => {
                let look = context.now + context.config.look;
                self.phase = Phase::Idle { look };
            }
            Phase::Idle { .. } => {
                self.wants_load = matches!(difference, Difference::Load(_));
                self.phase = Phase::Wanting { retry: context.now };
            }
            Phase::Settling { resend, end, .. } => {
                self.settle(&difference, resend, end, context);
            }
            _ => self.order(difference, context),
        }
    }

    /// The server is as it should be.
    fn converged(&mut self, context: &mut Context<'_>) {
        self.backoff.reset();
        self.loading = false;
        let look = context.now + context.config.look;
        if self.hold.is_some() {
            self.release_soon(context.now, look);
        } else {
            self.phase = Phase::Idle { look };
        }
    }

    fn unreachable(&mut self, context: &mut Context<'_>) {
        let delay = self.backoff.next_delay(context.rng);
        match &mut self.phase {
            Phase::Idle { look } => *look = context.now + context.config.look + delay,
            Phase::Settling { look, end, .. } if context.now < *end => {
                *look = context.now + context.config.settle_look + delay;
            }
            _ => {
                let look = context.now + context.config.look + delay;
                self.release_soon(context.now, look);
            }
        }
    }

    /// Does what a difference asks for, the key being held.
    fn order(&mut self, difference: Difference, context: &mut Context<'_>) {
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
                Phase::Permit
            }
            Difference::Role(order) => Phase::Sending(order),
            Difference::Busy | Difference::None => self.settling(context),
        };
    }

    fn settling(&self, context: &Context<'_>) -> Phase {
        let (now, config) = (context.now, context.config);
        Phase::Settling {
            look: now + config.settle_look,
            resend: now + config.accept_time,
            end: now + config.settle_time,
        }
    }

    /// Goes on waiting for the effect of an order, sends it again, or gives up for a time.
    fn settle(
        &mut self,
        difference: &Difference,
        resend: Mono,
        end: Mono,
        context: &mut Context<'_>,
    ) {
        let now = context.now;
        let busy = *difference == Difference::Busy;
        let waits = if busy { now < end } else { now < resend };
        if waits {
            let look = now + context.config.settle_look;
            self.phase = Phase::Settling { look, resend, end };
        } else if !busy && self.sends < MAX_SENDS {
            self.phase = Phase::Checking { at: now };
        } else {
            log::warn!("{} does not carry out its order", self.target.server);
            let delay = self.backoff.next_delay(context.rng);
            self.release_soon(now, now + context.config.look + delay);
        }
    }

    /// Takes in what became of an order.
    pub(crate) fn on_sent(&mut self, result: SendResult, context: &mut Context<'_>) {
        self.in_flight = false;
        let Phase::Sending(_) = self.phase else {
            return;
        };
        match result {
            SendResult::Accepted | SendResult::Lost => {
                self.unsettled |= result == SendResult::Lost;
                self.sends += 1;
                self.phase = self.settling(context);
            }
            SendResult::Stale(observed) => {
                self.loading = false;
                self.phase = Phase::Raising(observed.fence);
            }
            // The clock may have stopped it, so it is looked at again before the next try.
            SendResult::NotSent | SendResult::Refused => {
                self.loading = false;
                self.sends += 1;
                let delay = self.backoff.next_delay(context.rng);
                if self.sends < MAX_SENDS {
                    let at = context.now + delay;
                    self.phase = Phase::Checking { at };
                } else {
                    let look = context.now + context.config.look + delay;
                    self.release_soon(context.now, look);
                }
            }
        }
    }
}
