//! The writer's lease, seen by its own clock.
//!
//! Time counts from before the call that granted or renewed the lease, so that the lease ends here
//! no later than at the service. Whether an order may be sent is a question of this clock alone: a
//! process that was paused finds its lease lapsed before it hears so from the service.

use primrose_core::clock::Mono;
use primrose_retry::Backoff;
use primrose_store::store::LeaseId;
use primrose_store::store::Result as StoreResult;
use primrose_store::store::StoreError;
use rand::rngs::StdRng;

use crate::config::OrderConfig;
use crate::message::Action;

/// A lease that was granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Held {
    pub(crate) id: LeaseId,
    /// When the call that granted or last renewed it began.
    renewed: Mono,
    /// Earliest time of the next renewal.
    renew: Mono,
    renewing: bool,
}

#[derive(Debug)]
enum Phase {
    Absent { retry: Mono },
    Granting,
    Held(Held),
}

/// The writer's lease.
#[derive(Debug)]
pub(crate) struct Lease {
    phase: Phase,
    backoff: Backoff,
    /// Since when nothing needs the lease.
    unused: Option<Mono>,
}

/// What has become of the lease.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Change {
    None,
    /// Keys held under it are no longer held.
    Ended,
}

impl Lease {
    pub(crate) fn new(config: &OrderConfig) -> Self {
        Self {
            phase: Phase::Absent { retry: Mono::ZERO },
            backoff: Backoff::new(config.retry),
            unused: None,
        }
    }

    /// Returns the name of the lease while it lasts by our own clock.
    pub(crate) fn id(&self) -> Option<&LeaseId> {
        match &self.phase {
            Phase::Held(held) => Some(&held.id),
            Phase::Absent { .. } | Phase::Granting => None,
        }
    }

    /// Returns the time from which on no order may be sent.
    pub(crate) fn send_until(&self, config: &OrderConfig) -> Option<Mono> {
        match &self.phase {
            Phase::Held(held) => Some(held.renewed + config.send_time()),
            Phase::Absent { .. } | Phase::Granting => None,
        }
    }

    /// Notices a lease that has lapsed by our own clock.
    pub(crate) fn check(&mut self, now: Mono, config: &OrderConfig) -> Change {
        match &self.phase {
            Phase::Held(held) if held.renewed + config.ttl <= now => self.end(now),
            _ => Change::None,
        }
    }

    /// Returns what there is to do for the lease.
    pub(crate) fn poll(&mut self, now: Mono, config: &OrderConfig, needed: bool) -> Option<Action> {
        if needed {
            self.unused = None;
        } else {
            self.unused.get_or_insert(now);
        }
        match &mut self.phase {
            Phase::Absent { retry } if needed && *retry <= now => {
                self.phase = Phase::Granting;
                Some(Action::Grant { ttl: config.ttl })
            }
            Phase::Held(held) if self.unused.is_some_and(|at| at + config.linger <= now) => {
                let lease = held.id.clone();
                self.end(now);
                Some(Action::Revoke { lease })
            }
            Phase::Held(held) if held.renew <= now && !held.renewing => {
                held.renewing = true;
                let lease = held.id.clone();
                Some(Action::Renew { lease })
            }
            _ => None,
        }
    }

    /// Ends the lease at once; `None` if there is none.
    pub(crate) fn resign(&mut self, now: Mono) -> Option<Action> {
        let lease = self.id()?.clone();
        self.end(now);
        Some(Action::Revoke { lease })
    }

    /// Returns when there is something to do next.
    pub(crate) fn wake(&self, config: &OrderConfig, needed: bool) -> Option<Mono> {
        match &self.phase {
            Phase::Absent { retry } => needed.then_some(*retry),
            Phase::Granting => None,
            Phase::Held(held) => {
                let lapse = held.renewed + config.ttl;
                let idle = self.unused.map_or(lapse, |at| at + config.linger);
                let renew = if held.renewing { lapse } else { held.renew };
                Some(renew.min(idle).min(lapse))
            }
        }
    }

    pub(crate) fn granted(
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
                self.phase = Phase::Held(Held {
                    id,
                    renewed: began,
                    renew: began + config.renew_time(),
                    renewing: false,
                });
            }
            // A lease whose grant was lost ends by itself.
            Err(error) => {
                log::warn!("failed to begin a lease: {error}");
                let retry = now + self.backoff.next_delay(rng);
                self.phase = Phase::Absent { retry };
            }
        }
    }

    pub(crate) fn renewed(
        &mut self,
        now: Mono,
        lease: &str,
        began: Mono,
        result: StoreResult<()>,
        config: &OrderConfig,
        rng: &mut StdRng,
    ) -> Change {
        let Phase::Held(held) = &mut self.phase else {
            return Change::None;
        };
        if held.id != lease {
            return Change::None;
        }
        held.renewing = false;
        match result {
            Ok(()) => {
                self.backoff.reset();
                held.renewed = began;
                held.renew = began + config.renew_time();
                Change::None
            }
            Err(StoreError::LeaseEnded { .. }) => self.end(now),
            // The service may have prolonged it; by our own clock it has not been.
            Err(error) => {
                log::warn!("failed to renew lease {lease}: {error}");
                held.renew = now + self.backoff.next_delay(rng);
                Change::None
            }
        }
    }

    fn end(&mut self, now: Mono) -> Change {
        self.phase = Phase::Absent { retry: now };
        self.unused = None;
        Change::Ended
    }
}
