//! One server: looks at it, takes its key, orders, waits for the effect, gives the key back.

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
use crate::mark;
use crate::mark::Keys;
use crate::mark::ServerMark;
use crate::message::Action;
use crate::message::FencedOrder;
use crate::message::Ticket;
use crate::permit::Permit;
use crate::permit::Request;
use crate::writer::Target;

/// What a slot is told beside the event.
pub(crate) struct Context<'a> {
    pub(crate) now: Mono,
    pub(crate) config: &'a OrderConfig,
    pub(crate) rng: &'a mut StdRng,
    /// Lease of the writer, if it lasts.
    pub(crate) lease: Option<&'a str>,
    /// Time from which on no order may be sent.
    pub(crate) until: Mono,
    /// What the writer leaves room for.
    pub(crate) room: Room,
}

/// Which servers a writer may begin to order now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Room {
    /// Earliest time of the next begin.
    pub(crate) next: Mono,
    /// Whether another server of the writer looks for a load permit.
    pub(crate) seeking: bool,
}

/// How the key was found before it was taken.
#[derive(Debug, Clone)]
struct Found {
    version: Version,
    base: Fence,
    /// Whether an order of the earlier holder may be under way.
    busy: bool,
}

/// A held key.
#[derive(Debug, Clone)]
struct Hold {
    base: Fence,
    lock: Fence,
    /// Version of the key when it was last written.
    version: Version,
}

#[derive(Debug, Clone)]
enum Phase {
    /// Looks at the server from time to time.
    Idle { look: Mono },
    /// Has seen a difference and has to read the key.
    Wanting { retry: Mono },
    /// Has to take the key.
    Taking(Found),
    /// Holds the key and waits out the orders of the earlier holder.
    Quiet { until: Mono },
    /// Holds the key and has to look at the server.
    Checking { at: Mono },
    /// Needs a permit to load.
    Permit,
    /// Has to send this order.
    Sending(Order),
    /// Has to lift the fencing number over this one.
    Raising(Fence),
    /// Has sent an order and waits for its effect.
    Settling { look: Mono, resend: Mono, end: Mono },
    /// Has to give the key back.
    Releasing { retry: Mono, look: Mono },
}

/// One server of the writer.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) target: Target,
    /// Whether the writer has to let go of the server.
    pub(crate) leaving: bool,
    keys: Keys,
    phase: Phase,
    ticket: u64,
    in_flight: bool,
    hold: Option<Hold>,
    permit: Option<Permit>,
    /// Whether the reply to an order was lost.
    unsettled: bool,
    /// Whether a load that was ordered may be under way.
    loading: bool,
    /// Whether the difference that was seen asks for a load.
    wants_load: bool,
    sends: u32,
    backoff: Backoff,
}

impl Slot {
    pub(crate) fn new(target: Target, first_ticket: u64, config: &OrderConfig) -> Self {
        Self {
            target,
            leaving: false,
            keys: Keys::new(&config.prefix),
            phase: Phase::Idle { look: Mono::ZERO },
            ticket: first_ticket,
            in_flight: false,
            hold: None,
            permit: None,
            unsettled: false,
            loading: false,
            wants_load: false,
            sends: 0,
            backoff: Backoff::new(config.retry),
        }
    }

    /// Takes a changed target; looks at the server at once.
    pub(crate) fn retarget(&mut self, target: Target, now: Mono) {
        self.leaving = false;
        if self.target == target {
            return;
        }
        self.target = target;
        if let Phase::Idle { look } | Phase::Releasing { look, .. } = &mut self.phase {
            *look = now;
        }
    }

    /// Tells whether the slot needs the lease.
    pub(crate) fn needs_lease(&self) -> bool {
        let wants = !matches!(self.phase, Phase::Idle { .. });
        wants && !self.is_gone()
    }

    /// Tells whether the writer can forget the slot.
    pub(crate) fn is_gone(&self) -> bool {
        let free = matches!(self.phase, Phase::Idle { .. } | Phase::Wanting { .. });
        self.leaving && free && self.hold.is_none()
    }

    pub(crate) fn permit_number(&self) -> Option<u32> {
        self.permit.as_ref()?.number()
    }

    pub(crate) fn last_ticket(&self) -> u64 {
        self.ticket
    }

    /// Tells whether the server looks for a load permit.
    pub(crate) fn is_seeking(&self) -> bool {
        matches!(self.phase, Phase::Permit)
    }

    /// Tells whether the writer has to wait before it begins to order this server.
    fn is_held_up(&self, room: Room) -> bool {
        self.wants_load && room.seeking
    }

    /// Tells whether a ticket is that of the action in flight.
    pub(crate) fn expects(&self, ticket: &Ticket) -> bool {
        self.in_flight && self.ticket == ticket.number
    }

    /// Forgets what was held under a lease that has ended.
    pub(crate) fn lose_lease(&mut self, now: Mono) {
        if matches!(self.phase, Phase::Idle { .. }) {
            return;
        }
        self.in_flight = false;
        self.reset(now);
    }

    /// Returns when there is something to do next; `None` while an action is in flight.
    pub(crate) fn wake(&self, now: Mono, until: Mono, room: Room) -> Option<Mono> {
        if self.in_flight {
            return None;
        }
        Some(match &self.phase {
            _ if self.must_release() => Mono::ZERO,
            Phase::Idle { look } => *look,
            Phase::Wanting { .. } if self.is_held_up(room) => return None,
            Phase::Wanting { retry } => (*retry).max(room.next),
            Phase::Releasing { retry, .. } => *retry,
            Phase::Quiet { until } => *until,
            Phase::Checking { at } => *at,
            Phase::Permit => self.permit.as_ref().map_or(Mono::ZERO, Permit::wake),
            // Too late for this part of the lease: the renewal comes first.
            Phase::Sending(_) if until <= now => return None,
            Phase::Sending(_) | Phase::Taking(_) | Phase::Raising(_) => Mono::ZERO,
            Phase::Settling { look, .. } => *look,
        })
    }

    /// Returns what there is to do.
    pub(crate) fn poll(&mut self, context: &mut Context<'_>) -> Option<Action> {
        if self.in_flight {
            return None;
        }
        if self.must_release() {
            self.release_soon(context.now, context.now);
        }
        let action = self.action(context)?;
        self.in_flight = true;
        Some(action)
    }

    fn must_release(&self) -> bool {
        let releasing = matches!(self.phase, Phase::Releasing { .. });
        self.leaving && self.hold.is_some() && !releasing
    }

    fn action(&mut self, context: &mut Context<'_>) -> Option<Action> {
        let now = context.now;
        let due = match &self.phase {
            Phase::Wanting { .. } if self.is_held_up(context.room) => return None,
            Phase::Wanting { retry } => (*retry).max(context.room.next),
            Phase::Idle { look: at }
            | Phase::Quiet { until: at }
            | Phase::Checking { at }
            | Phase::Settling { look: at, .. }
            | Phase::Releasing { retry: at, .. } => *at,
            Phase::Permit => self.permit.as_ref().map_or(now, Permit::wake),
            Phase::Taking(_) | Phase::Sending(_) | Phase::Raising(_) => now,
        };
        if due > now || self.is_gone() {
            return None;
        }
        match self.phase.clone() {
            Phase::Idle { .. } => Some(self.observe()),
            Phase::Quiet { .. } | Phase::Checking { .. } | Phase::Settling { .. } => {
                Some(self.observe())
            }
            Phase::Sending(order) => self.send(order, context),
            held => self.store_action(held, context.lease?, &context.config.holder),
        }
    }

    /// Returns the action of a phase that calls the key-value service.
    fn store_action(&mut self, phase: Phase, lease: &str, holder: &str) -> Option<Action> {
        let key = self.keys.server(&self.target.server);
        match phase {
            Phase::Wanting { .. } => {
                let ticket = self.next_ticket();
                Some(Action::Read { ticket, key })
            }
            Phase::Taking(found) => {
                let ops = self.hold_ops(found.version, found.base, lease, holder);
                Some(self.commit(ops))
            }
            Phase::Raising(over) => {
                let hold = self.hold.as_ref()?;
                let base = raised_base(over, hold.lock);
                let ops = self.hold_ops(hold.version, base, lease, holder);
                Some(self.commit(ops))
            }
            Phase::Releasing { .. } => {
                let ops = self.release_ops(lease, holder)?;
                Some(self.commit(ops))
            }
            Phase::Permit => self.permit_action(lease),
            _ => None,
        }
    }

    fn permit_action(&mut self, lease: &str) -> Option<Action> {
        let request = self.permit.as_ref()?.request(lease)?;
        let ticket = self.next_ticket();
        Some(match request {
            Request::List => Action::List {
                ticket,
                prefix: self.keys.permits(),
            },
            Request::Commit(ops) => Action::Commit { ticket, ops },
            Request::Observe(addr) => Action::Observe { ticket, addr },
        })
    }

    fn observe(&mut self) -> Action {
        Action::Observe {
            ticket: self.next_ticket(),
            addr: self.target.addr,
        }
    }

    fn commit(&mut self, ops: Vec<Op>) -> Action {
        let ticket = self.next_ticket();
        Action::Commit { ticket, ops }
    }

    fn send(&mut self, order: Order, context: &Context<'_>) -> Option<Action> {
        let hold = self.hold.as_ref()?;
        let fence = hold.base + hold.lock;
        if context.now >= context.until {
            return None;
        }
        self.loading |= matches!(order, Order::Load { .. });
        Some(Action::Send {
            ticket: self.next_ticket(),
            addr: self.target.addr,
            order: FencedOrder { fence, order },
            until: context.until,
        })
    }

    fn next_ticket(&mut self) -> Ticket {
        self.ticket += 1;
        Ticket {
            server: self.target.server.clone(),
            number: self.ticket,
        }
    }

    /// Returns the operations that take the key, or write it again under the same lease.
    fn hold_ops(&self, version: Version, base: Fence, lease: &str, holder: &str) -> Vec<Op> {
        let key = self.keys.server(&self.target.server);
        let value = mark::encode(&ServerMark {
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

    /// Returns the operations that give the key and the permit back.
    ///
    /// The checks keep a release that the service applies late from ending a later hold.
    fn release_ops(&self, lease: &str, holder: &str) -> Option<Vec<Op>> {
        let hold = self.hold.as_ref()?;
        let key = self.keys.server(&self.target.server);
        let value = mark::encode(&ServerMark {
            base: hold.base,
            busy: self.unsettled,
            holder: holder.to_owned(),
        });
        let check = Op::Check {
            key: key.clone(),
            version: hold.version,
        };
        let release = Op::Release {
            key,
            value,
            lease: lease.to_owned(),
        };
        let permit = self.permit.as_ref();
        let permit = permit.map(|permit| permit.release(lease, !self.loading));
        let server = [check, release].into_iter();
        Some(server.chain(permit.into_iter().flatten()).collect())
    }

    fn want_later(&mut self, context: &mut Context<'_>) {
        let retry = context.now + self.backoff.next_delay(context.rng);
        self.phase = Phase::Wanting { retry };
    }

    fn release_soon(&mut self, retry: Mono, look: Mono) {
        self.phase = Phase::Releasing { retry, look };
    }

    /// Goes back to looking; nothing is held any more.
    fn reset(&mut self, look: Mono) {
        self.hold = None;
        self.permit = None;
        self.unsettled = false;
        self.loading = false;
        self.sends = 0;
        self.phase = Phase::Idle { look };
    }
}

/// Returns the base that lifts a key's fencing number just over another one.
fn raised_base(over: Fence, lock: Fence) -> Fence {
    over.saturating_add(1).saturating_sub(lock)
}
