//! The servers that one process sends orders to, under one lease.

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
use crate::lease::Lease;
use crate::lease::LeaseChange;
use crate::message::Action;
use crate::message::ActionId;
use crate::message::Event;
use crate::slot::Context;
use crate::slot::ServerReconciler;
use crate::slot::StartLimits;

/// A server and its desired state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the server.
    pub server: ServerId,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Desired state of the server.
    pub desired: Desired,
    /// Whether the server refuses an order with an old fencing number.
    pub checks_fence: bool,
}

/// Brings servers to their desired state by orders; a state machine without I/O.
///
/// [`Writer::poll`] returns one action after the other; the result of each goes to
/// [`Writer::handle`].
#[derive(Debug)]
pub struct Writer {
    config: OrderConfig,
    rng: StdRng,
    lease: Lease,
    reconcilers: BTreeMap<ServerId, ServerReconciler>,
    /// Server whose action was returned last; the next poll begins after it.
    last_served: ServerId,
    last_action: u64,
    /// Earliest time at which the key of a server may be read again, whichever server it is.
    next_start: Mono,
}

impl Writer {
    /// Creates a writer without servers.
    pub fn new(config: OrderConfig) -> Self {
        Self {
            rng: StdRng::seed_from_u64(config.seed),
            lease: Lease::new(&config),
            reconcilers: BTreeMap::new(),
            last_served: ServerId::new(),
            last_action: 0,
            next_start: Mono::ZERO,
            config,
        }
    }

    /// Replaces the servers that this process sends orders to.
    ///
    /// The keys of servers that are no longer among them are released.
    pub fn set_targets(&mut self, targets: Vec<Target>, now: Mono) {
        for reconciler in self.reconcilers.values_mut() {
            reconciler.removed = true;
        }
        for target in targets {
            match self.reconcilers.get_mut(&target.server) {
                Some(reconciler) => reconciler.set_target(target, now),
                None => {
                    let server = target.server.clone();
                    let reconciler = ServerReconciler::new(target, self.last_action, &self.config);
                    self.reconcilers.insert(server, reconciler);
                }
            }
        }
        self.drop_finished();
    }

    /// Whether no server is left, so that nothing but the lease may still be held.
    pub fn is_empty(&self) -> bool {
        self.reconcilers.is_empty()
    }

    /// Ends the lease without waiting until it has been unused for a while; for the end of a
    /// process.
    ///
    /// Returns the action that revokes it. Keys that are still held under it are no longer held.
    pub fn release_lease(&mut self, now: Mono) -> Option<Action> {
        let action = self.lease.release_lease(now)?;
        self.on_lease_lost(now);
        Some(action)
    }

    /// Returns the next action; `None` if there is nothing to do yet.
    pub fn poll(&mut self, now: Mono) -> Option<Action> {
        if self.lease.expire(now, &self.config) == LeaseChange::Ended {
            self.on_lease_lost(now);
        }
        let needed = self.is_needed();
        if let Some(action) = self.lease.poll(now, &self.config, needed) {
            return Some(action);
        }
        let start_limits = self.start_limits();
        let mut context = Context {
            now,
            config: &self.config,
            rng: &mut self.rng,
            lease: self.lease.id().map(String::as_str),
            send_deadline: self.lease.send_deadline(&self.config).unwrap_or_default(),
            start_limits,
        };
        // Begins after the server that was served last, so that none starves.
        let later = (Bound::Excluded(self.last_served.clone()), Bound::Unbounded);
        let earlier = ..=self.last_served.clone();
        let action = next_action(self.reconcilers.range_mut(later), &mut context);
        let action = action.or_else(|| {
            let reconcilers = self.reconcilers.range_mut(earlier);
            next_action(reconcilers, &mut context)
        });
        let (server, action) = action?;
        self.last_served = server;
        if matches!(action, Action::Read { .. }) {
            self.next_start = now + self.config.start_interval;
        }
        Some(action)
    }

    /// Returns the time at which [`Writer::poll`] has something to do next, if no event arrives
    /// before.
    pub fn next_wake(&self, now: Mono) -> Option<Mono> {
        let send_deadline = self.lease.send_deadline(&self.config).unwrap_or_default();
        let start_limits = self.start_limits();
        let has_lease = self.lease.id().is_some();
        let ready = |reconciler: &&ServerReconciler| has_lease || !reconciler.needs_lease();
        let reconcilers = self.reconcilers.values().filter(ready);
        let reconcilers = reconcilers
            .filter_map(|reconciler| reconciler.next_wake(now, send_deadline, start_limits));
        let lease = self.lease.next_wake(&self.config, self.is_needed());
        reconcilers.chain(lease).min()
    }

    /// Handles the result of an action.
    pub fn handle(&mut self, event: Event, now: Mono) {
        match event {
            Event::LeaseCreated { began, result } => {
                let (config, rng) = (&self.config, &mut self.rng);
                self.lease.on_created(now, began, result, config, rng);
            }
            Event::LeaseRenewed {
                lease,
                began,
                result,
            } => {
                let (config, rng) = (&self.config, &mut self.rng);
                let change = self
                    .lease
                    .on_renewed(now, &lease, began, result, config, rng);
                if change == LeaseChange::Ended {
                    self.on_lease_lost(now);
                }
            }
            Event::Read { action_id, result } => {
                self.deliver(&action_id, now, |reconciler, context| {
                    reconciler.on_read(result, context)
                });
            }
            Event::Listed { action_id, result } => {
                let used_by_others = self.permits_of_others(&action_id.server);
                self.deliver(&action_id, now, |reconciler, context| {
                    reconciler.on_listed(result, &used_by_others, context);
                });
            }
            Event::Committed { action_id, result } => {
                self.deliver(&action_id, now, |reconciler, context| {
                    reconciler.on_committed(result, context);
                });
            }
            Event::Observed { action_id, result } => {
                self.deliver(&action_id, now, |reconciler, context| {
                    reconciler.on_observed(result, context);
                });
            }
            Event::Sent { action_id, result } => {
                self.deliver(&action_id, now, |reconciler, context| {
                    reconciler.on_sent(result, context)
                });
            }
        }
        self.drop_finished();
    }

    fn start_limits(&self) -> StartLimits {
        StartLimits {
            next_start: self.next_start,
            permit_sought: self
                .reconcilers
                .values()
                .any(ServerReconciler::is_acquiring_permit),
        }
    }

    fn is_needed(&self) -> bool {
        self.reconcilers.values().any(ServerReconciler::needs_lease)
    }

    fn on_lease_lost(&mut self, now: Mono) {
        for reconciler in self.reconcilers.values_mut() {
            reconciler.on_lease_lost(now);
        }
        self.drop_finished();
    }

    /// Drops the reconcilers of removed servers; the numbers of their actions are not used again.
    fn drop_finished(&mut self) {
        let highest = self
            .reconcilers
            .values()
            .map(ServerReconciler::last_action)
            .max();
        self.last_action = self.last_action.max(highest.unwrap_or(0));
        self.reconcilers
            .retain(|_, reconciler| !reconciler.is_finished());
    }

    /// Returns the permits that servers other than this one hold or are taking.
    fn permits_of_others(&self, server: &str) -> BTreeSet<u32> {
        let others = self
            .reconcilers
            .iter()
            .filter(|(other, _)| *other != server);
        others
            .filter_map(|(_, reconciler)| reconciler.permit_number())
            .collect()
    }

    fn deliver(
        &mut self,
        action_id: &ActionId,
        now: Mono,
        apply: impl FnOnce(&mut ServerReconciler, &mut Context<'_>),
    ) {
        let start_limits = self.start_limits();
        let Some(reconciler) = self.reconcilers.get_mut(&action_id.server) else {
            return;
        };
        if !reconciler.expects(action_id) {
            return;
        }
        let mut context = Context {
            now,
            config: &self.config,
            rng: &mut self.rng,
            lease: self.lease.id().map(String::as_str),
            send_deadline: self.lease.send_deadline(&self.config).unwrap_or_default(),
            start_limits,
        };
        apply(reconciler, &mut context);
    }
}

/// Returns the first action that a reconciler has, and its server.
fn next_action<'a>(
    reconcilers: impl Iterator<Item = (&'a ServerId, &'a mut ServerReconciler)>,
    context: &mut Context<'_>,
) -> Option<(ServerId, Action)> {
    for (server, reconciler) in reconcilers {
        if let Some(action) = reconciler.poll(context) {
            return Some((server.clone(), action));
        }
    }
    None
}
