//! The writer's lease, timed by the writer's own clock.
//!
//! Time counts from the start of the call that created or renewed the lease, so that the lease
//! expires here no later than at the service. Only this clock decides whether an order may be sent:
//! a process that was paused finds its lease expired before the service reports it.

use primrose_core::clock::Mono;
use primrose_retry::Backoff;
use primrose_store::store::LeaseId;
use primrose_store::store::Result as StoreResult;
use primrose_store::store::StoreError;
use rand::rngs::StdRng;

use crate::config::OrderConfig;
use crate::message::Action;

/// A lease that was created and has not expired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HeldLease {
    pub(crate) id: LeaseId,
    /// Start of the call that created or last renewed the lease.
    renewed_at: Mono,
    /// Earliest time of the next renewal.
    renew_at: Mono,
    renewing: bool,
}

#[derive(Debug)]
enum Phase {
    Absent { retry_at: Mono },
    Creating,
    Held(HeldLease),
}

/// The writer's lease.
#[derive(Debug)]
pub(crate) struct Lease {
    phase: Phase,
    backoff: Backoff,
    /// Time since which nothing needs the lease.
    unused_since: Option<Mono>,
}

/// Change of the lease that the writer has to handle.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LeaseChange {
    None,
    /// The lease has ended, and with it the hold on all keys.
    Ended,
}

impl Lease {
    pub(crate) fn new(config: &OrderConfig) -> Self {
        Self {
            phase: Phase::Absent {
                retry_at: Mono::ZERO,
            },
            backoff: Backoff::new(config.backoff),
            unused_since: None,
        }
    }

    /// Returns the id of the lease, until it has expired by the local clock.
    pub(crate) fn id(&self) -> Option<&LeaseId> {
        match &self.phase {
            Phase::Held(held) => Some(&held.id),
            Phase::Absent { .. } | Phase::Creating => None,
        }
    }

    /// Returns the time from which no more orders may be sent.
    pub(crate) fn send_deadline(&self, config: &OrderConfig) -> Option<Mono> {
        match &self.phase {
            Phase::Held(held) => Some(held.renewed_at + config.send_window()),
            Phase::Absent { .. } | Phase::Creating => None,
        }
    }

    /// Ends a lease that has expired by the local clock.
    pub(crate) fn expire(&mut self, now: Mono, config: &OrderConfig) -> LeaseChange {
        match &self.phase {
            Phase::Held(held) if held.renewed_at + config.lease_ttl <= now => self.end(now),
            _ => LeaseChange::None,
        }
    }

    /// Returns the next action for the lease, if one is due.
    pub(crate) fn poll(&mut self, now: Mono, config: &OrderConfig, needed: bool) -> Option<Action> {
        if needed {
            self.unused_since = None;
        } else {
            self.unused_since.get_or_insert(now);
        }
        match &mut self.phase {
            Phase::Absent { retry_at } if needed && *retry_at <= now => {
                self.phase = Phase::Creating;
                Some(Action::CreateLease {
                    ttl: config.lease_ttl,
                })
            }
            Phase::Held(held)
                if self
                    .unused_since
                    .is_some_and(|at| at + config.lease_linger <= now) =>
            {
                let lease = held.id.clone();
                self.end(now);
                Some(Action::RevokeLease { lease })
            }
            Phase::Held(held) if held.renew_at <= now && !held.renewing => {
                held.renewing = true;
                let lease = held.id.clone();
                Some(Action::RenewLease { lease })
            }
            _ => None,
        }
    }

    /// Ends the lease at once and returns the action that revokes it; `None` if there is none.
    pub(crate) fn release_lease(&mut self, now: Mono) -> Option<Action> {
        let lease = self.id()?.clone();
        self.end(now);
        Some(Action::RevokeLease { lease })
    }

    /// Returns the time at which [`Lease::poll`] or [`Lease::expire`] has something to do next.
    pub(crate) fn next_wake(&self, config: &OrderConfig, needed: bool) -> Option<Mono> {
        match &self.phase {
            Phase::Absent { retry_at } => needed.then_some(*retry_at),
            Phase::Creating => None,
            Phase::Held(held) => {
                let expires_at = held.renewed_at + config.lease_ttl;
                let idle_end = self
                    .unused_since
                    .map_or(expires_at, |at| at + config.lease_linger);
                let renew = if held.renewing {
                    expires_at
                } else {
                    held.renew_at
                };
                Some(renew.min(idle_end).min(expires_at))
            }
        }
    }

    pub(crate) fn on_created(
        &mut self,
        now: Mono,
        began: Mono,
        result: StoreResult<LeaseId>,
        config: &OrderConfig,
        rng: &mut StdRng,
    ) {
        match result {
            Ok(id) => {
                self.backoff.reset();
                self.phase = Phase::Held(HeldLease {
                    id,
                    renewed_at: began,
                    renew_at: began + config.renew_interval(),
                    renewing: false,
                });
            }
            // If only the reply was lost, the lease expires by itself.
            Err(error) => {
                log::warn!("failed to create a lease: {error}");
                let retry_at = now + self.backoff.next_delay(rng);
                self.phase = Phase::Absent { retry_at };
            }
        }
    }

    pub(crate) fn on_renewed(
        &mut self,
        now: Mono,
        lease: &str,
        began: Mono,
        result: StoreResult<()>,
        config: &OrderConfig,
        rng: &mut StdRng,
    ) -> LeaseChange {
        let Phase::Held(held) = &mut self.phase else {
            return LeaseChange::None;
        };
        if held.id != lease {
            return LeaseChange::None;
        }
        held.renewing = false;
        match result {
            Ok(()) => {
                self.backoff.reset();
                held.renewed_at = began;
                held.renew_at = began + config.renew_interval();
                LeaseChange::None
            }
            Err(StoreError::LeaseEnded { .. }) => self.end(now),
            // The service may have renewed it, but for the local clock it has not.
            Err(error) => {
                log::warn!("failed to renew lease {lease}: {error}");
                held.renew_at = now + self.backoff.next_delay(rng);
                LeaseChange::None
            }
        }
    }

    fn end(&mut self, now: Mono) -> LeaseChange {
        self.phase = Phase::Absent { retry_at: now };
        self.unused_since = None;
        LeaseChange::Ended
    }
}
