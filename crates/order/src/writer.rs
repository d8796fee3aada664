//! All servers that one process orders, under one lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Bound;

use primrose_core::clock::Mono;
use primrose_core::id::ServerId;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::config::OrderConfig;
use crate::desired::Desired;
use crate::lease::Change;
use crate::lease::Lease;
use crate::message::Action;
use crate::message::Event;
use crate::message::Ticket;
use crate::slot::Context;
use crate::slot::Room;
use crate::slot::Slot;

/// One server and what it should be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the server.
    pub server: ServerId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it should be.
    pub desired: Desired,
    /// Whether it refuses an order with an old fencing number.
    pub checks: bool,
}

/// Orders servers; a plain state machine.
///
/// [`Writer::poll`] gives one action after the other; the answer to each goes to [`Writer::on`].
#[derive(Debug)]
pub struct Writer {
    config: OrderConfig,
    rng: StdRng,
    lease: Lease,
    slots: BTreeMap<ServerId, Slot>,
    /// Server that was served last; the next turn begins after it.
    last: ServerId,
    tickets: u64,
    /// Earliest time at which the next server is begun.
    next_begin: Mono,
}

impl Writer {
    /// Makes a writer without servers.
    pub fn new(config: OrderConfig) -> Self {
        Self {
            rng: StdRng::seed_from_u64(config.seed),
            lease: Lease::new(&config),
            slots: BTreeMap::new(),
            last: ServerId::new(),
            tickets: 0,
            next_begin: Mono::ZERO,
            config,
        }
    }

    /// Sets the servers that this process orders, and what they should be.
    ///
    /// Keys of servers that are not among them any more are given back.
    pub fn set_targets(&mut self, targets: Vec<Target>, now: Mono) {
        for slot in self.slots.values_mut() {
            slot.leaving = true;
        }
        for target in targets {
            match self.slots.get_mut(&target.server) {
                Some(slot) => slot.retarget(target, now),
                None => {
                    let server = target.server.clone();
                    let slot = Slot::new(target, self.tickets, &self.config);
                    self.slots.insert(server, slot);
                }
            }
        }
        self.forget_gone();
    }

    /// Whether no server is left, so that nothing is held but the lease.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Gives the lease up without waiting for it to be unused for a while; for the end of a process.
    ///
    /// Returns the action that ends it. What is still held under it is held no more.
    pub fn resign(&mut self, now: Mono) -> Option<Action> {
        let action = self.lease.resign(now)?;
        self.lose_lease(now);
        Some(action)
    }

    /// Returns the next action; `None` if there is nothing to do yet.
    pub fn poll(&mut self, now: Mono) -> Option<Action> {
        if self.lease.check(now, &self.config) == Change::Ended {
            self.lose_lease(now);
        }
        let needed = self.is_needed();
        if let Some(action) = self.lease.poll(now, &self.config, needed) {
            return Some(action);
        }
        let room = self.room();
        let mut context = Context {
            now,
            config: &self.config,
            rng: &mut self.rng,
            lease: self.lease.id().map(String::as_str),
            until: self.lease.send_until(&self.config).unwrap_or_default(),
            room,
        };
        // Begins after the server that was served last, so that none waits for ever.
        let later = (Bound::Excluded(self.last.clone()), Bound::Unbounded);
        let earlier = ..=self.last.clone();
        let action = next_action(self.slots.range_mut(later), &mut context);
        let action = action.or_else(|| {
            let slots = self.slots.range_mut(earlier);
            next_action(slots, &mut context)
        });
        let (server, action) = action?;
        self.last = server;
        if matches!(action, Action::Read { .. }) {
            self.next_begin = now + self.config.pace;
        }
        Some(action)
    }

    /// Returns when [`Writer::poll`] has something to do next, if no event comes before.
    pub fn wake(&self, now: Mono) -> Option<Mono> {
        let until = self.lease.send_until(&self.config).unwrap_or_default();
        let room = self.room();
        let has_lease = self.lease.id().is_some();
        let ready = |slot: &&Slot| has_lease || !slot.needs_lease();
        let slots = self.slots.values().filter(ready);
        let slots = slots.filter_map(|slot| slot.wake(now, until, room));
        let lease = self.lease.wake(&self.config, self.is_needed());
        slots.chain(lease).min()
    }

    /// Takes in the answer to an action.
    pub fn on(&mut self, event: Event, now: Mono) {
        match event {
            Event::Granted { began, result } => {
                let (config, rng) = (&self.config, &mut self.rng);
                self.lease.granted(now, began, result, config, rng);
            }
            Event::Renewed {
                lease,
                began,
                result,
            } => {
                let (config, rng) = (&self.config, &mut self.rng);
                let change = self.lease.renewed(now, &lease, began, result, config, rng);
                if change == Change::Ended {
                    self.lose_lease(now);
                }
            }
            Event::Read { ticket, result } => {
                self.answer(&ticket, now, |slot, context| slot.on_read(result, context));
            }
            Event::Listed { ticket, result } => {
                let used = self.permits_beside(&ticket.server);
                self.answer(&ticket, now, |slot, context| {
                    slot.on_listed(result, &used, context);
                });
            }
            Event::Committed { ticket, result } => {
                self.answer(&ticket, now, |slot, context| {
                    slot.on_committed(result, context);
                });
            }
            Event::Observed { ticket, result } => {
                self.answer(&ticket, now, |slot, context| {
                    slot.on_observed(result, context);
                });
            }
            Event::Sent { ticket, result } => {
                self.answer(&ticket, now, |slot, context| slot.on_sent(result, context));
            }
        }
        self.forget_gone();
    }

    fn room(&self) -> Room {
        Room {
            next: self.next_begin,
            seeking: self.slots.values().any(Slot::is_seeking),
        }
    }

    fn is_needed(&self) -> bool {
        self.slots.values().any(Slot::needs_lease)
    }

    fn lose_lease(&mut self, now: Mono) {
        for slot in self.slots.values_mut() {
            slot.lose_lease(now);
        }
        self.forget_gone();
    }

    /// Forgets slots that were let go; their tickets are not given out again.
    fn forget_gone(&mut self) {
        let highest = self.slots.values().map(Slot::last_ticket).max();
        self.tickets = self.tickets.max(highest.unwrap_or(0));
        self.slots.retain(|_, slot| !slot.is_gone());
    }

    /// Returns the permits that other servers use.
    fn permits_beside(&self, server: &str) -> BTreeSet<u32> {
        let others = self.slots.iter().filter(|(other, _)| *other != server);
        others
            .filter_map(|(_, slot)| slot.permit_number())
            .collect()
    }

    fn answer(
        &mut self,
        ticket: &Ticket,
        now: Mono,
        take: impl FnOnce(&mut Slot, &mut Context<'_>),
    ) {
        let room = self.room();
        let Some(slot) = self.slots.get_mut(&ticket.server) else {
            return;
        };
        if !slot.expects(ticket) {
            return;
        }
        let mut context = Context {
            now,
            config: &self.config,
            rng: &mut self.rng,
            lease: self.lease.id().map(String::as_str),
            until: self.lease.send_until(&self.config).unwrap_or_default(),
            room,
        };
        take(slot, &mut context);
    }
}

/// Returns the first action that a slot has, and its server.
fn next_action<'a>(
    slots: impl Iterator<Item = (&'a ServerId, &'a mut Slot)>,
    context: &mut Context<'_>,
) -> Option<(ServerId, Action)> {
    for (server, slot) in slots {
        if let Some(action) = slot.poll(context) {
            return Some((server.clone(), action));
        }
    }
    None
}
