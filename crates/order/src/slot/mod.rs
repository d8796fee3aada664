//! Reconciles one server: observes it, takes its key, sends an order, waits for the effect and
//! releases the key.

mod key;
mod server;

use primrose_core::clock::Mono;
use primrose_core::id::Fence;
use primrose_retry::Backoff;
use primrose_store::store::Op;
use primrose_store::store::Version;
use rand::rngs::StdRng;

use crate::config::OrderConfig;
use crate::desired::Order;
use crate::message::Action;
use crate::message::ActionId;
use crate::message::FencedOrder;
use crate::permit::Permit;
use crate::permit::PermitAction;
use crate::record;
use crate::record::Keys;
use crate::record::ServerRecord;
use crate::writer::Target;

/// State of the writer that a reconciler needs besides the event.
pub(crate) struct Context<'a> {
    pub(crate) now: Mono,
    pub(crate) config: &'a OrderConfig,
    pub(crate) rng: &'a mut StdRng,
    /// Lease of the writer, unless it has expired.
    pub(crate) lease: Option<&'a str>,
    /// Time from which no more orders may be sent.
    pub(crate) send_deadline: Mono,
    pub(crate) start_limits: StartLimits,
}

/// Limits on when a reconciler may read the key of its server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartLimits {
    /// Earliest time of the next read.
    pub(crate) next_start: Mono,
    /// Whether a server of the writer is already acquiring a load permit.
    pub(crate) permit_sought: bool,
}

/// State of the key before it was taken.
#[derive(Debug, Clone)]
struct FoundKey {
    version: Version,
    base: Fence,
    /// Whether an order of the previous holder may be in flight.
    busy: bool,
}

/// State of a key that is held.
#[derive(Debug, Clone)]
struct HeldKey {
    /// Base from the record; orders carry the sum of both numbers.
    base: Fence,
    /// The key's own fencing number.
    key_fence: Fence,
    /// Version of the key when it was last written.
    version: Version,
}

#[derive(Debug, Clone)]
enum Phase {
    /// Observes the server from time to time.
    Idle { observe_at: Mono },
    /// Has found a difference and reads the key.
    ReadingKey { retry_at: Mono },
    /// Takes the key.
    TakingKey(FoundKey),
    /// Holds the key and waits out the orders of the previous holder.
    WaitingOut { until: Mono },
    /// Holds the key and observes the server.
    Observing { at: Mono },
    /// Acquires a permit to load.
    AcquiringPermit,
    /// Sends this order.
    Sending(Order),
    /// Raises the fencing number above this one.
    RaisingFence(Fence),
    /// Has sent an order and waits for its effect.
    AwaitingEffect {
        observe_at: Mono,
        resend_at: Mono,
        give_up_at: Mono,
    },
    /// Releases the key.
    Releasing { retry_at: Mono, observe_at: Mono },
}

/// Reconciles one server of the writer.
#[derive(Debug)]
pub(crate) struct ServerReconciler {
    pub(crate) target: Target,
    /// Whether the server was removed from the targets of the writer.
    pub(crate) removed: bool,
    keys: Keys,
    phase: Phase,
    last_action: u64,
    in_flight: bool,
    held_key: Option<HeldKey>,
    permit: Option<Permit>,
    /// Whether the reply to an order was lost.
    reply_lost: bool,
    /// Whether a load that was ordered may be in progress.
    may_be_loading: bool,
    /// Whether the observed difference requires a load.
    needs_load: bool,
    send_attempts: u32,
    backoff: Backoff,
}

impl ServerReconciler {
    pub(crate) fn new(target: Target, last_action: u64, config: &OrderConfig) -> Self {
        Self {
            target,
            removed: false,
            keys: Keys::new(&config.prefix),
            phase: Phase::Idle {
                observe_at: Mono::ZERO,
            },
            last_action,
            in_flight: false,
            held_key: None,
            permit: None,
            reply_lost: false,
            may_be_loading: false,
            needs_load: false,
            send_attempts: 0,
            backoff: Backoff::new(config.backoff),
        }
    }

    /// Sets the target; if it has changed, the server is observed at once.
    pub(crate) fn set_target(&mut self, target: Target, now: Mono) {
        self.removed = false;
        if self.target == target {
            return;
        }
        self.target = target;
        if let Phase::Idle { observe_at } | Phase::Releasing { observe_at, .. } = &mut self.phase {
            *observe_at = now;
        }
    }

    /// Returns whether the reconciler needs the lease.
    pub(crate) fn needs_lease(&self) -> bool {
        let active = !matches!(self.phase, Phase::Idle { .. });
        active && !self.is_finished()
    }

    /// Returns whether the server was removed and its key is not held.
    pub(crate) fn is_finished(&self) -> bool {
        let free = matches!(self.phase, Phase::Idle { .. } | Phase::ReadingKey { .. });
        self.removed && free && self.held_key.is_none()
    }

    pub(crate) fn permit_number(&self) -> Option<u32> {
        self.permit.as_ref()?.number()
    }

    pub(crate) fn last_action(&self) -> u64 {
        self.last_action
    }

    /// Returns whether the server is acquiring a load permit.
    pub(crate) fn is_acquiring_permit(&self) -> bool {
        matches!(self.phase, Phase::AcquiringPermit)
    }

    /// Returns whether the server needs a load while another one is acquiring a permit.
    fn waits_for_permit(&self, start_limits: StartLimits) -> bool {
        self.needs_load && start_limits.permit_sought
    }

    /// Returns whether an id is that of the action in flight.
    pub(crate) fn expects(&self, action_id: &ActionId) -> bool {
        self.in_flight && self.last_action == action_id.number
    }

    /// Resets whatever was held under a lease that has ended.
    pub(crate) fn on_lease_lost(&mut self, now: Mono) {
        if matches!(self.phase, Phase::Idle { .. }) {
            return;
        }
        self.in_flight = false;
        self.reset(now);
    }

    /// Returns the time of the next action; `None` while one is in flight or until something else
    /// has to happen first.
    pub(crate) fn next_wake(
        &self,
        now: Mono,
        send_deadline: Mono,
        start_limits: StartLimits,
    ) -> Option<Mono> {
        if self.in_flight {
            return None;
        }
        Some(match &self.phase {
            _ if self.must_release() => Mono::ZERO,
            Phase::Idle { observe_at } => *observe_at,
            Phase::ReadingKey { .. } if self.waits_for_permit(start_limits) => return None,
            Phase::ReadingKey { retry_at } => (*retry_at).max(start_limits.next_start),
            Phase::Releasing { retry_at, .. } => *retry_at,
            Phase::WaitingOut { until } => *until,
            Phase::Observing { at } => *at,
            Phase::AcquiringPermit => self.permit.as_ref().map_or(Mono::ZERO, Permit::next_wake),
            // Too late in this lease term: the lease has to be renewed first.
            Phase::Sending(_) if send_deadline <= now => return None,
            Phase::Sending(_) | Phase::TakingKey(_) | Phase::RaisingFence(_) => Mono::ZERO,
            Phase::AwaitingEffect { observe_at, .. } => *observe_at,
        })
    }

    /// Returns the next action, if one is due.
    pub(crate) fn poll(&mut self, context: &mut Context<'_>) -> Option<Action> {
        if self.in_flight {
            return None;
        }
        if self.must_release() {
            self.start_release(context.now, context.now);
        }
        let action = self.action(context)?;
        self.in_flight = true;
        Some(action)
    }

    fn must_release(&self) -> bool {
        let releasing = matches!(self.phase, Phase::Releasing { .. });
        self.removed && self.held_key.is_some() && !releasing
    }

    fn action(&mut self, context: &mut Context<'_>) -> Option<Action> {
        let now = context.now;
        let due = match &self.phase {
            Phase::ReadingKey { .. } if self.waits_for_permit(context.start_limits) => return None,
            Phase::ReadingKey { retry_at } => (*retry_at).max(context.start_limits.next_start),
            Phase::Idle { observe_at: at }
            | Phase::WaitingOut { until: at }
            | Phase::Observing { at }
            | Phase::AwaitingEffect { observe_at: at, .. }
            | Phase::Releasing { retry_at: at, .. } => *at,
            Phase::AcquiringPermit => self.permit.as_ref().map_or(now, Permit::next_wake),
            Phase::TakingKey(_) | Phase::Sending(_) | Phase::RaisingFence(_) => now,
        };
        if due > now || self.is_finished() {
            return None;
        }
        match self.phase.clone() {
            Phase::Idle { .. } => Some(self.observe()),
            Phase::WaitingOut { .. } | Phase::Observing { .. } | Phase::AwaitingEffect { .. } => {
                Some(self.observe())
            }
            Phase::Sending(order) => self.send(order, context),
            phase => self.store_action(phase, context.lease?, &context.config.holder),
        }
    }

    /// Returns the action of a phase that calls the key-value service.
    fn store_action(&mut self, phase: Phase, lease: &str, holder: &str) -> Option<Action> {
        let key = self.keys.server(&self.target.server);
        match phase {
            Phase::ReadingKey { .. } => {
                let action_id = self.next_action_id();
                Some(Action::Read { action_id, key })
            }
            Phase::TakingKey(found) => {
                let ops = self.take_ops(found.version, found.base, lease, holder);
                Some(self.commit(ops))
            }
            Phase::RaisingFence(seen_fence) => {
                let held_key = self.held_key.as_ref()?;
                let base = raised_base(seen_fence, held_key.key_fence);
                let ops = self.take_ops(held_key.version, base, lease, holder);
                Some(self.commit(ops))
            }
            Phase::Releasing { .. } => {
                let ops = self.release_ops(lease, holder)?;
                Some(self.commit(ops))
            }
            Phase::AcquiringPermit => self.permit_action(lease),
            _ => None,
        }
    }

    fn permit_action(&mut self, lease: &str) -> Option<Action> {
        let permit_action = self.permit.as_ref()?.next_action(lease)?;
        let action_id = self.next_action_id();
        Some(match permit_action {
            PermitAction::List => Action::List {
                action_id,
                prefix: self.keys.permits(),
            },
            PermitAction::Commit(ops) => Action::Commit { action_id, ops },
            PermitAction::Observe(addr) => Action::Observe { action_id, addr },
        })
    }

    fn observe(&mut self) -> Action {
        Action::Observe {
            action_id: self.next_action_id(),
            addr: self.target.addr,
        }
    }

    fn commit(&mut self, ops: Vec<Op>) -> Action {
        let action_id = self.next_action_id();
        Action::Commit { action_id, ops }
    }

    fn send(&mut self, order: Order, context: &Context<'_>) -> Option<Action> {
        let held_key = self.held_key.as_ref()?;
        let fence = held_key.base + held_key.key_fence;
        if context.now >= context.send_deadline {
            return None;
        }
        self.may_be_loading |= matches!(order, Order::Load { .. });
        Some(Action::Send {
            action_id: self.next_action_id(),
            addr: self.target.addr,
            order: FencedOrder { fence, order },
            deadline: context.send_deadline,
        })
    }

    fn next_action_id(&mut self) -> ActionId {
        self.last_action += 1;
        ActionId {
            server: self.target.server.clone(),
            number: self.last_action,
        }
    }

    /// Returns the operations that take the key, or rewrite it under the same lease.
    fn take_ops(&self, version: Version, base: Fence, lease: &str, holder: &str) -> Vec<Op> {
        let key = self.keys.server(&self.target.server);
        let value = record::encode(&ServerRecord {
            base,
            busy: true,
            holder: holder.to_owned(),
        });
        let check = Op::Check {
            key: key.clone(),
            version,
        };
        vec![check, Op::hold(key, value, lease)]
    }

    /// Returns the operations that release the key and the permit.
    ///
    /// The checks prevent a release that the service applies late from ending a later hold.
    fn release_ops(&self, lease: &str, holder: &str) -> Option<Vec<Op>> {
        let held_key = self.held_key.as_ref()?;
        let key = self.keys.server(&self.target.server);
        let value = record::encode(&ServerRecord {
            base: held_key.base,
            busy: self.reply_lost,
            holder: holder.to_owned(),
        });
        let check = Op::Check {
            key: key.clone(),
            version: held_key.version,
        };
        let release = Op::Release {
            key,
            value,
            lease: lease.to_owned(),
        };
        let permit = self.permit.as_ref();
        let permit = permit.map(|permit| permit.release_ops(lease, !self.may_be_loading));
        let server = [check, release].into_iter();
        Some(server.chain(permit.into_iter().flatten()).collect())
    }

    fn retry_read_later(&mut self, context: &mut Context<'_>) {
        let retry_at = context.now + self.backoff.next_delay(context.rng);
        self.phase = Phase::ReadingKey { retry_at };
    }

    fn start_release(&mut self, retry_at: Mono, observe_at: Mono) {
        self.phase = Phase::Releasing {
            retry_at,
            observe_at,
        };
    }

    /// Returns to idle without a key or a permit.
    fn reset(&mut self, observe_at: Mono) {
        self.held_key = None;
        self.permit = None;
        self.reply_lost = false;
        self.may_be_loading = false;
        self.send_attempts = 0;
        self.phase = Phase::Idle { observe_at };
    }
}

/// Returns the base that raises a key's fencing number just above one that a server has seen.
fn raised_base(seen_fence: Fence, key_fence: Fence) -> Fence {
    seen_fence.saturating_add(1).saturating_sub(key_fence)
}
